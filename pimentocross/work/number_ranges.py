"""A set of whole numbers, stored as ranges of consecutive ones."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Sequence


class NumberRanges:
    """Numbers of which most follow one another.

    Takes memory by the number of gaps, whatever the number of elements is.
    """

    def __init__(self, ranges: Iterable[Sequence[int]] = ()) -> None:
        """Initializes the set with pairs of a first and a last number.

        Raises:
            ValueError: The pairs aren't in order, or overlap.
        """
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        self._count = 0
        for first, last in ranges:
            if last < first or (self._lasts and first <= self._lasts[-1]):
                raise ValueError(f"range {first} to {last} is out of order")
            self._firsts.append(first)
            self._lasts.append(last)
            self._count += last - first + 1

    def __len__(self) -> int:
        """Returns the number of elements."""
        return self._count

    def __contains__(self, number: int) -> bool:
        """Returns whether a number is in the set."""
        index = bisect_right(self._firsts, number) - 1
        return index >= 0 and number <= self._lasts[index]

    def __iter__(self) -> Iterator[int]:
        """Yields the elements in order."""
        for first, last in self.ranges():
            yield from range(first, last + 1)

    def ranges(self) -> list[tuple[int, int]]:
        """Returns the first and the last number of each range, in order."""
        return list(zip(self._firsts, self._lasts, strict=True))

    def next_gap(self, number: int) -> int:
        """Returns the least number from `number` on that isn't in the set."""
        index = bisect_right(self._firsts, number) - 1
        if index >= 0 and number <= self._lasts[index]:
            return self._lasts[index] + 1
        return number

    def add(self, number: int) -> None:
        """Adds a number."""
        if number in self:
            return
        self._count += 1
        index = bisect_right(self._firsts, number)
        follows = index > 0 and self._lasts[index - 1] == number - 1
        precedes = (
            index < len(self._firsts) and self._firsts[index] == number + 1
        )
        if follows and precedes:
            self._lasts[index - 1] = self._lasts[index]
            del self._firsts[index], self._lasts[index]
        elif follows:
            self._lasts[index - 1] = number
        elif precedes:
            self._firsts[index] = number
        else:
            self._firsts.insert(index, number)
            self._lasts.insert(index, number)
