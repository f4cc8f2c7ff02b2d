"""Findings: errors in a configuration and their source locations."""

from typing import NamedTuple


class SourceLocation(NamedTuple):
    """A location in a file; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        """Returns file:line:column."""
        return f"{self.file}:{self.line}:{self.column}"


class Finding(NamedTuple):
    """An error in the configuration and its source location."""

    place: SourceLocation
    message: str

    def __str__(self) -> str:
        """Returns the location and the message on one line."""
        return f"{self.place}: {self.message}"
