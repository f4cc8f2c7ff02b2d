"""An index of the workers of one pass, ordered by fit for each task class.

Load pattern: hundreds of tasks of a few classes wait in a cell of hundreds of
workers. Evaluating every worker for each task would take most of a pass. Here
each task class evaluates every worker once, and afterwards only the workers
that changed, so that the number of evaluations grows with workers plus
placements and not with their product.
"""

from collections.abc import Iterable, Sequence
import heapq
from typing import Generic, NamedTuple, Protocol

from pimentocross.placement.host import left_over, may_run
from pimentocross.placement.hosts import (
    FAILED_THERE_PENALTY,
    OTHER_RACK_PENALTY,
    HostT,
    PlacementContext,
    choose,
    exclusions_for,
    fit,
    wanted_rack,
)
from pimentocross.work.spec import Size, StepSpec
from pimentocross.work.state import Step, Task


class HostPool(Protocol[HostT]):
    """A set of workers from which one is chosen for each task."""

    @property
    def hosts(self) -> list[HostT]:
        """Workers that are not excluded."""
        ...

    def choose(self, task: Task, rack: str = "") -> HostT | None:
        """Returns the best worker for a task, or None if none has room.

        Args:
            task: The task to start.
            rack: Rack that the step's other tasks are on, or "".
        """
        ...

    def exclude(self, host: HostT) -> None:
        """Excludes a worker from later choices."""
        ...

    def restricted_to(self, number: int) -> "HostPool[HostT]":
        """Returns the set of the one worker with a number.

        It is empty if the worker is excluded or unknown.
        """
        ...


class HostList(Generic[HostT]):
    """A short list of workers; each choice evaluates all of them."""

    def __init__(
        self, hosts: Iterable[HostT], context: PlacementContext
    ) -> None:
        """Initializes the list with its workers and the context of `fit`."""
        self._hosts = list(hosts)
        self._context = context

    @property
    def hosts(self) -> list[HostT]:
        """Workers that are not excluded."""
        return list(self._hosts)

    def choose(self, task: Task, rack: str = "") -> HostT | None:
        """Returns the best worker for a task, or None if none has room."""
        return choose(task, self._hosts, self._context, rack)

    def exclude(self, host: HostT) -> None:
        """Excludes a worker from later choices."""
        self._hosts.remove(host)

    def restricted_to(self, number: int) -> "HostList[HostT]":
        """Returns the list of the one worker with a number, or an empty one."""
        return HostList(
            [h for h in self._hosts if h.number == number], self._context
        )


class _TaskClass(NamedTuple):
    """The properties of a task that determine its fit on a worker.

    Attributes:
        service: Service whose workers may run the task.
        size: Requested resources.
        fills: Whether the task is best-effort.
        serves: Whether the task has a target for its response times.
        image: Image that the task runs.
        label: Label that the worker must have, or "".
        step: The task's step if it limits the tasks per worker, else None.
        rack: The only rack whose workers are considered, or "" for all.
    """

    service: str
    size: Size
    fills: bool
    serves: bool
    image: str
    label: str
    step: Step | None
    rack: str


class _Entry(NamedTuple):
    """The cost of a worker for a task class; entries sort by cost.

    Attributes:
        cost: Result of `fit`, plus penalties.
        position: The worker's position in the index. The lowest position wins
            among equal costs.
        version: The worker's version when it was evaluated.
    """

    cost: float
    position: int
    version: int


class _Shortlist:
    """The workers evaluated for one task class, as a heap."""

    def __init__(self, step: Step, positions: Sequence[int]) -> None:
        """Initializes the list with a step of the class and its positions."""
        self.step = step
        self.committed = step.spec.committed
        self.positions = frozenset(positions)
        self.entries: list[_Entry] = []
        # Number of changes of the index that this list has applied.
        self.changes_applied = 0


class HostIndex(Generic[HostT]):
    """Index of all workers that may be used in a pass.

    Code that adds a task to a worker or removes one must call `note_changed`.
    Any other input of `fit` can only exclude workers during a pass (a pair of
    images starts its trial, a target was missed). It is therefore enough to
    evaluate the best entry of a list again before it is used.
    """

    def __init__(
        self, hosts: Iterable[HostT], context: PlacementContext
    ) -> None:
        """Initializes the index with its workers and the context of `fit`."""
        self._hosts = list(hosts)
        self._context = context
        self._position_by_number = {
            h.number: position for position, h in enumerate(self._hosts)
        }
        self._versions = [0] * len(self._hosts)
        self._changes: list[int] = []
        self._excluded: set[int] = set()
        # Processor time left for best-effort tasks by position, and all serving
        # images; filled by `_prefilter`.
        self._free_best_effort: list[int] = []
        self._serving_images: set[str] = set()
        self._shortlists: dict[_TaskClass, _Shortlist] = {}

    @property
    def hosts(self) -> list[HostT]:
        """Workers that are not excluded."""
        return [
            host
            for position, host in enumerate(self._hosts)
            if position not in self._excluded
        ]

    def restricted_to(self, number: int) -> HostList[HostT]:
        """Returns the list of the one worker with a number, or an empty one."""
        position = self._position_by_number.get(number)
        if position is None or position in self._excluded:
            return HostList((), self._context)
        return HostList((self._hosts[position],), self._context)

    def note_changed(self, host: HostT) -> None:
        """Records that a task was added to a worker or removed from it."""
        position = self._position_by_number.get(host.number)
        if position is not None:
            self._versions[position] += 1
            if self._free_best_effort:
                self._free_best_effort[position] = left_over(host)
                self._serving_images.update(host.serving)
            self._changes.append(position)

    def exclude(self, host: HostT) -> None:
        """Excludes a worker from later choices."""
        self._excluded.add(self._position_by_number[host.number])
        self.note_changed(host)

    def include_all_workers(self) -> None:
        """Includes all excluded workers again."""
        excluded, self._excluded = self._excluded, set()
        for position in excluded:
            self.note_changed(self._hosts[position])

    def choose(self, task: Task, rack: str = "") -> HostT | None:
        """Returns the best worker for a task, or None if none has room."""
        best = self._best_in_rack(task, "")
        if best is None:
            return None
        wanted = wanted_rack(task.step.spec, rack)
        if wanted:
            in_rack = self._best_in_rack(task, wanted)
            if (
                in_rack is not None
                and in_rack.cost <= best.cost + OTHER_RACK_PENALTY
            ):
                best = in_rack
        return self._hosts[best.position]

    def _best_in_rack(self, task: Task, rack: str) -> _Entry | None:
        shortlist = self._shortlist(task.step, rack)
        if not task.failed_on:
            return self._best_current(shortlist)
        best: _Entry | None = None
        examined: list[_Entry] = []
        while (top := self._best_current(shortlist)) is not None:
            if best is not None and top >= best:
                break
            entry = top
            if self._hosts[top.position].number in task.failed_on:
                entry = top._replace(cost=top.cost + FAILED_THERE_PENALTY)
            best = entry if best is None else min(best, entry)
            examined.append(heapq.heappop(shortlist.entries))
        for entry in examined:
            heapq.heappush(shortlist.entries, entry)
        return best

    def _shortlist(self, step: Step, rack: str) -> _Shortlist:
        """Returns the up-to-date shortlist of a step's task class."""
        task_class = _task_class_of(step, rack)
        found = self._shortlists.get(task_class)
        if found is None:
            found = self._shortlists[task_class] = _Shortlist(
                step, self._positions_in_rack(rack)
            )
            changed = self._prefilter(step.spec, found.positions)
        elif found.changes_applied == len(self._changes):
            return found
        else:
            changed = found.positions.intersection(
                self._changes[found.changes_applied :]
            )
        found.changes_applied = len(self._changes)
        for position in changed:
            entry = self._evaluate(found, position)
            if entry is not None:
                heapq.heappush(found.entries, entry)
        return found

    def _positions_in_rack(self, rack: str) -> list[int]:
        return [
            position
            for position, host in enumerate(self._hosts)
            if not rack or host.life.rack == rack
        ]

    def _prefilter(
        self, spec: StepSpec, positions: Iterable[int]
    ) -> Iterable[int]:
        """Drops workers that can't run a task of a best-effort step.

        These have too little processor time left over, or run serving images
        that exclude the step's image. Positions are returned unchanged for a
        step that isn't best-effort.

        While best-effort images wait for room or for their first measurements,
        most workers of the cell are dropped here. Evaluating each of them took
        half of a pass.
        """
        if not spec.fills:
            return positions
        if not self._free_best_effort:
            self._free_best_effort = [left_over(host) for host in self._hosts]
            self._serving_images.update(*(host.serving for host in self._hosts))
        known = exclusions_for(spec, self._serving_images, self._context)
        hosts, left, least = self._hosts, self._free_best_effort, spec.size.cpu
        # The cheap checks come first and drop most workers.
        is_free = known.individually_blocking.isdisjoint
        return [
            position
            for position in positions
            if left[position] >= least
            and is_free(hosts[position].serving)
            and not known.excludes(hosts[position])
        ]

    def _evaluate(self, shortlist: _Shortlist, position: int) -> _Entry | None:
        """Returns the entry of a worker, or None if it may not be used."""
        host = self._hosts[position]
        if position in self._excluded:
            return None
        if not shortlist.committed.fits_in(host.free):
            return None
        if not may_run(host, shortlist.step):
            return None
        cost = fit(shortlist.step.spec, host, self._context)
        if cost == float("inf"):
            return None
        return _Entry(cost, position, self._versions[position])

    def _best_current(self, shortlist: _Shortlist) -> _Entry | None:
        """Returns the best entry of a list, evaluated again if necessary."""
        entries = shortlist.entries
        while entries:
            top = entries[0]
            if top.version == self._versions[top.position]:
                if not shortlist.step.spec.fills:
                    return top
                now = self._evaluate(shortlist, top.position)
                if now == top:
                    return top
                if now is not None:
                    heapq.heapreplace(entries, now)
                    continue
                self._prune_excluded(shortlist)
            heapq.heappop(entries)
        return None

    def _prune_excluded(self, shortlist: _Shortlist) -> None:
        """Drops outdated and excluded entries behind the first one.

        Two trials of a pair of images can exclude hundreds of workers at once.
        """
        entries = shortlist.entries
        known = exclusions_for(
            shortlist.step.spec, self._serving_images, self._context
        )
        entries[1:] = [
            entry
            for entry in entries[1:]
            if entry.version == self._versions[entry.position]
            and not known.excludes(self._hosts[entry.position])
        ]
        heapq.heapify(entries)


def _task_class_of(step: Step, rack: str) -> _TaskClass:
    spec = step.spec
    return _TaskClass(
        step.job.queue.service,
        spec.size,
        spec.fills,
        bool(spec.target_tail),
        spec.image,
        spec.label,
        step if spec.per_worker else None,
        rack,
    )
