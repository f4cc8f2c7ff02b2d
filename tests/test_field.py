"""Workers are chosen from lists as they are by a look at all of them.

A pass that looked at all workers for each task took up to 0.7 s of a core in a
cell of 246. Lists by kind of task cost less, and would do harm that no other
test sees if they went by what was so before the last placement. Here random
days are lived through, and for every task a plain scan has to find the same
worker, or one that costs the same.
"""

from collections.abc import Iterable
from functools import partial
import random
from unittest import mock

import trio

from pimentocross.owner import placer, wall
from pimentocross.owner.isolation import Isolation
from pimentocross.owner.rebalancer import Rebalancer
from pimentocross.owner.worker import Worker
from pimentocross.placement import hosts
from pimentocross.placement.disturbance import Disturbance, Pair
from pimentocross.placement.field import Field
from pimentocross.placement.hosts import View
from pimentocross.placement.layout import Compatibility, Outlook
from pimentocross.placement.probes import Probes
from pimentocross.work.queue import Queue
from pimentocross.work.spec import JobSpec, Size, StepSpec
from pimentocross.work.state import Destination, RunState, Task
from tests import run_virtual
from tests.owner_fixtures import QUEUE, life
from tests.pass_fixtures import PassCell, make_step, make_worker, put_to_work

_DAYS = 40
_ROUNDS = 14
_SIZE = Size(2_000, 3_000, 0)
_LATER = QUEUE._replace(name="later", priority=1)


class _CheckedField(Field[Worker]):
    """Chooses from its lists, and by a look at all workers beside that."""

    chosen = 0

    def __init__(self, among: Iterable[Worker], view: View) -> None:
        self._plain = list(among)
        self._whole = list(self._plain)
        self._plain_view = view
        super().__init__(self._plain, view)

    def choose(self, task: Task, rack: str = "") -> Worker | None:
        """Returns the best worker."""
        scanned = hosts.choose(task, self._plain, self._plain_view, rack)
        found = super().choose(task, rack)
        if found is not scanned:
            # Of two that cost the same either may be taken.
            costs = [self._cost(task, h, rack) for h in (scanned, found)]
            assert costs[0] == costs[1], (task.name, task.step.spec, costs)
        type(self).chosen += found is not None
        return found

    def _cost(self, task: Task, host: Worker | None, rack: str) -> float:
        assert host is not None, task.name
        cost = hosts.fit(task.step.spec, host, self._plain_view)
        return cost + hosts.penalties(task, host, rack)

    def close(self, host: Worker) -> None:
        """Has a worker left out."""
        self._plain.remove(host)
        super().close(host)

    def reopen(self) -> None:
        """Takes all in again."""
        self._plain = list(self._whole)
        super().reopen()


class _Day:
    """A day of a small cell, drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        count = self.random.randint(4, 24)
        self.cell = PassCell(map(self._worker, range(count)))
        self.jobs = 0

    def _worker(self, number: int) -> Worker:
        draw = self.random
        listed = life(number, rack=f"r{draw.randrange(3)}")
        labels = listed.labels + draw.choice(((), (), ("ssd",)))
        return make_worker(
            listed._replace(
                labels=labels,
                service=draw.choice(("stock", "stock", "stock", "other")),
                capacity=draw.choice((Size(8_000, 16_000, 0), _SIZE)),
            ),
            number,
        )

    def _spec(self) -> StepSpec:
        draw = self.random
        cpu = draw.choice((500, 1_000, 1_000, 2_000))
        spec = StepSpec(draw.randint(1, 9), Size(cpu, 800, 0), 1.0)
        spec = draw.choice(
            (
                spec,
                spec._replace(fills=True, image=f"f{draw.randrange(4)}"),
                spec._replace(fills=True, image=f"f{draw.randrange(4)}"),
                spec._replace(
                    lasting=True, target_tail=20, image=f"s{draw.randrange(3)}"
                ),
                spec._replace(lasting=True),
            )
        )
        return draw.choice(
            (
                spec,
                spec,
                spec,
                spec._replace(gang=True),
                spec._replace(same_rack=True),
                spec._replace(same_rack=True, gang=True),
                spec._replace(rack=f"r{draw.randrange(4)}"),
                spec._replace(label="ssd"),
                spec._replace(per_worker=draw.randint(1, 2)),
            )
        )

    def bring_jobs(self) -> None:
        """Brings some, of which a task may have failed or be on its way."""
        draw = self.random
        for _ in range(draw.randint(0, 4)):
            queue: Queue = draw.choice((QUEUE, QUEUE, _LATER))
            name = f"job{self.jobs}"
            self.jobs += 1
            self.cell.book.accept(name, queue, JobSpec("", (self._spec(),)))
            job = self.cell.book.find(name)
            assert job is not None
            for task in job.tasks():
                numbers = range(len(self.cell.workers))
                if draw.random() < 0.3:
                    task.failed_on.update(draw.choices(numbers, k=2))
                if draw.random() < 0.05:
                    until = trio.current_time() + 0.4
                    task.bound_for = Destination(draw.choice(numbers), until)

    def work(self) -> None:
        """Has what was ordered happen, and some runs end."""
        draw, cell, now = self.random, self.cell, trio.current_time()
        for _, run, _, _ in cell.kept.started:
            run.enter(RunState.RUNNING, now)
            run.began_at = now
        cell.kept.started.clear()
        for worker, task, run in cell.kept.stopped:
            worker.remove(task, run.number)
            task.drop_run(run.number)
        cell.kept.stopped.clear()
        for worker in cell.workers:
            for (task, number), run in list(worker.runs.items()):
                spec = task.step.spec
                if draw.random() < (0.02 if spec.lasting else 0.15):
                    worker.remove(task, number)
                    task.drop_run(number)
                    if draw.random() < 0.9:
                        task.finish()
                    cell.book.changed(task.step.job)
                    continue
                run.percent = 100 if spec.lasting else min(run.percent + 9, 90)
                run.percent_at = now
                run.figure = (
                    int(spec.size.cpu * draw.uniform(0.4, 0.9))
                    if spec.fills
                    else draw.choice((5, 9, 15, 26))
                )
            if draw.random() < 0.7:
                cell.learned.on_listed(worker)
            if draw.random() < 0.06:
                worker.unsound_until = now + draw.uniform(0.2, 1.0)
            if draw.random() < 0.1:
                quarantine = cell.learned.quarantine
                for job in (f"{number}x{now}" for number in range(2)):
                    quarantine.note_failed(worker.life.id, job, now - 2.7)

    async def live(self) -> None:
        """Lives through the day."""
        with mock.patch.object(wall, "now", trio.current_time):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.cell.run)
                for _ in range(_ROUNDS):
                    self.bring_jobs()
                    await trio.sleep(0.3)
                    self.work()
                nursery.cancel_scope.cancel()


async def _live(seed: int) -> None:
    await _Day(seed).live()


def test_lists_choose_workers_as_a_look_at_all_of_them_does() -> None:
    with mock.patch.object(placer, "Field", _CheckedField):
        for seed in range(_DAYS):
            run_virtual(partial(_live, seed), seed)
    assert _CheckedField.chosen > 60 * _DAYS, _CheckedField.chosen


def test_a_worker_on_probation_gets_one_task_of_a_step() -> None:
    async def place() -> None:
        cell = PassCell([make_worker(life(0), 0)])
        worker, learned = cell.workers[0], cell.learned
        for job in ("a", "b"):
            learned.quarantine.note_failed(worker.life.id, job, 0.0)
        view = Rebalancer(learned)
        advice = cell.dispatcher.advice
        lasting = StepSpec(2, Size(500, 500, 0), lasting=True)
        steps = [make_step(f"j{number}", lasting) for number in range(3)]
        placer_ = placer.Placer(
            [worker], [worker], learned, view, advice, Isolation(), 4.0
        )
        # Left out of all steps that follow; but what has waited for long may
        # try it again.
        assert [len(placer_.place(step)) for step in steps[:2]] == [1, 0]
        assert [len(placer_.place_anywhere(s)) for s in steps[1:]] == [1, 1]

    run_virtual(place)


def test_what_came_in_this_pass_counts_for_what_shuts_out() -> None:
    # The image that came makes the pair with the other one doubtful enough to
    # be tried again, which the list of a kind begun later has to know.
    async def choose() -> None:
        disturbance = Disturbance()
        disturbance.restore([Pair("s2", "f", 4.0, 3.0)], 0.0)
        workers = [make_worker(life(number), number) for number in range(3)]
        serving = StepSpec(1, _SIZE, lasting=True, target_tail=20)
        filling = StepSpec(1, Size(500, 500, 0), fills=True, image="f")
        for worker in workers:
            step = make_step(f"s{worker.number}", serving._replace(image="s1"))
            put_to_work(worker, step)
        for worker in workers[1:]:
            put_to_work(worker, make_step(f"f{worker.number}", filling))
        compatibility = Compatibility(["f"], disturbance)
        view = View(
            disturbance,
            Outlook({"f": 1.0}, compatibility, "f"),
            Probes(disturbance, workers),
        )
        field = Field(workers, view)
        other = make_step("g", filling._replace(image="g"))
        assert field.choose(other.tasks[0]) is not None
        put_to_work(workers[0], make_step("new", serving._replace(image="s2")))
        field.note_changed(workers[0])
        task = make_step("f", filling).tasks[0]
        assert hosts.choose(task, workers, view) is workers[0]
        assert field.choose(task) is workers[0]

    run_virtual(choose)
