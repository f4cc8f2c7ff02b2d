"""Client of the platform's store: topics of one partition, records by key."""

import base64
from collections.abc import Sequence
import struct
from typing import Final
from urllib.parse import urlencode

import msgspec

from pimentocross.contracts.store import (
    ConditionFailedError,
    FencedError,
    HistoryExpiredError,
    Page,
    ProducerMark,
    Record,
    SequenceGapError,
    StoreUnavailableError,
)
from pimentocross.links.asgi import HttpReply
from pimentocross.links.http_pool import HttpCallError, HttpPool
from pimentocross.observe.decisions import note

# Topics that keep the newest record of each key begin with this.
_KEYED: Final = "keyed."
_LENGTH: Final = struct.Struct(">I")
_BOUNDS: Final = struct.Struct(">QQ")
_OK: Final = 200
_CONFLICT: Final = 409
_GONE: Final = 410
_CONDITION: Final = 412
# Longest answer to a read, in KB.
_READ_KB: Final = 1024


class _Appended(msgspec.Struct):
    offset: int = 0
    end_offset: int = 0
    reason: str = ""
    # With reason "seq": the number that is expected.
    sequence: int = 0
    expected: int = -1


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct):
    # Each is read by itself, as another writer's may not be readable.
    items: list[msgspec.Raw]
    end_offset: int
    has_more: bool = False


_decode_appended = msgspec.json.Decoder(_Appended).decode
_decode_newest = msgspec.json.Decoder(_Newest).decode
_decode_item = msgspec.json.Decoder(_Item).decode


class StoreClient:
    """Speaks to the store; one connection for each call in flight."""

    def __init__(self, address: str) -> None:
        """Takes the store's host:port."""
        self._pool = HttpPool(address)

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        timeout: float,
        *,
        at: int | None = None,
        mark: ProducerMark | None = None,
        new_connection: bool = False,
    ) -> int:
        """Appends records; see `Store`."""
        query: dict[str, str | int] = {"topic": _KEYED + topic, "part": 0}
        if at is not None:
            query["at"] = at
        if mark is not None:
            query["producer_id"] = mark.producer
            query["epoch"] = mark.epoch
            query["sequence"] = mark.sequence
        body = b"".join(_frame(record) for record in records)
        reply = await self._call(
            "POST",
            "/pimentocross/log-append",
            query,
            body,
            timeout,
            new_connection,
        )
        if reply.status == _OK:
            return _decode(reply).offset
        if reply.status == _CONDITION:
            raise ConditionFailedError(_decode(reply).end_offset)
        if reply.status == _CONFLICT:
            raise _conflict(reply)
        raise StoreUnavailableError(
            f"append: status {reply.status}", sent=False
        )

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        timeout: float,
        *,
        new_connection: bool = False,
    ) -> Page:
        """Reads records; see `Store`."""
        query: dict[str, str | int] = {
            "topic": _KEYED + topic,
            "part": 0,
            "from": start,
            "max_kb": _READ_KB,
        }
        if wait > 0:
            query["wait_ms"] = int(wait * 1000)
        reply = await self._call(
            "GET", "/pimentocross/log-read", query, b"", timeout, new_connection
        )
        if reply.status == _GONE:
            raise HistoryExpiredError
        if reply.status != _OK:
            raise StoreUnavailableError(
                f"read: status {reply.status}", sent=False
            )
        return _read_page(reply.body, start)

    async def newest(
        self, topic: str, timeout: float, *, new_connection: bool = False
    ) -> Page:
        """Returns the newest record of each key; see `Store`."""
        records: list[Record] = []
        end = -1
        query: dict[str, str | int] = {"topic": _KEYED + topic, "part": 0}
        while True:
            reply = await self._call(
                "GET",
                "/pimentocross/log-newest",
                query,
                b"",
                timeout,
                new_connection,
            )
            new_connection = False
            if reply.status != _OK:
                raise StoreUnavailableError(
                    f"newest: status {reply.status}", sent=False
                )
            try:
                page = _decode_newest(reply.body)
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                raise StoreUnavailableError(str(error), sent=False) from error
            found = [
                record
                for item in page.items
                if (record := _read_item(item, topic)) is not None
            ]
            records += found
            if end < 0:
                end = page.end_offset
            if not page.has_more or not found:
                return Page(records, end)
            query["after"] = found[-1].key

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes,
        timeout: float,
        new_connection: bool,
    ) -> HttpReply:
        target = f"{path}?{urlencode(query)}"
        try:
            if new_connection:
                await self._pool.aclose()
            return await self._pool.call(method, target, body, timeout)
        except HttpCallError as error:
            raise StoreUnavailableError(str(error), sent=error.sent) from error


def _conflict(reply: HttpReply) -> Exception:
    answer = _decode(reply)
    if answer.reason == "fenced":
        return FencedError()
    if answer.reason == "seq":
        expected = answer.expected
        return SequenceGapError(expected if expected >= 0 else answer.sequence)
    return StoreUnavailableError(f"append: {answer.reason}", sent=False)


def _decode(reply: HttpReply) -> _Appended:
    try:
        return _decode_appended(reply.body)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(str(error), sent=True) from error


def _frame(record: Record) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _read_item(item: msgspec.Raw, topic: str) -> Record | None:
    """Returns the record of an item, or None if it can't be read."""
    try:
        read = _decode_item(item)
        value = base64.b64decode(read.value, validate=True)
    except (msgspec.DecodeError, ValueError) as error:
        note("record_unreadable", topic=topic, reason=str(error))
        return None
    return Record(read.key, value, read.offset)


def _read_page(body: bytes, start: int) -> Page:
    try:
        end, _ = _BOUNDS.unpack_from(body)
        position = _BOUNDS.size
        records = []
        offset = start
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            content = body[position : position + length]
            position += length
            records.append(_read_content(content, offset))
            offset += 1
    except struct.error as error:
        raise StoreUnavailableError(f"read: {error}", sent=False) from error
    return Page(records, end)


def _read_content(content: bytes, offset: int) -> Record:
    """Reads one record; any bytes give one, as offsets count them all."""
    key_length = content[0] if content else 0
    # A key that isn't text becomes one that no other record has.
    key = content[1 : 1 + key_length].decode(errors="backslashreplace")
    return Record(key, content[1 + key_length :] or None, offset)
