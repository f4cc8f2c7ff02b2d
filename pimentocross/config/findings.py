"""What is wrong with a configuration, and where."""

from typing import NamedTuple


class Place(NamedTuple):
    """A place in a file; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        """Returns file:line:column."""
        return f"{self.file}:{self.line}:{self.column}"


class Finding(NamedTuple):
    """One thing that is wrong."""

    place: Place
    message: str

    def __str__(self) -> str:
        """Returns the place and the message on one line."""
        return f"{self.place}: {self.message}"
