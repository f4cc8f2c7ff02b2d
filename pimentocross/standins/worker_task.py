"""A simulated task on a worker stand-in."""

from typing import NamedTuple

import msgspec
import trio

from pimentocross.backing.workers import (
    TaskKind,
    TaskReport,
    TaskSpec,
    TaskState,
)

_MIN_RATE = 0.01
# A checkpoint is the finished share of the work, times this scale.
_CHECKPOINT_SCALE = 1_000_000


class TaskInput(NamedTuple):
    """The parameters in a batch task's input.

    Attributes:
        seconds: Run time of the task at full speed.
        failure: Reason with which the task fails at its end, or "".
    """

    seconds: float = 1.0
    failure: str = ""


class StandinTask:
    """One task on a worker, running or ended."""

    def __init__(self, spec: TaskSpec, lease_until: float) -> None:
        """Initializes a running task at full speed, resuming a checkpoint."""
        self.spec = spec
        self.state = TaskState.RUNNING
        self.lease_until = lease_until
        self.throttle = 1.0
        self.result = ""
        self.changed = 0
        self.scope = trio.CancelScope()
        self.rate_changed = trio.Event()
        self._input = _read_input(spec)
        self.seconds = self._input.seconds
        self._done_seconds = _read_checkpoint(spec) * self.seconds
        self._progress_at = trio.current_time()

    @property
    def failure(self) -> str:
        """Reason with which the task will fail, or ""."""
        return self._input.failure

    @property
    def seconds_left(self) -> float:
        """Remaining run time in seconds at the current rate."""
        return (self.seconds - self._done_seconds) / self._rate

    @property
    def checkpoint(self) -> str:
        """Checkpoint from which the task could resume, or ""."""
        if self.spec.kind is not TaskKind.BATCH or not self.seconds:
            return ""
        share = self._done_seconds / self.seconds
        return str(int(share * _CHECKPOINT_SCALE))

    @property
    def _rate(self) -> float:
        return max(self.throttle, _MIN_RATE)

    def count_progress(self) -> None:
        """Adds the progress since the last call, if the task runs."""
        now = trio.current_time()
        if self.state is TaskState.RUNNING:
            done = self._done_seconds + (now - self._progress_at) * self._rate
            self._done_seconds = min(done, self.seconds)
        self._progress_at = now

    def report(self) -> TaskReport:
        """Returns the worker's report on the task."""
        return TaskReport(
            self.spec, self.state, self.checkpoint, self.result, self.throttle
        )


def _read_input(spec: TaskSpec) -> TaskInput:
    try:
        fields = msgspec.json.decode(spec.input, type=dict[str, str | float])
        return msgspec.convert(
            [fields.get("seconds", 1.0), fields.get("failure", "")], TaskInput
        )
    except (msgspec.DecodeError, msgspec.ValidationError):
        return TaskInput()


def _read_checkpoint(spec: TaskSpec) -> float:
    if not spec.checkpoint.isdigit():
        return 0.0
    return int(spec.checkpoint) / _CHECKPOINT_SCALE
