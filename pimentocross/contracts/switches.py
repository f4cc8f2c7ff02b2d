"""Optional features, called parts, that an operator can switch off.

Each part takes effect only where the configuration, a submitted job or
measurements call for it; a part that is switched off never takes effect.
"""

from enum import StrEnum
from typing import Final, NamedTuple


class Part(StrEnum):
    """An optional feature that can be switched off."""

    INTAKE = "intake"
    ADMISSION = "admission"
    TRIAGE = "triage"
    COPIES = "copies"
    TAILS = "tails"


class UnknownPartError(Exception):
    """A name is not that of a part."""


class Switches(NamedTuple):
    """The set of parts that are switched off."""

    off: frozenset[Part] = frozenset()

    def is_on(self, part: Part) -> bool:
        """True unless the part is switched off."""
        return part not in self.off


ALL_ON: Final = Switches()


def read_switches(text: str) -> Switches:
    """Parses the comma-separated names of parts that are switched off.

    Raises:
        UnknownPartError: A name is not that of a part.
    """
    names = [name.strip() for name in text.split(",") if name.strip()]
    known = {part.value for part in Part}
    unknown = [name for name in names if name not in known]
    if unknown:
        raise UnknownPartError(
            f"{', '.join(unknown)}: the parts are {', '.join(sorted(known))}"
        )
    return Switches(frozenset(Part(name) for name in names))
