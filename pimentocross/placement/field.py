"""The workers of one pass, in the order in which they suit each kind of task.

Load pattern: hundreds of tasks of a few kinds wait in a cell of hundreds of
workers. Looked at anew for each task, they would take most of a pass. Here a
kind looks at each worker once, and again only at those that changed: looks grow
with workers plus placements, not with their product.
"""

from collections.abc import Iterable, Sequence
import heapq
from typing import Generic, NamedTuple, Protocol

from pimentocross.placement.host import left_over, may_run
from pimentocross.placement.hosts import (
    FAILED_THERE,
    NOT_NEAR,
    HostT,
    View,
    choose,
    fit,
    shut_out,
    wanted_rack,
)
from pimentocross.work.spec import Size, StepSpec
from pimentocross.work.state import Step, Task


class Places(Protocol[HostT]):
    """Workers among which one is chosen."""

    @property
    def hosts(self) -> list[HostT]:
        """Those that aren't left out."""
        ...

    def choose(self, task: Task, rack: str = "") -> HostT | None:
        """Returns the best worker for a task, or None if none has room.

        Args:
            task: What is to be started.
            rack: Rack that the step's other tasks are on, or "".
        """
        ...

    def close(self, host: HostT) -> None:
        """Has a worker left out from now on."""
        ...

    def only(self, number: int) -> "Places[HostT]":
        """Returns just the worker of a number, if it isn't left out."""
        ...


class Few(Generic[HostT]):
    """A few workers, looked at one by one."""

    def __init__(self, hosts: Iterable[HostT], view: View) -> None:
        """Takes the workers and what is known beside them."""
        self._hosts = list(hosts)
        self._view = view

    @property
    def hosts(self) -> list[HostT]:
        """Those that aren't left out."""
        return list(self._hosts)

    def choose(self, task: Task, rack: str = "") -> HostT | None:
        """Returns the best worker for a task, or None if none has room."""
        return choose(task, self._hosts, self._view, rack)

    def close(self, host: HostT) -> None:
        """Has a worker left out from now on."""
        self._hosts.remove(host)

    def only(self, number: int) -> "Few[HostT]":
        """Returns just the worker of a number, if it isn't left out."""
        return Few([h for h in self._hosts if h.number == number], self._view)


class _Kind(NamedTuple):
    """All that decides where a task fits, and how well.

    Attributes:
        service: Service whose workers may run it.
        size: What it asks for.
        fills: Whether it takes only what is left over.
        serves: Whether it has a target for its response times.
        image: What it runs.
        label: Label that the worker must have, or "".
        step: Its step if workers may run only some tasks of it, else None.
        rack: Rack outside of which it isn't looked for, or "".
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
    """How badly tasks of a kind fit a worker; sorts by that.

    Attributes:
        cost: As `fit` returns it, and penalties.
        place: The worker's place in the field; the first of equals is taken.
        version: The worker's when it was looked at.
    """

    cost: float
    place: int
    version: int


class _Shortlist:
    """Workers for tasks of a kind, as far as they were looked at."""

    def __init__(self, step: Step, places: Sequence[int]) -> None:
        """Takes a step of the kind, and where to look first."""
        self.step = step
        self.committed = step.spec.committed
        self.places = frozenset(places)
        self.entries: list[_Entry] = []
        # Changes of the field that were taken in.
        self.seen = 0


class Field(Generic[HostT]):
    """All workers that may be taken in a pass.

    Whoever gives a worker a task or takes one from it says so: `note_changed`.
    What else a fit goes by can only shut workers out within a pass (a pair is
    being tried, a target was missed), so that the best of a list is looked at
    once more before it is taken, and no other.
    """

    def __init__(self, hosts: Iterable[HostT], view: View) -> None:
        """Takes the workers and what is known beside them."""
        self._hosts = list(hosts)
        self._view = view
        self._places = {h.number: place for place, h in enumerate(self._hosts)}
        self._versions = [0] * len(self._hosts)
        self._changes: list[int] = []
        self._closed: set[int] = set()
        # What is left over on each, and all images that serve; see `_open_to`.
        self._left: list[int] = []
        self._images: set[str] = set()
        self._shortlists: dict[_Kind, _Shortlist] = {}

    @property
    def hosts(self) -> list[HostT]:
        """Those that aren't left out."""
        return [
            host
            for place, host in enumerate(self._hosts)
            if place not in self._closed
        ]

    def only(self, number: int) -> Few[HostT]:
        """Returns just the worker of a number, if it isn't left out."""
        place = self._places.get(number)
        if place is None or place in self._closed:
            return Few((), self._view)
        return Few((self._hosts[place],), self._view)

    def note_changed(self, host: HostT) -> None:
        """Notes that a worker was given a task, or lost one."""
        place = self._places.get(host.number)
        if place is not None:
            self._versions[place] += 1
            if self._left:
                self._left[place] = left_over(host)
                self._images.update(host.serving)
            self._changes.append(place)

    def close(self, host: HostT) -> None:
        """Has a worker left out from now on."""
        self._closed.add(self._places[host.number])
        self.note_changed(host)

    def reopen(self) -> None:
        """Takes in again all that was left out."""
        closed, self._closed = self._closed, set()
        for place in closed:
            self.note_changed(self._hosts[place])

    def choose(self, task: Task, rack: str = "") -> HostT | None:
        """Returns the best worker for a task, or None if none has room."""
        best = self._best(task, "")
        if best is None:
            return None
        wanted = wanted_rack(task.step.spec, rack)
        if wanted:
            near = self._best(task, wanted)
            if near is not None and near.cost <= best.cost + NOT_NEAR:
                best = near
        return self._hosts[best.place]

    def _best(self, task: Task, rack: str) -> _Entry | None:
        shortlist = self._shortlist(task.step, rack)
        if not task.failed_on:
            return self._top(shortlist)
        best: _Entry | None = None
        passed: list[_Entry] = []
        while (top := self._top(shortlist)) is not None:
            if best is not None and top >= best:
                break
            entry = top
            if self._hosts[top.place].number in task.failed_on:
                entry = top._replace(cost=top.cost + FAILED_THERE)
            best = entry if best is None else min(best, entry)
            passed.append(heapq.heappop(shortlist.entries))
        for entry in passed:
            heapq.heappush(shortlist.entries, entry)
        return best

    def _shortlist(self, step: Step, rack: str) -> _Shortlist:
        """Returns what is known of a step's kind, brought up to date."""
        kind = _kind_of(step, rack)
        found = self._shortlists.get(kind)
        if found is None:
            found = self._shortlists[kind] = _Shortlist(step, self._near(rack))
            changed = self._open_to(step.spec, found.places)
        elif found.seen == len(self._changes):
            return found
        else:
            changed = found.places.intersection(self._changes[found.seen :])
        found.seen = len(self._changes)
        for place in changed:
            entry = self._look(found, place)
            if entry is not None:
                heapq.heappush(found.entries, entry)
        return found

    def _near(self, rack: str) -> list[int]:
        return [
            place
            for place, host in enumerate(self._hosts)
            if not rack or host.life.rack == rack
        ]

    def _open_to(self, spec: StepSpec, places: Iterable[int]) -> Iterable[int]:
        """Leaves out workers that are full or serve what shuts an image out.

        Where images that fill wait for room or for their first readings, that
        is most of the cell: a look at each of them cost half of a pass.
        """
        if not spec.fills:
            return places
        if not self._left:
            self._left = [left_over(host) for host in self._hosts]
            self._images.update(*(host.serving for host in self._hosts))
        known = shut_out(spec, self._images, self._view)
        hosts, left, least = self._hosts, self._left, spec.size.cpu
        # Most are left out by what is quickly asked.
        is_free = known.alone.isdisjoint
        return [
            place
            for place in places
            if left[place] >= least
            and is_free(hosts[place].serving)
            and not known.shuts(hosts[place])
        ]

    def _look(self, shortlist: _Shortlist, place: int) -> _Entry | None:
        """Returns how badly a worker fits, or None if it may not be taken."""
        host = self._hosts[place]
        if place in self._closed:
            return None
        if not shortlist.committed.fits_in(host.free):
            return None
        if not may_run(host, shortlist.step):
            return None
        cost = fit(shortlist.step.spec, host, self._view)
        if cost == float("inf"):
            return None
        return _Entry(cost, place, self._versions[place])

    def _top(self, shortlist: _Shortlist) -> _Entry | None:
        """Returns the best of a list, as it is now."""
        entries = shortlist.entries
        while entries:
            top = entries[0]
            if top.version == self._versions[top.place]:
                if not shortlist.step.spec.fills:
                    return top
                now = self._look(shortlist, top.place)
                if now == top:
                    return top
                if now is not None:
                    heapq.heapreplace(entries, now)
                    continue
                self._weed(shortlist)
            heapq.heappop(entries)
        return None

    def _weed(self, shortlist: _Shortlist) -> None:
        """Drops all but the first that are kept out by what kept it out.

        Two trials of a pair shut hundreds of workers at once.
        """
        entries = shortlist.entries
        known = shut_out(shortlist.step.spec, self._images, self._view)
        entries[1:] = [
            entry
            for entry in entries[1:]
            if entry.version == self._versions[entry.place]
            and not known.shuts(self._hosts[entry.place])
        ]
        heapq.heapify(entries)


def _kind_of(step: Step, rack: str) -> _Kind:
    spec = step.spec
    return _Kind(
        step.job.queue.service,
        spec.size,
        spec.fills,
        bool(spec.target_tail),
        spec.image,
        spec.label,
        step if spec.per_worker else None,
        rack,
    )
