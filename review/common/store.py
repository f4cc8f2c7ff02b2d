"""A stand-in of the platform's store: topics of one partition over HTTP.

It follows the users' pages: appends are all or nothing, a producer's epochs and
sequence numbers are checked, a record has at most `record_bytes`, and topics
whose name begins with `keyed.` keep the newest record of each key.
"""

import base64
from collections.abc import Callable, Iterator
import json
import struct
from typing import Any
from urllib.parse import parse_qsl

import trio

from pimentocross.links.asgi import HttpReply, HttpRequest

APPEND_SECONDS = 0.002
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
REPEATS_KEPT = 5
REQUEST_BYTES = 2_097_152


class Topic:
    """The records of a topic's only partition."""

    def __init__(self) -> None:
        """Initializes an empty topic."""
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        # Epoch, next sequence number (None before the first) and the answers
        # of the newest appends, by producer.
        self.producers: dict[str, tuple[int, int | None, dict[int, int]]] = {}
        self.changed = trio.Event()
        self.lock = trio.Lock()

    def add(self, contents: list[bytes]) -> int:
        """Appends records and returns the offset of the first one."""
        first = len(self.records)
        for content in contents:
            length = content[0]
            key = content[1 : 1 + length].decode(errors="replace")
            value = content[1 + length :]
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.changed.set()
        self.changed = trio.Event()
        return first


class Store:
    """All topics, and the HTTP handler of the store's calls."""

    def __init__(self, record_bytes: int, note: Callable[..., None]) -> None:
        """Initializes an empty store.

        Args:
            record_bytes: Size of the longest record that it takes.
            note: Takes down refused appends.
        """
        self.record_bytes = record_bytes
        self._note = note
        self._topics: dict[str, Topic] = {}

    def topic(self, name: str) -> Topic:
        """Returns a topic, which is created on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a record of the operator or a worker; None removes it."""
        content = b"" if value is None else json.dumps(value).encode()
        self.put_bytes(topic, key, content)

    def put_bytes(self, topic: str, key: str, value: bytes) -> None:
        """Writes any bytes under a key."""
        content = bytes([len(key)]) + key.encode() + value
        self.topic("keyed." + topic).add([content])

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answers one call."""
        query = dict(parse_qsl(request.query.decode()))
        topic = self.topic(query.get("topic", ""))
        if request.path == "/pimentocross/log-append":
            return await self._append(topic, query, request.body)
        await trio.sleep(APPEND_SECONDS)
        if request.path == "/pimentocross/log-read":
            return await self._read(topic, query)
        if request.path == "/pimentocross/log-newest":
            return self._newest(topic, query)
        return _reply(404, {})

    async def _append(
        self, topic: Topic, query: dict[str, str], body: bytes
    ) -> HttpReply:
        contents = list(_unframe(body))
        for content in contents:
            if len(content) > self.record_bytes:
                key = content[1 : 1 + content[0]].decode(errors="replace")
                self._note(
                    "append refused",
                    topic=query["topic"],
                    key=key,
                    bytes=len(content),
                )
                return _reply(413, {"error": "the record is too long"})
        if len(body) > REQUEST_BYTES:
            return _reply(413, {"error": "the request is too long"})
        async with topic.lock:
            await trio.sleep(APPEND_SECONDS)
            return self._append_now(topic, query, contents)

    def _append_now(
        self, topic: Topic, query: dict[str, str], contents: list[bytes]
    ) -> HttpReply:
        producer = query.get("producer_id")
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known = topic.producers.get(producer, (-1, None, {}))
            if epoch < known[0]:
                return _reply(409, {"reason": "fenced"})
            if epoch > known[0]:
                known = (epoch, None, {})
            if contents:
                if sequence in known[2]:
                    first = known[2][sequence]
                    return _reply(
                        200,
                        {
                            "offset": first,
                            "end_offset": first + len(contents),
                        },
                    )
                if known[1] is not None and sequence != known[1]:
                    return _reply(409, {"reason": "seq", "expected": known[1]})
            topic.producers[producer] = known
        if "at" in query and int(query["at"]) != len(topic.records):
            return _reply(412, {"end_offset": len(topic.records)})
        first = topic.add(contents)
        if producer is not None and contents:
            answers = {**known[2], sequence: first}
            while len(answers) > REPEATS_KEPT:
                del answers[min(answers)]
            topic.producers[producer] = (epoch, sequence + 1, answers)
        return _reply(200, {"offset": first, "end_offset": len(topic.records)})

    async def _read(self, topic: Topic, query: dict[str, str]) -> HttpReply:
        start = int(query["from"])
        wait = float(query.get("wait_ms", 0)) / 1000
        if start >= len(topic.records) and wait:
            with trio.move_on_after(wait):
                while start >= len(topic.records):
                    await topic.changed.wait()
        most = int(query.get("max_kb", 1024)) * 1024
        parts, size = [struct.pack(">QQ", len(topic.records), 0)], 0
        for content in topic.records[start:]:
            if size and size + len(content) > most:
                break
            size += len(content) + 4
            parts += [struct.pack(">I", len(content)), content]
        return HttpReply(200, [], b"".join(parts))

    def _newest(self, topic: Topic, query: dict[str, str]) -> HttpReply:
        after = query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys:
            value, offset = topic.newest[key]
            encoded = base64.b64encode(value).decode()
            size += len(encoded)
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append({"key": key, "value": encoded, "offset": offset})
        return _reply(
            200,
            {
                "items": items,
                "has_more": len(items) < len(keys),
                "end_offset": len(topic.records),
            },
        )


def _unframe(body: bytes) -> Iterator[bytes]:
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += 4
        yield body[position : position + length]
        position += length


def _reply(status: int, body: dict[str, Any]) -> HttpReply:
    content = json.dumps(body).encode()
    return HttpReply(status, [(b"content-type", b"application/json")], content)
