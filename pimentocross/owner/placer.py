"""Finds workers for the tasks of a step and commits their room."""

from collections.abc import Mapping, Sequence
from typing import Final

from pimentocross.owner.advice import TicketCache
from pimentocross.owner.arranger import Arranger
from pimentocross.owner.isolation import Isolation
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.orders import Placement
from pimentocross.owner.worker import Worker
from pimentocross.placement.field import HostIndex, HostList, HostPool
from pimentocross.placement.host import allows
from pimentocross.placement.hosts import common_rack
from pimentocross.work.state import Run, Step, Task

# Workers with room and a ticket from which on no more are asked for.
_ADVISED_ENOUGH: Final = 4


class Placer:
    """Places the tasks of one pass."""

    def __init__(
        self,
        sound: Sequence[Worker],
        usable: Sequence[Worker],
        learned: LearnedEstimates,
        arranger: Arranger,
        advice: TicketCache,
        isolation: Isolation,
        now: float,
    ) -> None:
        """Takes the workers and what choosing among them goes by.

        Args:
            sound: Workers that are in no trouble.
            usable: All that may be taken for want of a better one.
            learned: What was learned of workers.
            arranger: Knows what their room is worth.
            advice: Knows who may run some steps.
            isolation: Finds where tasks are isolated.
            now: Present time.
        """
        self._sound = HostIndex(sound, arranger.view)
        self._usable = HostIndex(usable, arranger.view)
        self._racks: Mapping[int, str] = {
            worker.number: worker.life.rack for worker in sound
        }
        self._learned = learned
        self._arranger = arranger
        self._advice = advice
        self._isolation = isolation
        # Isolated placements of the step that is being placed.
        self._placed_alone: list[Placement] = []
        self._now = now

    def place(self, step: Step) -> list[Placement]:
        """Places what waits of a step on sound workers, as far as it fits."""
        return self._place_among(step, self._sound)

    def place_anywhere(self, step: Step) -> list[Placement]:
        """Places what waits of a step on any worker, as far as it fits."""
        placed = self._place_among(step, self._usable)
        self._usable.include_all()
        return placed

    def _place_among(
        self, step: Step, field: HostIndex[Worker]
    ) -> list[Placement]:
        places: HostPool[Worker] = field
        if step.job.queue.asks_adviser:
            places = HostList(
                self._advised(step, field.hosts), self._arranger.view
            )
        if step.spec.gang:
            placed = self._place_gang(step, places)
        else:
            placed = self._place_each(step, places)
        self._begin_isolation()
        return placed

    def _place_each(
        self, step: Step, places: HostPool[Worker]
    ) -> list[Placement]:
        """Places what waits of a step one by one, as far as it fits."""
        rack = ""
        if step.spec.same_rack:
            rack = common_rack(step.tasks, self._racks)
        placed = []
        none_quiet = False
        for task in step.waiting():
            isolated = task.crash_history.needs_isolation
            if task.not_before > self._now or (isolated and none_quiet):
                continue
            where = _destination(task, places, self._now)
            placement = self._place(task, task.last_run + 1, where, rack)
            if placement is None:
                none_quiet = none_quiet or isolated
                if task.bound_for is not None or isolated:
                    continue
                break
            rack = rack or placement.worker.life.rack
            placed.append(placement)
        return placed

    def _advised(self, step: Step, workers: list[Worker]) -> list[Worker]:
        """Returns the workers that may run a step; asks if there are few."""
        tickets = self._advice.tickets(step)
        found = [w for w in workers if w.life.id in tickets]
        room = sum(allows(w, step) for w in found)
        enough = min(step.waiting_count, _ADVISED_ENOUGH)
        if room < enough and not self._advice.needs_no_request(step):
            able = [w for w in workers if allows(w, step)]
            able.sort(key=lambda w: -w.free.cpu)
            self._advice.request_tickets(step, [w.life.id for w in able])
        return found

    def _place_gang(
        self, step: Step, places: HostPool[Worker]
    ) -> list[Placement]:
        """Places all members under one run number, or none."""
        tasks = list(step.waiting())
        if len(tasks) < step.spec.width:
            return []
        if any(task.not_before > self._now for task in tasks):
            return []
        number = max(task.last_run for task in tasks) + 1
        placed: list[Placement] = []
        rack = ""
        for task in tasks:
            placement = self._place(task, number, places, rack)
            if placement is None:
                for taken in placed:
                    taken.worker.remove(taken.task, number)
                    taken.task.drop_run(number)
                    self._note_changed(taken.worker)
                return []
            rack = rack or placement.worker.life.rack
            placed.append(placement)
        return placed

    def _place(
        self, task: Task, number: int, places: HostPool[Worker], rack: str
    ) -> Placement | None:
        if task.crash_history.needs_isolation:
            return self._place_isolated(task, number, places, rack)
        return self._place_on(task, number, places, rack)

    def _place_on(
        self, task: Task, number: int, places: HostPool[Worker], rack: str
    ) -> Placement | None:
        worker = places.choose(task, rack)
        if worker is None:
            return None
        if task.step.spec.fills:
            image = task.step.spec.image
            self._arranger.note_filler(image, worker, self._now)
        run = Run(number, worker.number, self._now)
        task.bound_for = None
        task.add_run(run)
        worker.add(task, run)
        self._note_changed(worker)
        quarantine = self._learned.quarantine
        quarantine.note_started(worker.life.id)
        if not quarantine.admits(worker.life.id, self._now):
            places.exclude(worker)
        ticket = self._advice.tickets(task.step).get(worker.life.id, "")
        return Placement(task, run, worker, ticket)

    def _place_isolated(
        self, task: Task, number: int, places: HostPool[Worker], rack: str
    ) -> Placement | None:
        """Places a task in isolation, or without if that takes too long."""
        found = self._isolation.find(task, places.hosts)
        if found:
            places = HostList(found, self._arranger.view)
        elif not self._isolation.is_due(task, self._now):
            return None
        placement = self._place_on(task, number, places, rack)
        if placement is not None:
            self._isolation.note_placed(task)
            if found:
                self._placed_alone.append(placement)
        return placement

    def _begin_isolation(self) -> None:
        """Keeps other steps off the workers of isolated tasks.

        Tasks of one step may share such a worker: their job is given up by
        whichever of them crashes it.
        """
        for task, run, worker, _ in self._placed_alone:
            if run.number in task.runs:
                worker.isolate(task, run)
                self._note_changed(worker)
        self._placed_alone = []

    def _note_changed(self, worker: Worker) -> None:
        self._sound.note_changed(worker)
        self._usable.note_changed(worker)


def _destination(
    task: Task, places: HostPool[Worker], now: float
) -> HostPool[Worker]:
    """Returns the worker that a task is moved to, for a while, or all."""
    if task.bound_for is None:
        return places
    if now >= task.bound_for.until:
        task.bound_for = None
        return places
    return places.restricted_to(task.bound_for.worker)
