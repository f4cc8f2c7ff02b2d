"""Chooses workers for the tasks of a step and commits capacity on them."""

from collections.abc import Mapping, Sequence
from typing import Final

from pimentocross.owner.advice import TicketCache
from pimentocross.owner.isolation import Isolation
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.orders import Placement
from pimentocross.owner.rebalancer import Rebalancer
from pimentocross.owner.worker import Worker
from pimentocross.placement.field import HostIndex, HostList, HostPool
from pimentocross.placement.host import allows
from pimentocross.placement.hosts import rack_with_most_runs
from pimentocross.work.state import Run, Step, Task

# With this many workers that have a ticket and enough free capacity, the
# adviser isn't asked for more.
_MAX_ADVISED_WORKERS: Final = 4


class Placer:
    """Places the tasks of one scheduling pass."""

    def __init__(
        self,
        healthy: Sequence[Worker],
        usable: Sequence[Worker],
        learned: LearnedEstimates,
        rebalancer: Rebalancer,
        advice: TicketCache,
        isolation: Isolation,
        now: float,
    ) -> None:
        """Initializes the placer with the state of one pass.

        Args:
            healthy: Workers that are neither unsound nor quarantined.
            usable: All workers that may be used, healthy or not.
            learned: Statistics about workers.
            rebalancer: Holds the view by which workers are compared.
            advice: Tickets for steps that only some workers may run.
            isolation: Finds workers on which tasks can run isolated.
            now: Present time, monotonic.
        """
        self._healthy = HostIndex(healthy, rebalancer.view)
        self._usable = HostIndex(usable, rebalancer.view)
        self._racks: Mapping[int, str] = {
            worker.number: worker.life.rack for worker in healthy
        }
        self._learned = learned
        self._rebalancer = rebalancer
        self._advice = advice
        self._isolation = isolation
        # Isolated placements of the step that is being placed.
        self._isolated_placements: list[Placement] = []
        self._now = now

    def place(self, step: Step) -> list[Placement]:
        """Places as many waiting tasks of a step as fit on healthy workers."""
        return self._place_among(step, self._healthy)

    def place_anywhere(self, step: Step) -> list[Placement]:
        """Places as many waiting tasks of a step as fit on usable workers."""
        placed = self._place_among(step, self._usable)
        self._usable.include_all_workers()
        return placed

    def _place_among(
        self, step: Step, field: HostIndex[Worker]
    ) -> list[Placement]:
        places: HostPool[Worker] = field
        if step.job.queue.asks_adviser:
            places = HostList(
                self._advised(step, field.hosts), self._rebalancer.view
            )
        if step.spec.gang:
            placed = self._place_gang(step, places)
        else:
            placed = self._place_each(step, places)
        self._start_isolation()
        return placed

    def _place_each(
        self, step: Step, places: HostPool[Worker]
    ) -> list[Placement]:
        """Places waiting tasks of a step one by one until none fits."""
        rack = ""
        if step.spec.same_rack:
            rack = rack_with_most_runs(step.tasks, self._racks)
        placed = []
        no_isolated_place = False
        for task in step.waiting():
            isolated = task.crash_history.needs_isolation
            if task.not_before > self._now or (isolated and no_isolated_place):
                continue
            candidates = _candidates_for(task, places, self._now)
            placement = self._place(task, task.last_run + 1, candidates, rack)
            if placement is None:
                no_isolated_place = no_isolated_place or isolated
                if task.destination is not None or isolated:
                    continue
                break
            rack = rack or placement.worker.life.rack
            placed.append(placement)
        return placed

    def _advised(self, step: Step, workers: list[Worker]) -> list[Worker]:
        """Returns the workers with a ticket; asks for more if too few fit."""
        tickets = self._advice.tickets(step)
        found = [w for w in workers if w.life.id in tickets]
        fitting = sum(allows(w, step) for w in found)
        wanted = min(step.waiting_count, _MAX_ADVISED_WORKERS)
        if fitting < wanted and not self._advice.needs_no_request(step):
            eligible = [w for w in workers if allows(w, step)]
            eligible.sort(key=lambda w: -w.free.cpu)
            self._advice.request_tickets(step, [w.life.id for w in eligible])
        return found

    def _place_gang(
        self, step: Step, places: HostPool[Worker]
    ) -> list[Placement]:
        """Places all members of a gang under one run number, or none."""
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
                for earlier in placed:
                    earlier.worker.remove(earlier.task, number)
                    earlier.task.drop_run(number)
                    self._note_changed(earlier.worker)
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
            self._rebalancer.note_best_effort_start(image, worker, self._now)
        run = Run(number, worker.number, self._now)
        task.destination = None
        task.add_run(run)
        worker.add(task, run)
        self._note_changed(worker)
        quarantine = self._learned.quarantine
        quarantine.note_started(worker.life.id, (task, number), self._now)
        if not quarantine.admits(worker.life.id, self._now):
            places.exclude(worker)
        ticket = self._advice.tickets(task.step).get(worker.life.id, "")
        return Placement(task, run, worker, ticket)

    def _place_isolated(
        self, task: Task, number: int, places: HostPool[Worker], rack: str
    ) -> Placement | None:
        """Places a task in isolation, or without it after a time limit."""
        found = self._isolation.find(task, places.hosts, self._now)
        if found:
            places = HostList(found, self._rebalancer.view)
        elif not self._isolation.has_waited_too_long(task, self._now):
            return None
        placement = self._place_on(task, number, places, rack)
        if placement is not None:
            self._isolation.note_placed(task)
            if found:
                self._isolated_placements.append(placement)
        return placement

    def _start_isolation(self) -> None:
        """Keeps other steps off the workers of isolated tasks.

        Tasks of one step may share such a worker: whichever of them crashes
        it, the same job fails.
        """
        for task, run, worker, _ in self._isolated_placements:
            if run.number in task.runs:
                worker.isolate(task, run, self._now)
                self._note_changed(worker)
        self._isolated_placements = []

    def _note_changed(self, worker: Worker) -> None:
        self._healthy.note_changed(worker)
        self._usable.note_changed(worker)


def _candidates_for(
    task: Task, places: HostPool[Worker], now: float
) -> HostPool[Worker]:
    """Returns the destination of a task that is being moved, else all workers.

    The destination is dropped once it has expired.
    """
    if task.destination is None:
        return places
    if now >= task.destination.until:
        task.destination = None
        return places
    return places.restricted_to(task.destination.worker)
