"""Client of the platform's store: single-partition topics of keyed records."""

import base64
from collections.abc import Sequence
import struct
from typing import Final
from urllib.parse import urlencode

import msgspec

from pimentocross.contracts.progress import AnswerProgress
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
from pimentocross.decoding import json_decoder
from pimentocross.links.asgi import HttpReply
from pimentocross.links.http_pool import HttpCallError, HttpPool
from pimentocross.observe.decisions import note

# Prefix of topics that keep only the newest record of each key.
_COMPACTED_PREFIX: Final = "keyed."
_RECORD_LENGTH: Final = struct.Struct(">I")
_READ_BOUNDS: Final = struct.Struct(">QQ")
_OK: Final = 200
_CONFLICT: Final = 409
_GONE: Final = 410
_PRECONDITION_FAILED: Final = 412
# Maximum size of a reply to a read, in KB.
_MAX_READ_KB: Final = 1024


class _AppendReply(msgspec.Struct):
    offset: int = 0
    end_offset: int = 0
    reason: str = ""
    # With reason "seq", one of these holds the expected sequence number.
    sequence: int = 0
    expected: int = -1


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: int


class _NewestReply(msgspec.Struct):
    # Each item is decoded separately, as other writers' may be invalid.
    items: list[msgspec.Raw]
    end_offset: int
    has_more: bool = False


_decode_append_reply = json_decoder(_AppendReply)
_decode_newest = json_decoder(_NewestReply)
_decode_item = json_decoder(_NewestItem)


class StoreClient:
    """Calls the store over HTTP, using a connection per call in flight."""

    def __init__(self, address: str) -> None:
        """Initializes the client with the store's host:port."""
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
        query: dict[str, str | int] = {
            "topic": _COMPACTED_PREFIX + topic,
            "part": 0,
        }
        if at is not None:
            query["at"] = at
        if mark is not None:
            query["producer_id"] = mark.producer
            query["epoch"] = mark.epoch
            query["sequence"] = mark.sequence
        body = b"".join(_encode_record(record) for record in records)
        reply = await self._call(
            "POST",
            "/pimentocross/log-append",
            query,
            body,
            timeout,
            new_connection,
        )
        if reply.status == _OK:
            return _read_append_reply(reply).offset
        if reply.status == _PRECONDITION_FAILED:
            raise ConditionFailedError(_read_append_reply(reply).end_offset)
        if reply.status == _CONFLICT:
            raise _conflict_error(reply)
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
        progress: AnswerProgress | None = None,
    ) -> Page:
        """Reads records; see `Store`."""
        query: dict[str, str | int] = {
            "topic": _COMPACTED_PREFIX + topic,
            "part": 0,
            "from": start,
            "max_kb": _MAX_READ_KB,
        }
        if wait > 0:
            query["wait_ms"] = int(wait * 1000)
        reply = await self._call(
            "GET",
            "/pimentocross/log-read",
            query,
            b"",
            timeout,
            new_connection,
            progress,
        )
        if reply.status == _GONE:
            raise HistoryExpiredError
        if reply.status != _OK:
            raise StoreUnavailableError(
                f"read: status {reply.status}", sent=False
            )
        return _read_page(reply.body, start)

    async def newest(
        self,
        topic: str,
        timeout: float,
        *,
        new_connection: bool = False,
        progress: AnswerProgress | None = None,
    ) -> Page:
        """Returns the newest record of each key; see `Store`."""
        records: list[Record] = []
        end = -1
        query: dict[str, str | int] = {
            "topic": _COMPACTED_PREFIX + topic,
            "part": 0,
        }
        while True:
            reply = await self._call(
                "GET",
                "/pimentocross/log-newest",
                query,
                b"",
                timeout,
                new_connection,
                progress,
            )
            new_connection = False
            if reply.status != _OK:
                raise StoreUnavailableError(
                    f"newest: status {reply.status}", sent=False
                )
            try:
                page = _decode_newest(reply.body)
            except msgspec.DecodeError as error:
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
        progress: AnswerProgress | None = None,
    ) -> HttpReply:
        target = f"{path}?{urlencode(query)}"
        try:
            if new_connection:
                await self._pool.aclose()
            return await self._pool.call(
                method, target, body, timeout, progress=progress
            )
        except HttpCallError as error:
            raise StoreUnavailableError(str(error), sent=error.sent) from error


def _conflict_error(reply: HttpReply) -> Exception:
    answer = _read_append_reply(reply)
    if answer.reason == "fenced":
        return FencedError()
    if answer.reason == "seq":
        expected = answer.expected
        return SequenceGapError(expected if expected >= 0 else answer.sequence)
    return StoreUnavailableError(f"append: {answer.reason}", sent=False)


def _read_append_reply(reply: HttpReply) -> _AppendReply:
    try:
        return _decode_append_reply(reply.body)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(str(error), sent=True) from error


def _encode_record(record: Record) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _RECORD_LENGTH.pack(len(content)) + content


def _read_item(item: msgspec.Raw, topic: str) -> Record | None:
    """Decodes an item; logs and returns None if it is invalid."""
    try:
        read = _decode_item(item)
        value = base64.b64decode(read.value, validate=True)
    except (msgspec.DecodeError, ValueError) as error:
        note("record_unreadable", topic=topic, reason=str(error))
        return None
    return Record(read.key, value, read.offset)


def _read_page(body: bytes, start: int) -> Page:
    try:
        end, _ = _READ_BOUNDS.unpack_from(body)
        position = _READ_BOUNDS.size
        records = []
        offset = start
        while position < len(body):
            (length,) = _RECORD_LENGTH.unpack_from(body, position)
            position += _RECORD_LENGTH.size
            content = body[position : position + length]
            position += length
            records.append(_decode_record(content, offset))
            offset += 1
    except struct.error as error:
        raise StoreUnavailableError(f"read: {error}", sent=False) from error
    return Page(records, end)


def _decode_record(content: bytes, offset: int) -> Record:
    """Decodes one record of a page.

    Any bytes result in a record, as each record on the page has an offset.
    """
    key_length = content[0] if content else 0
    # Escaping turns a key that isn't valid text into a distinct valid one.
    key = content[1 : 1 + key_length].decode(errors="backslashreplace")
    return Record(key, content[1 + key_length :] or None, offset)
