"""Estimates that an owner learns from endings and listings of workers."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple, cast

import trio

from pimentocross.contracts.switches import ALL_ON, Part, Switches
from pimentocross.contracts.worker_link import Ending, EndKind
from pimentocross.observe.decisions import note
from pimentocross.owner.backlog import (
    MILLICORES_PER_CORE,
    CapacityPool,
    capacity_pool_of,
)
from pimentocross.owner.worker import AT_WORK_PERCENT, RunKey, Worker
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

# A worker is quarantined once tasks of two jobs fail in a row: ordinary tasks
# fail one time in 20, so that two failures of different jobs in a row happen by
# chance one time in 400.
# Users count a task as lost that doesn't run within 3 s where there is capacity
# for it, so a trial keeps others off no longer than that.
QUARANTINE: Final = QuarantineSettings(after=2, first=3.0, most=12.0, trial=3.0)
# A task that serves alone on a sound worker stays under this multiple of its
# latency target.
_MAX_SOUND_RATIO: Final = 1.2
# Seconds for which an unsound worker gets no new tasks. Most such faults last
# longer, so that tasks placed afterwards show whether the fault has ended.
UNSOUND_SECONDS: Final = 2.0
# Seconds after which an unsound worker gets new tasks again though its figures
# are still bad: tasks that can't be moved away may be the cause.
MAX_UNSOUND_SECONDS: Final = 12.0
# Seconds for which it then gets them.
UNSOUND_TRIAL_SECONDS: Final = 1.0


class MeasuredRun(NamedTuple):
    """A run and its measured progress."""

    run: Run
    progress: Progress


class _ExpectedDuration(NamedTuple):
    """Expected seconds of a task, and whether its own step confirms them."""

    seconds: float
    is_sure: bool


class LearnedEstimates:
    """Estimates of durations, disturbance and soundness of workers.

    Attributes:
        durations: Estimates of how long tasks take.
        disturbance: Estimates of which images slow others down.
        quarantine: Workers whose tasks fail too often.
    """

    def __init__(self, switches: Switches = ALL_ON) -> None:
        """Initializes empty estimates; `switches` may turn parts off."""
        self.durations = Durations(use_tails=switches.is_on(Part.TAILS))
        self.disturbance = Disturbance()
        self.quarantine = Quarantine(QUARANTINE)
        self._speeds = Speeds()
        self._finished: dict[CapacityPool, FinishRate] = defaultdict(FinishRate)
        self._projections = Projections()

    def encode(self) -> bytes:
        """Returns the record from which a successor restores the estimates."""
        return encode_learned(self.disturbance.pairs(), self.durations.means())

    def restore(self, record: LearnedRecord) -> None:
        """Restores the estimates of a former owner."""
        pairs = [PairEstimate(*row) for row in record.pairs]
        self.disturbance.restore(pairs, trio.current_time())
        self.durations.restore(record.durations)

    def on_ending(
        self, worker: Worker, task: Task, run: Run | None, ending: Ending
    ) -> None:
        """Updates the estimates from the ending of a run."""
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

    def settle_trials(self, workers: Iterable[Worker], now: float) -> None:
        """Ends the trials of quarantined workers that will have no verdict.

        A trial is over once its run has left the worker, on whichever path. A
        lasting task doesn't end well by itself: once it has been at work for
        some time, the worker is sound.

        Args:
            workers: All workers of the cell.
            now: Present time, monotonic.
        """
        trials = self.quarantine.trials()
        if not trials:
            return
        for worker in workers:
            trial = trials.get(worker.life.id)
            if trial is None:
                continue
            key = cast(RunKey, trial.run)
            run = worker.runs.get(key)
            if run is None:
                self.quarantine.end_trial(worker.life.id)
            elif key[0].step.spec.lasting and _is_proven(worker, run):
                self.quarantine.note_finished(worker.life.id, now=now)

    def completion_rate(self, pool: CapacityPool, now: float) -> float | None:
        """Returns core-seconds completed per second, or None if unknown."""
        rate = self._finished.get(pool)
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
            run_seconds = trio.current_time() - run.state_at
            self.durations.note_task(task.step, took, run_seconds)
        else:
            # The delay comes from the unsound worker, so it must not count in
            # the tail of the queue's durations.
            self.durations.note(task.step.job.queue.name, took)

    def record_failure(self, worker: Worker, task: Task) -> None:
        """Counts a failed or stalled task against a worker."""
        now = trio.current_time()
        job = task.step.job.id
        self.quarantine.note_failed(worker.life.id, job, now, str(task.name))
        reason = self.quarantine.explain(worker.life.id, now)
        if reason:
            note("worker_suspect", worker=worker.life.id, reason=reason)

    def on_listed(self, worker: Worker) -> None:
        """Updates the estimates from a listing that has just arrived."""
        worker.version += 1
        now = worker.last_reply_at
        loads = worker.best_effort_loads()
        readings = worker.readings(now)
        self._check_soundness(worker, readings, loads, now)
        if not worker.serves or worker.unsound_until > now:
            # Figures of an unsound worker don't show which images disturb.
            return
        for reading in readings:
            if loads or reading.ratio < _MAX_SOUND_RATIO:
                self.disturbance.learn(
                    reading.image,
                    loads,
                    reading.median_ratio,
                    now,
                    worker.number,
                )

    def progress(self, worker: Worker) -> list[MeasuredRun]:
        """Returns the progress of runs that end and were never throttled."""
        return [
            MeasuredRun(*found)
            for found in self._measured_progress(worker, 0.0)
        ]

    def _measured_progress(
        self, worker: Worker, min_elapsed: float
    ) -> list[tuple[Run, Progress]]:
        """Returns the progress of runs that have run for some seconds."""
        found = []
        durations = self.durations
        # Cached by step, as a worker often has several tasks of one step.
        expected: dict[Step, tuple[float, bool]] = {}
        for (task, _), run in worker.runs.items():
            elapsed = run.percent_at - run.state_at
            if elapsed <= 0 or elapsed < min_elapsed:
                continue
            if run.state is not RunState.RUNNING:
                continue
            step = task.step
            if step.spec.lasting or run.paced_at or not run.decided_at:
                # An adopted run has no `decided_at`: how long and how fast it
                # has run is unknown.
                continue
            if durations.has_any_tail:
                self._note_projection(worker, step, run, elapsed)
            if step not in expected and durations.has_any_tail:
                expected[step] = self._expected_duration(step, worker)
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

    def _expected_duration(
        self, step: Step, worker: Worker
    ) -> _ExpectedDuration:
        """Returns how long tasks of a step take on sound workers.

        In a queue with a long tail, the progress of other tasks of the step is
        the first evidence that its tasks are long.
        """
        durations = self.durations
        if durations.has_measured_tasks(step):
            return _ExpectedDuration(
                durations.expected_duration(step), is_sure=True
            )
        elsewhere = self._projections.elsewhere(step, worker.number)
        if elsewhere is None:
            return _ExpectedDuration(
                durations.expected_duration(step), is_sure=False
            )
        return _ExpectedDuration(elsewhere, is_sure=True)

    def _note_projection(
        self, worker: Worker, step: Step, run: Run, elapsed: float
    ) -> None:
        """Records the duration that a run's progress projects for its step.

        Only estimates for other workers use it, so that a slow worker isn't
        judged by its own progress.
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
        """Marks a worker as unsound while its figures show trouble."""
        # Disturbance by best-effort tasks can only excuse bad figures. It costs
        # a look-up for each pair of images, so it is computed only if the
        # figures are bad.
        sick = is_sick(readings, 0.0) and is_sick(
            readings, self._rise_from_best_effort(worker, loads)
        )
        runs = [
            found
            for _, found in self._measured_progress(
                worker, MIN_MEASURED_SECONDS
            )
        ]
        slow = self._speeds.is_slow(worker.number, runs, now)
        if not (sick or slow) or now < worker.tried_until:
            return
        if now > worker.unsound_until:
            worker.unsound_since = now
            note("worker_unsound", worker=worker.life.id, sick=sick, slow=slow)
        last = worker.unsound_since + MAX_UNSOUND_SECONDS
        worker.unsound_until = min(now + UNSOUND_SECONDS, last)
        if worker.unsound_until == last:
            worker.tried_until = last + UNSOUND_TRIAL_SECONDS

    def _rise_from_best_effort(
        self, worker: Worker, loads: Mapping[str, float]
    ) -> float:
        """Returns the rise of the worst log tail due to best-effort tasks."""
        return max(
            (
                self.disturbance.expected_increase(s, loads)
                for s in worker.serving
            ),
            default=0.0,
        )


def _is_proven(worker: Worker, run: Run) -> bool:
    """Returns whether a lasting run shows that its worker is sound."""
    return (
        run.state is RunState.RUNNING
        and run.percent >= AT_WORK_PERCENT
        and worker.lived(run) >= QUARANTINE.trial
    )
