"""Tests the client of the platform's store on loopback."""

import trio

from pimentocross.contracts.store import (
    ConditionFailedError,
    FencedError,
    HistoryExpiredError,
    ProducerMark,
    Record,
    SequenceGapError,
    StoreUnavailableError,
)
from pimentocross.platform.store import StoreClient
from pimentocross.platform.topics import OperatorTopic, WorkerTopic
from tests.platform_fixtures import loopback_platform


async def test_appends_are_conditional_idempotent_and_fenced() -> None:
    async with loopback_platform(0) as platform:
        client = StoreClient(platform.store_address)
        records = [Record("a", b"1"), Record("b", b"2")]
        assert await client.append("t", records, 1.0, at=0) == 0
        try:
            await client.append("t", records, 1.0, at=0)
            raise AssertionError("appended at a wrong offset")
        except ConditionFailedError as error:
            assert error.end == 2
        mark = ProducerMark("p", 7, 0)
        assert await client.append("t", records[:1], 1.0, mark=mark) == 2
        assert await client.append("t", records[:1], 1.0, mark=mark) == 2
        try:
            await client.append(
                "t", records[:1], 1.0, mark=ProducerMark("p", 7, 5)
            )
            raise AssertionError("a gap was taken")
        except SequenceGapError as error:
            assert error.expected == 1
        try:
            await client.append(
                "t", records[:1], 1.0, mark=ProducerMark("p", 6, 0)
            )
            raise AssertionError("a lower epoch was taken")
        except FencedError:
            pass
        page = await client.newest("t", 1.0)
        assert sorted((r.key, r.offset) for r in page.records) == [
            ("a", 2),
            ("b", 1),
        ]


async def test_readers_go_on_from_the_newest_once_history_is_gone() -> None:
    async with loopback_platform(2) as platform:
        client = StoreClient(platform.store_address)
        servers, operator = WorkerTopic(client), OperatorTopic(client)
        assert len(await servers.poll(1.0)) == 2
        first = (await operator.next_config(0.0, 1.0)).config
        assert first is not None
        assert first.version == 1
        await platform.configure(2, "/b/")
        platform.store.forget_history("op")
        platform.store.forget_history("servers")
        try:
            await client.read("op", 1, 0.0, 1.0)
            raise AssertionError("forgotten records were read")
        except HistoryExpiredError:
            pass
        newer = (await operator.next_config(0.0, 1.0)).config
        assert newer is not None
        assert newer.version == 2
        assert len(await servers.poll(1.0)) == 2


async def test_kept_connections_that_went_silent_are_not_asked_again() -> None:
    """Tests that a retry uses a new connection after a timeout.

    If a reply is overdue, all idle connections may be dead as well. The client
    must not try them one after the other.
    """
    opened = 0
    silent = False

    async def answer(stream: trio.SocketStream) -> None:
        nonlocal opened
        opened += 1
        mine_is_old = opened <= 4
        body = b'{"items":[],"end_offset":0}'
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        while await stream.receive_some(4096):
            await trio.sleep(0.05)
            if not (silent and mine_is_old):
                await stream.send_all(head + body)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, answer, 0)
        port = listeners[0].socket.getsockname()[1]
        client = StoreClient(f"127.0.0.1:{port}")
        async with trio.open_nursery() as calls:
            for _ in range(4):
                calls.start_soon(client.newest, "op", 1.0)
        assert opened == 4
        silent = True
        began = trio.current_time()
        await OperatorTopic(client).next_config(0.0, 2.0, 0.3)
        assert trio.current_time() - began < 0.6
        assert opened == 5
        nursery.cancel_scope.cancel()


async def test_a_store_that_refuses_or_is_not_there_is_unavailable() -> None:
    async with loopback_platform(0) as platform:
        client = StoreClient(platform.store_address)
        platform.store.faults.refused.add("wire")
        for call in (client.newest("t", 1.0), client.append("t", [], 1.0)):
            try:
                await call
                raise AssertionError("a refusal was taken for an answer")
            except StoreUnavailableError as error:
                assert not error.sent
    try:
        await client.newest("t", 0.5)
        raise AssertionError("an absent store answered")
    except StoreUnavailableError:
        pass
