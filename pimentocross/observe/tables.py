"""Several decisions of a kind in one line, and back.

A table's line holds once what its decisions have in common, and then a row for
each; that takes a third of the bytes and of the time of a line each.
"""

from collections.abc import Iterator, Sequence
from typing import Any, Final

_COLUMNS: Final = "columns"
_ROWS: Final = "rows"
# Milliseconds by which a row is later than its line.
_LATER: Final = "ms"
_TIME: Final = "t"
# With fewer the columns' names take more than is saved.
TABLE_LEAST: Final = 3


# A decision: when, seconds since 1970, and its fields.
Noted = tuple[float, dict[str, object]]


def pack(noted: Sequence[Noted]) -> dict[str, object]:
    """Returns the fields of one line for decisions with the same names."""
    if len(noted) < TABLE_LEAST:
        raise ValueError(f"{len(noted)} decisions are no table")
    began, first = noted[0]
    fields: dict[str, object] = {}
    columns: dict[str, Sequence[object]] = {}
    for name, common in first.items():
        values = [each[name] for _, each in noted]
        if values.count(common) == len(values):
            fields[name] = common
        else:
            columns[name] = values
    columns[_LATER] = [round(1e3 * (at - began)) for at, _ in noted]
    fields[_COLUMNS] = list(columns)
    fields[_ROWS] = list(zip(*columns.values(), strict=True))
    return fields


def unpack(line: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yields each decision of a line as a line of its own."""
    rows, names = line.get(_ROWS), line.get(_COLUMNS)
    if rows is None or names is None:
        yield line
        return
    common = {k: v for k, v in line.items() if k not in (_COLUMNS, _ROWS)}
    for row in rows:
        own = dict(zip(names, row, strict=True))
        later = own.pop(_LATER, 0) / 1e3
        yield common | own | {_TIME: round(common[_TIME] + later, 3)}
