"""Frames on a byte stream: a 32-bit length, then a msgpack array."""

import struct
from typing import Any, Final

import msgpack
import trio

_LENGTH: Final = struct.Struct(">I")
_CHUNK: Final = 65536
# msgpack defines this name in a way that type checkers can't resolve.
_unpackb: Final[Any] = msgpack.__dict__["unpackb"]


class FrameError(Exception):
    """The stream has an invalid frame, or ended within a frame."""


class FrameStream:
    """Sends and receives msgpack arrays as frames.

    Attributes:
        sent: Bytes sent.
        received: Bytes received.
    """

    def __init__(self, stream: trio.abc.Stream) -> None:
        """Wraps a byte stream, which `aclose` closes."""
        self.sent = 0
        self.received = 0
        self._stream = stream
        self._buffer = bytearray()
        self._send_lock = trio.Lock()

    async def send(self, array: list[Any]) -> None:
        """Sends one frame.

        Raises:
            trio.BrokenResourceError: The connection is lost.
        """
        content = msgpack.packb(array)
        frame = _LENGTH.pack(len(content)) + content
        async with self._send_lock:
            await self._stream.send_all(frame)
        self.sent += len(frame)

    async def receive(self, max_bytes: int) -> list[Any] | None:
        """Returns the next frame's array, or None at the end of the stream.

        Raises:
            FrameError: The frame is longer than `max_bytes`, is incomplete or
                is not a msgpack array.
            trio.BrokenResourceError: The connection is lost.
        """
        if not await self._fill(_LENGTH.size):
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > max_bytes:
            raise FrameError(f"frame of {length} bytes, at most {max_bytes}")
        if not await self._fill(_LENGTH.size + length):
            raise FrameError("the stream ended within a frame")
        content = bytes(self._buffer[_LENGTH.size : _LENGTH.size + length])
        del self._buffer[: _LENGTH.size + length]
        return _unpack(content)

    async def aclose(self) -> None:
        """Closes the stream without a graceful shutdown."""
        await trio.aclose_forcefully(self._stream)

    async def _fill(self, size: int) -> bool:
        while len(self._buffer) < size:
            chunk = await self._stream.receive_some(_CHUNK)
            if not chunk:
                if self._buffer:
                    raise FrameError("the stream ended within a frame")
                return False
            self.received += len(chunk)
            self._buffer += chunk
        return True


def _unpack(content: bytes) -> list[Any]:
    try:
        array = _unpackb(content, strict_map_key=True)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise FrameError(f"not msgpack: {error}") from error
    if not isinstance(array, list):
        raise FrameError("not an array")
    return array
