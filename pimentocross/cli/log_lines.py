"""Reads the decisions of a log."""

import re
from typing import Any, Final, NamedTuple

import msgspec

from pimentocross.observe.tables import unpack

# What may stand before a line's JSON: a collector's time and host.
_LINE: Final = re.compile(r"^[^{]*(\{.*\})\s*$")


class LogLine(NamedTuple):
    """One line of a decision log."""

    at: float
    vm: str
    kind: str
    fields: dict[str, Any]

    def concerns(self, job: str) -> bool:
        """True if it is about a job or one of its tasks."""
        task = self.fields.get("task") or self.fields.get("step") or [""]
        return self.fields.get("job") == job or task[0] == job


def read_lines(text: str) -> list[LogLine]:
    """Returns the decisions of a log; other lines are left out."""
    lines: list[LogLine] = []
    for raw in text.splitlines():
        match = _LINE.match(raw)
        if match is None:
            continue
        try:
            decoded = msgspec.json.decode(match.group(1))
            found = [
                LogLine(fields["t"], fields["vm"], fields["is"], fields)
                for fields in unpack(decoded)
            ]
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            continue
        lines.extend(found)
    return lines
