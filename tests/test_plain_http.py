"""Tests requests to targets and the parsing of their answers.

Answers are parsed alike in every form and however they are split into reads.
"""

import time
from typing import Final

import trio

from pimentocross.links.asgi import Headers, HttpReply, HttpRequest
from pimentocross.links.plain_http import read_head
from pimentocross.links.target_connection import (
    TargetConnection,
    TargetConnectionError,
)

_POST: Final = HttpRequest("POST", "/a", b"x=1", [(b"a", b"b")], b"body")
_PLAIN: Final = b"HTTP/1.1 200 OK\r\nA: b \r\nContent-Length: 3\r\n\r\nabc"


class _PiecewiseStream:
    """A stream that returns an answer in pieces of one size, then its end."""

    def __init__(self, answer: bytes, size: int) -> None:
        self.sent = b""
        self._pieces = [
            answer[start : start + size]
            for start in range(0, len(answer), size)
        ]

    async def send_all(self, data: bytes) -> None:
        """Records the bytes sent."""
        self.sent += data

    async def receive_some(self, _: int) -> bytes:
        """Returns the next piece of the answer."""
        return self._pieces.pop(0) if self._pieces else b""


async def _exchange(
    answer: bytes, size: int, request: HttpRequest = _POST
) -> tuple[HttpReply, bool]:
    stream = _PiecewiseStream(answer, size)
    connection = TargetConnection(stream, "h:1")  # type: ignore[arg-type]
    reply = await connection.exchange(request, [])
    return reply, connection.reusable


async def _is_refused(answer: bytes, size: int) -> bool:
    try:
        await _exchange(answer, size)
    except TargetConnectionError:
        return True
    return False


async def test_answers_are_read_whole_and_reuse_is_detected() -> None:
    cases: list[tuple[bytes, int, Headers, bytes, bool]] = [
        (_PLAIN, 200, [(b"a", b"b"), (b"content-length", b"3")], b"abc", True),
        (
            b"HTTP/1.1 409\r\ncontent-length:0\r\n"
            b"connection:keep-alive\r\n\r\n",
            409,
            [(b"content-length", b"0")],
            b"",
            True,
        ),
        (
            b"HTTP/1.1 200 OK\r\nconnection: close\r\n"
            b"content-length: 1\r\n\r\na",
            200,
            [(b"content-length", b"1")],
            b"a",
            False,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            200,
            [],
            b"abc",
            True,
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nabc", 200, [], b"abc", False),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, [], b"", True),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n" + _PLAIN,
            200,
            [(b"a", b"b"), (b"content-length", b"3")],
            b"abc",
            True,
        ),
        (b"HTTP/1.0 200 OK\r\n\r\nold", 200, [], b"old", False),
    ]
    for answer, status, headers, body, reusable in cases:
        for size in (1, 7, len(answer)):
            reply, is_reusable = await _exchange(answer, size)
            assert reply == HttpReply(status, headers, body), answer
            assert is_reusable is reusable, (answer, size)


async def test_an_answer_to_head_has_no_body() -> None:
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n"
    head = HttpRequest("HEAD", "/a", b"", [], b"")
    reply, reusable = await _exchange(answer, len(answer), head)
    assert reply.body == b""
    assert reusable


async def test_surplus_bytes_after_an_answer_prevent_reuse() -> None:
    _, reusable = await _exchange(_PLAIN + _PLAIN, 1_000)
    assert not reusable


async def test_incomplete_or_invalid_answers_are_refused() -> None:
    for answer in (
        b"",
        b"HTTP/1.1 200 OK\r\n",
        _PLAIN[:-1],
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n"
        b"content-length: 4\r\n\r\nabcd",
        b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\na b: c\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\na: " + b"b" * 100_000,
    ):
        for size in (7, 20_000):
            assert await _is_refused(answer, size), (answer[:90], size)


async def test_a_request_is_sent_whole_without_hop_by_hop_headers() -> None:
    stream = _PiecewiseStream(_PLAIN, 1_000)
    connection = TargetConnection(stream, "h:1")  # type: ignore[arg-type]
    hop = (b"connection", b"close")
    request = _POST._replace(headers=[hop, (b"host", b"else"), (b"a", b"b")])
    await connection.exchange(request, [(b"c", b"d")])
    assert stream.sent == (
        b"POST /a?x=1 HTTP/1.1\r\nhost: h:1\r\na: b\r\n"
        b"content-length: 4\r\nc: d\r\n\r\nbody"
    )


async def test_a_request_that_would_inject_headers_is_not_sent() -> None:
    for request in (
        _POST._replace(path="/a HTTP/1.1\r\nx: y"),
        _POST._replace(headers=[(b"a", b"b\r\nx: y")]),
        _POST._replace(headers=[(b"a\r\nx", b"b")]),
        _POST._replace(headers=[(b"a: b", b"c")]),
        _POST._replace(headers=[(b"a b", b"c")]),
        _POST._replace(headers=[(b"a", b"b\x00")]),
        _POST._replace(method="PO ST"),
    ):
        stream = _PiecewiseStream(_PLAIN, 1_000)
        connection = TargetConnection(stream, "h:1")  # type: ignore[arg-type]
        try:
            await connection.exchange(request, [])
        except TargetConnectionError:
            assert not stream.sent
        else:
            raise AssertionError(request)


async def test_a_connection_with_a_pending_answer_is_not_reusable() -> None:
    class _Silent(_PiecewiseStream):
        async def receive_some(self, _: int) -> bytes:
            await trio.sleep_forever()
            raise AssertionError

    connection = TargetConnection(_Silent(b"", 1), "h:1")  # type: ignore[arg-type]
    with trio.move_on_after(1.0):
        await connection.exchange(_POST, [])
    assert not connection.reusable


def test_a_hostile_head_is_checked_in_linear_time() -> None:
    fields = b"".join(b"a%d: b c\r\n" % number for number in range(2_000))
    began = time.thread_time()
    assert (
        read_head(b"HTTP/1.1 200 OK\r\n" + fields + b"x: \x00\r\n\r\n") is None
    )
    assert time.thread_time() - began < 0.5
