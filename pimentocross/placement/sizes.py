"""What tasks of a class really use, against what was declared."""

from pimentocross.backing.workers import Resources

# Share of a new measurement; peaks count at once, quiet fades slowly.
_FADE = 0.02


class ObservedSizes:
    """Processors and memory that a class was seen to need."""

    def __init__(self) -> None:
        """Starts without measurements."""
        self._seen: dict[str, tuple[float, float]] = {}

    def note(self, class_name: str, processors: float, memory: int) -> None:
        """Takes one measurement of a task."""
        before = self._seen.get(class_name, (0.0, 0.0))
        self._seen[class_name] = (
            _follow(before[0], processors),
            _follow(before[1], float(memory)),
        )

    def correct(
        self, class_name: str, declared: Resources, capacity: Resources
    ) -> Resources:
        """Returns what to commit for a task: what it needs, if that is more.

        Never more than a VM's capacity, so that the task can still be placed.
        """
        seen = self._seen.get(class_name)
        if seen is None:
            return declared
        processors = min(max(declared.processors, seen[0]), capacity.processors)
        memory = min(max(declared.memory, int(seen[1])), capacity.memory)
        return declared._replace(processors=processors, memory=memory)


def _follow(before: float, seen: float) -> float:
    if seen >= before:
        return seen
    return before + _FADE * (seen - before)
