"""Which parts an operator has switched off.

Each part takes effect only where configuration, submissions or what is seen
call for it; switched off, it doesn't take effect there either.
"""

from enum import StrEnum
from typing import Final, NamedTuple


class Part(StrEnum):
    """A part that can be switched off."""

    INTAKE = "intake"
    ADMISSION = "admission"
    TRIAGE = "triage"
    COPIES = "copies"
    TAILS = "tails"


class UnknownPartError(Exception):
    """A name that is no part's."""


class Switches(NamedTuple):
    """Which parts are switched off."""

    off: frozenset[Part] = frozenset()

    def is_on(self, part: Part) -> bool:
        """True unless a part is switched off."""
        return part not in self.off


ALL_ON: Final = Switches()


def read_switches(text: str) -> Switches:
    """Reads names of parts that are off, separated by commas.

    Raises:
        UnknownPartError: A name is no part's.
    """
    names = [name.strip() for name in text.split(",") if name.strip()]
    known = {part.value for part in Part}
    unknown = [name for name in names if name not in known]
    if unknown:
        raise UnknownPartError(
            f"{', '.join(unknown)}: the parts are {', '.join(sorted(known))}"
        )
    return Switches(frozenset(Part(name) for name in names))
