"""Conversion of typed records to and from the JSON bodies in the log."""

from collections.abc import Mapping
from typing import Any, Generic, TypeVar

import msgspec

from pimentocross.backing.log import RecordBody

RecordT = TypeVar("RecordT", bound=tuple[Any, ...])


class RecordKinds(Generic[RecordT]):
    """The record types of one stream, by their kinds."""

    def __init__(self, kinds: Mapping[str, type[RecordT]]) -> None:
        """Registers the types; the kinds are part of the stored format."""
        self._kinds = dict(kinds)
        self._names = {cls: kind for kind, cls in kinds.items()}

    def encode(self, record: RecordT) -> RecordBody:
        """Returns the body of a typed record."""
        fields = record._asdict()  # type: ignore[attr-defined]
        return {"kind": self._names[type(record)], **fields}

    def decode(self, body: RecordBody) -> RecordT | None:
        """Returns the typed record, or None if the body can't be converted.

        A newer version of the software may write kinds and fields that this
        one does not know. An unknown kind gives None; unknown fields are
        ignored.
        """
        cls = self._kinds.get(str(body.get("kind")))
        if cls is None:
            return None
        defaults = cls._field_defaults  # type: ignore[attr-defined]
        try:
            values = [
                body[name] if name in body else defaults[name]
                for name in cls._fields  # type: ignore[attr-defined]
            ]
            record: RecordT = msgspec.convert(values, cls)
        except (KeyError, msgspec.ValidationError):
            return None
        return record
