"""Tests peer links: framing, greeting, timeouts and invalid input."""

import itertools
import random
import struct

import msgpack
import trio
from trio.testing import memory_stream_pair

from pimentocross.links import const
from pimentocross.links.framing import FrameStream
from pimentocross.links.greeting import (
    Credentials,
    GreetingError,
    PeerIdentity,
    greet,
)
from pimentocross.links.messages import (
    PEER_MESSAGES,
    Done,
    EntryLink,
    EntryListener,
    PeerMessage,
    Refused,
    WaitConfig,
)
from pimentocross.links.peer import PeerUnreachableError
from tests.fixtures import wait_for
from tests.gates import Gate, GatedStream

_A = PeerIdentity("a:1:x", "a", "a:1", "north")
_B = PeerIdentity("b:1:x", "b", "b:1", "south")
_OLD, _NEW = b"old key", b"new key"


class _Answerer:
    """Answers everything with `Done`."""

    def __init__(self) -> None:
        self.asked: list[PeerMessage] = []

    async def answer(
        self, peer: PeerIdentity, message: PeerMessage
    ) -> PeerMessage:
        self.asked.append(message)
        return Done()

    def refuse(self, reason: str) -> PeerMessage:
        return Refused(reason)


def _listener(*keys: bytes) -> tuple[EntryListener, _Answerer]:
    answerer = _Answerer()
    credentials = Credentials("test", keys)
    listener = EntryListener(_B, credentials, answerer, PEER_MESSAGES)
    return listener, answerer


async def _greet_with(
    cluster: str, keys: list[bytes], peer_keys: list[bytes]
) -> PeerIdentity:
    listener, _ = _listener(*peer_keys)
    near, far = memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve_connection, far)
        peer = await greet(FrameStream(near), _A, Credentials(cluster, keys))
        nursery.cancel_scope.cancel()
    return peer


async def test_a_key_is_replaced_in_steps_without_a_break() -> None:
    steps = [[_OLD], [_OLD, _NEW], [_NEW, _OLD], [_NEW]]
    for before, after in itertools.pairwise(steps):
        for keys, peer_keys in (
            (before, after),
            (after, before),
            (after, after),
        ):
            assert await _greet_with("test", keys, peer_keys) == _B


async def test_wrong_key_and_other_cluster_are_refused() -> None:
    for cluster, key in (("test", b"stolen"), ("other", _NEW)):
        refused = False
        try:
            await _greet_with(cluster, [key], [_NEW])
        except* GreetingError:
            refused = True
        assert refused, cluster


async def _send_raw(data: bytes) -> tuple[EntryListener, _Answerer]:
    listener, answerer = _listener(_NEW)
    near, far = memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve_connection, far)
        await near.send_all(data)
        await near.send_eof()
    return listener, answerer


async def test_invalid_bytes_end_only_their_connection() -> None:
    rng = random.Random(3)
    frame = msgpack.packb([1, "test", b"x" * 16])
    inputs = [
        b"",
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">I", 2**31) + b"x",
        struct.pack(">I", 3) + b"\xc1\xc1\xc1",
        struct.pack(">I", 100) + b"torn",
        struct.pack(">I", len(frame)) + frame + struct.pack(">I", 0),
        struct.pack(">I", 6) + msgpack.packb({"a": {"b": 1}}),
        struct.pack(">I", 9) + msgpack.packb([99, "test", b"n"]),
        *(rng.randbytes(rng.randrange(200)) for _ in range(200)),
    ]
    for data in inputs:
        listener, answerer = await _send_raw(data)
        assert not answerer.asked
        assert listener.refused == 1, data


async def test_slow_greeter_is_cut_off() -> None:
    listener, _ = _listener(_NEW)
    near, far = memory_stream_pair()
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve_connection, far)
        assert await near.receive_some() == b""
    assert trio.current_time() - began <= const.GREETING_TIMEOUT + 1


async def test_unknown_messages_are_refused_and_the_link_goes_on() -> None:
    listener, answerer = _listener(_NEW)
    near, far = memory_stream_pair()
    frames = FrameStream(near)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve_connection, far)
        await greet(frames, _A, Credentials("test", [_NEW]))
        wrong: list[list[object]] = [
            [],
            ["nope"],
            ["config"],
            ["config", "x", 1.0],
            ["config", 1, {}],
        ]
        for number, array in enumerate(wrong):
            await frames.send([number, *array])
            reply = await frames.receive(const.MAX_FRAME_BYTES)
            assert reply is not None
            assert isinstance(PEER_MESSAGES.unpack(reply[1:]), Refused)
        await frames.send([9, *PEER_MESSAGES.pack(WaitConfig(1, 1.0))])
        reply = await frames.receive(const.MAX_FRAME_BYTES)
        assert reply is not None
        assert isinstance(PEER_MESSAGES.unpack(reply[1:]), Done)
        nursery.cancel_scope.cancel()
    assert len(answerer.asked) == 1


async def test_silent_connection_is_closed_and_dialed_afresh() -> None:
    listener, _ = _listener(_NEW)
    gates: list[Gate] = []
    async with trio.open_nursery() as nursery:

        async def dial(address: str) -> trio.abc.Stream:
            near, far = memory_stream_pair()
            gates.append(Gate())
            nursery.start_soon(listener.serve_connection, far)
            return GatedStream(near, gates[-1], "b")

        async def heartbeat(link: EntryLink) -> None:
            while True:
                try:
                    await link.ask(WaitConfig(0, 0.0), timeout=3.0)
                except PeerUnreachableError as error:
                    raise trio.TooSlowError from error
                await trio.sleep(1.0)

        link = EntryLink(
            "b:1", _A, Credentials("test", [_NEW]), PEER_MESSAGES, dial
        )
        nursery.start_soon(link.run, heartbeat)
        await wait_for(lambda: link.connected)
        await trio.sleep(5)
        assert len(gates) == 1
        # The network loses the state of this connection only.
        gates[0].cut.add("b")
        lost = trio.current_time()
        await wait_for(lambda: len(gates) == 2 and link.connected)
        assert trio.current_time() - lost < 6
        assert link.timeout_count == 1
        nursery.cancel_scope.cancel()


async def test_every_vm_of_a_large_cluster_reaches_the_owner() -> None:
    """Guards against a too low limit of connections to an owner.

    With a limit of 256 connections, the entry VMs beyond it took the owner for
    unreachable and refused all callers.
    """
    listener, _ = _listener(_NEW)
    async with trio.open_nursery() as nursery:

        async def dial(address: str) -> trio.abc.Stream:
            near, far = memory_stream_pair()
            nursery.start_soon(listener.serve_connection, far)
            await trio.lowlevel.checkpoint()
            return near

        async def ask(link: EntryLink) -> None:
            assert await link.ask(WaitConfig(0, 1.0), 1.0) == Done()
            answered.append(link)
            await trio.sleep_forever()

        answered: list[EntryLink] = []
        for number in range(300):
            local_identity = PeerIdentity(f"v{number}:1:x", "v", "v:1", "north")
            link = EntryLink(
                "b:1",
                local_identity,
                Credentials("test", [_NEW]),
                PEER_MESSAGES,
                dial,
            )
            nursery.start_soon(link.run, ask)
        with trio.move_on_after(10.0):
            await wait_for(lambda: len(answered) == 300)
        assert len(answered) == 300
        nursery.cancel_scope.cancel()
