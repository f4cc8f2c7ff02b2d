"""Corrects the declared size of tasks by the measured use of their class."""

from pimentocross.backing.workers import Resources

# Weight of a measurement below the recorded peak. Higher ones replace the peak
# at once, so that it rises at once and decays slowly.
_DECAY_RATE = 0.02


class ObservedSizes:
    """Measured processors and memory by class."""

    def __init__(self) -> None:
        """Initializes the sizes without measurements."""
        self._measured: dict[str, tuple[float, float]] = {}

    def note(self, class_name: str, processors: float, memory: int) -> None:
        """Records one measurement of a task."""
        before = self._measured.get(class_name, (0.0, 0.0))
        self._measured[class_name] = (
            _decaying_peak(before[0], processors),
            _decaying_peak(before[1], float(memory)),
        )

    def correct(
        self, class_name: str, declared: Resources, capacity: Resources
    ) -> Resources:
        """Returns the resources to commit for a task.

        These are the declared ones or the measured ones if higher, but at most
        a VM's capacity, so that the task can still be placed.
        """
        measured = self._measured.get(class_name)
        if measured is None:
            return declared
        processors = min(
            max(declared.processors, measured[0]), capacity.processors
        )
        memory = min(max(declared.memory, int(measured[1])), capacity.memory)
        return declared._replace(processors=processors, memory=memory)


def _decaying_peak(before: float, measured: float) -> float:
    if measured >= before:
        return measured
    return before + _DECAY_RATE * (measured - before)
