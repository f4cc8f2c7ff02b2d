"""Packs several decisions of a kind into one log line, and unpacks them.

The line of a table holds the common fields once, and a row of the others for
each decision. This takes a third of the bytes and time of separate lines.
"""

from collections.abc import Iterator, Sequence
from typing import Any, Final

_COLUMNS: Final = "columns"
_ROWS: Final = "rows"
# Column with the milliseconds between the time of the line and of the row.
_OFFSET_MS: Final = "ms"
_TIME: Final = "t"
# With fewer rows, the column names take more bytes than the table saves.
MIN_TABLE_ROWS: Final = 3


# Time of a decision, in seconds since 1970, and its fields.
TimedDecision = tuple[float, dict[str, object]]


def pack(decisions: Sequence[TimedDecision]) -> dict[str, object]:
    """Returns a line's fields for decisions with the same field names."""
    if len(decisions) < MIN_TABLE_ROWS:
        raise ValueError(f"{len(decisions)} decisions are too few for a table")
    start, first = decisions[0]
    fields: dict[str, object] = {}
    columns: dict[str, Sequence[object]] = {}
    for name, common in first.items():
        values = [fields_of_row[name] for _, fields_of_row in decisions]
        if values.count(common) == len(values):
            fields[name] = common
        else:
            columns[name] = values
    columns[_OFFSET_MS] = [round(1e3 * (at - start)) for at, _ in decisions]
    fields[_COLUMNS] = list(columns)
    fields[_ROWS] = list(zip(*columns.values(), strict=True))
    return fields


def unpack(line: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yields a separate line for each decision of a line."""
    rows, names = line.get(_ROWS), line.get(_COLUMNS)
    if rows is None or names is None:
        yield line
        return
    common = {k: v for k, v in line.items() if k not in (_COLUMNS, _ROWS)}
    for row in rows:
        own = dict(zip(names, row, strict=True))
        offset = own.pop(_OFFSET_MS, 0) / 1e3
        yield common | own | {_TIME: round(common[_TIME] + offset, 3)}
