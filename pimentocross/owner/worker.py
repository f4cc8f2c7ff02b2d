"""One worker life as the owner of a cell knows it."""

from collections import Counter
from collections.abc import Mapping

import trio

from pimentocross.contracts.worker_link import WorkerLife, WorkerLink
from pimentocross.owner.clock import WorkerClock
from pimentocross.placement.pacing import Reading
from pimentocross.work.spec import Size
from pimentocross.work.state import Run, RunState, Step, Task

RunKey = tuple[Task, int]
# A lasting task that is at work is listed with this percentage.
_AT_WORK = 100


class Worker:
    """A worker life, what it carries and its lease.

    Attributes:
        life: As last listed in the directory.
        number: Its number in the roster.
        link: How it is reached.
        clock: Its clock.
        runs: Runs that may be on it.
        committed: What those take of its capacity.
        lease_end: Latest reading of its clock up to which anything was let
            run, or None if a former owner may have granted more.
        blind_until: Until when a former owner's leases may last, monotonic.
        heard_at: When it last listed what runs, monotonic.
        seen: Number of the newest ending whose record is stored.
        adopted: Whether it has listed what runs to this owner.
        listed: Whether the directory lists it.
        gone: Whether this life has surely ended.
        reached: False from the first call without an answer to the next.
    """

    def __init__(self, life: WorkerLife, number: int, link: WorkerLink) -> None:
        """Makes a worker that was not heard yet."""
        self.life = life
        self.number = number
        self.link = link
        self.clock = WorkerClock()
        self.runs: dict[RunKey, Run] = {}
        self.committed = Size(0, 0, 0)
        self.lease_end: float | None = None
        self.blind_until = 0.0
        self.heard_at = float("-inf")
        self.seen = 0
        self.adopted = False
        self.listed = True
        self.gone = False
        self.reached = True
        self.draining_since: float | None = None
        self.calls = trio.Semaphore(4)
        self.paced_at = 0.0
        self._step_counts: dict[Step, int] = {}
        self._over_since: dict[str, float] = {}
        self._serving: Counter[str] = Counter()
        self._filling: Counter[str] = Counter()

    @property
    def free(self) -> Size:
        """What is not committed."""
        return self.life.capacity.minus(self.committed)

    @property
    def usable(self) -> bool:
        """True if new runs may be sent to it."""
        return (
            self.adopted
            and self.listed
            and self.reached
            and not self.gone
            and not self.life.draining
        )

    def count_of(self, step: Step) -> int:
        """Returns how many runs of a step may be on it."""
        return self._step_counts.get(step, 0)

    def add(self, task: Task, run: Run) -> None:
        """Commits what a run takes."""
        self.runs[(task, run.number)] = run
        self.committed = self.committed.plus(task.step.spec.committed)
        counts = self._step_counts
        counts[task.step] = counts.get(task.step, 0) + 1
        self._count_image(task, 1)

    def remove(self, task: Task, number: int) -> None:
        """Releases what a run took."""
        if self.runs.pop((task, number), None) is None:
            return
        self.committed = self.committed.minus(task.step.spec.committed)
        self._count_image(task, -1)
        left = self._step_counts[task.step] - 1
        if left:
            self._step_counts[task.step] = left
        else:
            del self._step_counts[task.step]

    def lapsed(self, now: float) -> bool:
        """True once every lease must have ended, and none can be renewed."""
        if self.lease_end is None:
            return now > self.blind_until
        return self.clock.surely_past(self.lease_end, now)

    @property
    def serves(self) -> bool:
        """True if a task with a target for its response times is on it."""
        return bool(self._serving)

    @property
    def filled(self) -> int:
        """Processor time that tasks that fill ask for, thousandths."""
        return self._filling.total()

    @property
    def serving(self) -> Mapping[str, int]:
        """Processor time that serving tasks ask for, thousandths by image."""
        return self._serving

    @property
    def filling(self) -> Mapping[str, int]:
        """The same of tasks that fill."""
        return self._filling

    def _count_image(self, task: Task, sign: int) -> None:
        spec = task.step.spec
        if spec.fills:
            counter = self._filling
        elif spec.target_tail:
            counter = self._serving
        else:
            return
        counter[spec.image] += sign * spec.size.cpu
        if counter[spec.image] <= 0:
            del counter[spec.image]

    def readings(self, now: float) -> list[Reading]:
        """Returns the worst ratio of each serving image that is at work."""
        worst: dict[str, float] = {}
        for task, run in self.running():
            spec = task.step.spec
            if spec.target_tail and run.percent >= _AT_WORK and run.figure:
                ratio = run.figure / spec.target_tail
                worst[spec.image] = max(worst.get(spec.image, 0.0), ratio)
        for image in list(self._over_since):
            if worst.get(image, 0.0) < 1.0:
                del self._over_since[image]
        return [
            Reading(image, ratio, self._over_for(image, ratio, now))
            for image, ratio in worst.items()
        ]

    def _over_for(self, image: str, ratio: float, now: float) -> float:
        if ratio < 1.0:
            return 0.0
        return now - self._over_since.setdefault(image, now)

    def running(self) -> list[tuple[Task, Run]]:
        """Returns the runs that were listed and aren't being stopped."""
        return [
            (task, run)
            for (task, _), run in self.runs.items()
            if run.state is RunState.RUNNING
        ]

    def drain_left(self, now: float) -> float:
        """Returns the seconds that a draining worker surely still has."""
        since = self.draining_since if self.draining_since else now
        return max(self.life.remaining - (now - since), 0.0)
