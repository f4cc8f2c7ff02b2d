"""What an owner learns from endings and listings, for all its decisions."""

from collections.abc import Mapping
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.worker_link import Ending, EndKind
from pimentocross.observe.decisions import note
from pimentocross.owner.worker import Worker
from pimentocross.placement.disturbance import Disturbance, Pair
from pimentocross.placement.durations import Durations
from pimentocross.placement.quarantine import Quarantine, QuarantineTerms
from pimentocross.placement.soundness import Progress, Speeds, is_sick
from pimentocross.work.records import LearnedRecord, encode_learned
from pimentocross.work.state import Run, Task

# Two jobs that fail in a row speak against a worker: ordinary tasks fail one
# time in twenty, two of different jobs in a row one time in 400.
_QUARANTINE: Final = QuarantineTerms(after=2, first=3.0, most=12.0)
# What serves alone on a sound worker stays under this share of its target.
_SOUND_ALONE: Final = 1.2
# A worker that was seen in trouble gets nothing new for this long: faults of
# this kind were seen to last for 5 to 8 s.
UNSOUND_FOR: Final = 2.0


class Measured(NamedTuple):
    """A run and how far it is."""

    run: Run
    progress: Progress


class Learned:
    """Durations, pairs that disturb, and workers to be left alone.

    Attributes:
        durations: How long tasks take.
        disturbance: Which images disturb which.
        quarantine: Workers that fail what they start.
    """

    def __init__(self) -> None:
        """Knows nothing yet."""
        self.durations = Durations()
        self.disturbance = Disturbance()
        self.quarantine = Quarantine(_QUARANTINE)
        self._speeds = Speeds()

    def encode(self) -> bytes:
        """Returns the record that a successor begins with."""
        return encode_learned(self.disturbance.pairs(), self.durations.means())

    def restore(self, record: LearnedRecord) -> None:
        """Takes what a former owner had learned."""
        pairs = [Pair(*row) for row in record.pairs]
        self.disturbance.restore(pairs, trio.current_time())
        self.durations.restore(record.durations)

    def judge(
        self, worker: Worker, task: Task, run: Run | None, ending: Ending
    ) -> None:
        """Learns from an ending."""
        if ending.how is EndKind.DONE:
            self.quarantine.note_finished(worker.life.id)
            if run is not None and run.decided_at and not run.paced_at:
                took = trio.current_time() - run.decided_at
                self.durations.note(task.step.job.queue.name, took)
        elif ending.how is EndKind.FAILED:
            self.hold_against(worker, task)
        elif not task.step.spec.lasting:
            self.quarantine.note_lost(worker.life.id)

    def hold_against(self, worker: Worker, task: Task) -> None:
        """Holds a failure or a standstill against a worker."""
        now = trio.current_time()
        job = task.step.job.id
        self.quarantine.note_failed(worker.life.id, job, now)
        reason = self.quarantine.explain(worker.life.id, now)
        if reason:
            note("worker_suspect", worker=worker.life.id, reason=reason)

    def on_listed(self, worker: Worker) -> None:
        """Learns from the figures of a new listing."""
        worker.version += 1
        now = trio.current_time()
        loads = worker.filler_loads()
        self._check_soundness(worker, loads, now)
        if not worker.serves or worker.unsound_until > now:
            # What a worker in trouble shows says nothing of pairs.
            return
        for reading in worker.readings(now):
            if loads or reading.ratio < _SOUND_ALONE:
                self.disturbance.learn(
                    reading.image,
                    loads,
                    reading.typical,
                    now,
                    worker.number,
                )

    def progress(self, worker: Worker) -> list[Measured]:
        """Returns how far the runs are that end and were never slowed."""
        found = []
        for task, run in worker.running():
            elapsed = run.percent_at - run.state_at
            if task.step.spec.lasting or run.paced_at or elapsed <= 0:
                continue
            if not run.decided_at:
                # Adopted: how long and how fast it worked isn't known.
                continue
            job = task.step.job
            expected = self.durations.task(job.queue.name, task.step.spec)
            progress = Progress(job.id, expected, run.percent, elapsed)
            found.append(Measured(run, progress))
        return found

    def _check_soundness(
        self, worker: Worker, loads: Mapping[str, float], now: float
    ) -> None:
        """Marks a worker that is in trouble, for as long as it is seen."""
        explained = max(
            (self.disturbance.added(s, loads) for s in worker.serving),
            default=0.0,
        )
        sick = is_sick(worker.readings(now), explained)
        runs = [measured.progress for measured in self.progress(worker)]
        slow = self._speeds.is_slow(worker.number, runs, now)
        if not sick and not slow:
            return
        if now > worker.unsound_until:
            note("worker_unsound", worker=worker.life.id, sick=sick, slow=slow)
        worker.unsound_until = now + UNSOUND_FOR
