"""What an owner learns from endings and listings, for all its decisions."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.switches import ALL_ON, Part, Switches
from pimentocross.contracts.worker_link import Ending, EndKind
from pimentocross.observe.decisions import note
from pimentocross.owner.backlog import (
    MILLICORES_PER_CORE,
    CapacityPool,
    capacity_pool_of,
)
from pimentocross.owner.worker import Worker
from pimentocross.placement.disturbance import Disturbance, PairEstimate
from pimentocross.placement.durations import Durations
from pimentocross.placement.forecast import FinishRate
from pimentocross.placement.pacing import Reading
from pimentocross.placement.projections import Projections
from pimentocross.placement.quarantine import Quarantine, QuarantineSettings
from pimentocross.placement.soundness import (
    MIN_MEASURED_SECONDS,
    SLOW_BELOW,
    Progress,
    Speeds,
    is_sick,
)
from pimentocross.work.records import LearnedRecord, encode_learned
from pimentocross.work.state import Run, RunState, Step, Task

# Two jobs that fail in a row speak against a worker: ordinary tasks fail one
# time in twenty, two of different jobs in a row one time in 400.
_QUARANTINE: Final = QuarantineSettings(after=2, first=3.0, most=12.0)
# What serves alone on a sound worker stays under this share of its target.
_SOUND_ALONE: Final = 1.2
# A worker that was seen in trouble gets nothing new for this long, seconds:
# shorter than most faults of this kind, so that a try tells when they end.
UNSOUND_FOR: Final = 2.0


class Measured(NamedTuple):
    """A run and how far it is."""

    run: Run
    progress: Progress


class _Expected(NamedTuple):
    """Seconds that a task takes, and whether its own step tells so."""

    seconds: float
    is_sure: bool


class LearnedEstimates:
    """Durations, pairs that disturb, and workers to be left alone.

    Attributes:
        durations: How long tasks take.
        disturbance: Which images disturb which.
        quarantine: Workers that fail what they start.
    """

    def __init__(self, switches: Switches = ALL_ON) -> None:
        """Knows nothing yet; takes which parts are switched off."""
        self.durations = Durations(use_tails=switches.is_on(Part.TAILS))
        self.disturbance = Disturbance()
        self.quarantine = Quarantine(_QUARANTINE)
        self._speeds = Speeds()
        self._finished: dict[CapacityPool, FinishRate] = defaultdict(FinishRate)
        self._projections = Projections()

    def encode(self) -> bytes:
        """Returns the record that a successor begins with."""
        return encode_learned(self.disturbance.pairs(), self.durations.means())

    def restore(self, record: LearnedRecord) -> None:
        """Takes what a former owner had learned."""
        pairs = [PairEstimate(*row) for row in record.pairs]
        self.disturbance.restore(pairs, trio.current_time())
        self.durations.restore(record.durations)

    def on_ending(
        self, worker: Worker, task: Task, run: Run | None, ending: Ending
    ) -> None:
        """Learns from an ending."""
        if ending.how is EndKind.DONE:
            self.quarantine.note_finished(
                worker.life.id, task.step.job.id, trio.current_time()
            )
            self._note_finished(task.step)
            if run is not None and run.decided_at and not run.paced_at:
                took = trio.current_time() - run.decided_at
                self._note_duration(worker, task, run, took)
        elif ending.how is EndKind.FAILED:
            self.record_failure(worker, task)
        elif not task.step.spec.lasting:
            self.quarantine.note_lost(worker.life.id)

    def finished_cores(self, account: CapacityPool, now: float) -> float | None:
        """Returns core-seconds that are done a second, or None if unsure."""
        rate = self._finished.get(account)
        return rate.cores(now) if rate is not None else None

    def _note_finished(self, step: Step) -> None:
        duration = self.durations.task(step.job.queue.name, step.spec)
        work = step.spec.size.cpu / MILLICORES_PER_CORE * duration
        rate = self._finished[capacity_pool_of(step)]
        rate.note(work, trio.current_time())

    def _note_duration(
        self, worker: Worker, task: Task, run: Run, took: float
    ) -> None:
        if worker.unsound_until <= run.decided_at:
            worked = trio.current_time() - run.state_at
            self.durations.note_task(task.step, took, worked)
        else:
            # What a worker in trouble adds is no tail of the queue.
            self.durations.note(task.step.job.queue.name, took)

    def record_failure(self, worker: Worker, task: Task) -> None:
        """Holds a failure or a standstill against a worker."""
        now = trio.current_time()
        job = task.step.job.id
        self.quarantine.note_failed(worker.life.id, job, now, str(task.name))
        reason = self.quarantine.explain(worker.life.id, now)
        if reason:
            note("worker_suspect", worker=worker.life.id, reason=reason)

    def on_listed(self, worker: Worker) -> None:
        """Learns from the figures of a listing that was just heard."""
        worker.version += 1
        now = worker.heard_at
        loads = worker.filler_loads()
        readings = worker.readings(now)
        self._check_soundness(worker, readings, loads, now)
        if not worker.serves or worker.unsound_until > now:
            # What a worker in trouble shows says nothing of pairs.
            return
        for reading in readings:
            if loads or reading.ratio < _SOUND_ALONE:
                self.disturbance.learn(
                    reading.image,
                    loads,
                    reading.median_ratio,
                    now,
                    worker.number,
                )

    def progress(self, worker: Worker) -> list[Measured]:
        """Returns how far the runs are that end and were never slowed."""
        return [Measured(*found) for found in self._progress(worker, 0.0)]

    def _progress(
        self, worker: Worker, least: float
    ) -> list[tuple[Run, Progress]]:
        """Returns the same of runs that took at least some seconds."""
        found = []
        durations = self.durations
        # A worker often has several tasks of one step.
        expected: dict[Step, tuple[float, bool]] = {}
        for (task, _), run in worker.runs.items():
            elapsed = run.percent_at - run.state_at
            if elapsed <= 0 or elapsed < least:
                continue
            if run.state is not RunState.RUNNING:
                continue
            step = task.step
            if step.spec.lasting or run.paced_at or not run.decided_at:
                # Adopted: how long and how fast it worked isn't known.
                continue
            if durations.has_any_tail:
                self._project(worker, step, run, elapsed)
            if step not in expected and durations.has_any_tail:
                expected[step] = self._expected(step, worker)
            elif step not in expected:
                queue = step.job.queue.name
                expected[step] = durations.task(queue, step.spec), True
            seconds, is_sure = expected[step]
            long_task_probability = 0.0
            if not is_sure:
                long_task_probability = durations.probability_over(
                    step.job.queue.name, seconds / SLOW_BELOW, elapsed
                )
            progress = Progress(
                step.job.id,
                seconds,
                run.percent,
                elapsed,
                long_task_probability,
            )
            found.append((run, progress))
        return found

    def _expected(self, step: Step, worker: Worker) -> _Expected:
        """Returns how long tasks of a step take on sound workers.

        Where a queue has a tail, others of the step tell first of a long one.
        """
        durations = self.durations
        if durations.has_measured_tasks(step):
            return _Expected(durations.expected_duration(step), is_sure=True)
        elsewhere = self._projections.elsewhere(step, worker.number)
        if elsewhere is None:
            return _Expected(durations.expected_duration(step), is_sure=False)
        return _Expected(elsewhere, is_sure=True)

    def _project(
        self, worker: Worker, step: Step, run: Run, elapsed: float
    ) -> None:
        """Notes what a run's progress tells of a step whose tasks may be long.

        It is asked for on other workers alone.
        """
        if elapsed < MIN_MEASURED_SECONDS or not run.percent:
            return
        if self.durations.has_tail(step.job.queue.name):
            seconds = elapsed * 100 / run.percent
            self._projections.note(step, worker.number, seconds)

    def _check_soundness(
        self,
        worker: Worker,
        readings: Sequence[Reading],
        loads: Mapping[str, float],
        now: float,
    ) -> None:
        """Marks a worker that is in trouble, for as long as it is seen."""
        # What fillers explain only excuses: it is looked up, for each pair of
        # images, only where there is something to excuse.
        sick = is_sick(readings, 0.0) and is_sick(
            readings, self._explained(worker, loads)
        )
        runs = [
            found for _, found in self._progress(worker, MIN_MEASURED_SECONDS)
        ]
        slow = self._speeds.is_slow(worker.number, runs, now)
        if not sick and not slow:
            return
        if now > worker.unsound_until:
            note("worker_unsound", worker=worker.life.id, sick=sick, slow=slow)
        worker.unsound_until = now + UNSOUND_FOR

    def _explained(self, worker: Worker, loads: Mapping[str, float]) -> float:
        """Returns what fillers add to the logarithm of the worst tail."""
        return max(
            (
                self.disturbance.expected_increase(s, loads)
                for s in worker.serving
            ),
            default=0.0,
        )
