"""Tests of log folds: comparison with a naive fold, snapshots, retention."""

from hypothesis import given, settings
from hypothesis import strategies as st
import trio
from trio.testing import MockClock

from pimentocross.backing.log import RecordBody
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.outbox import Outcome
from pimentocross.standins.faults import FaultPlan
from pimentocross.standins.log import LogStandin

# Seconds within which a change must be in force everywhere after its
# acknowledgement, as on the users' platform.
_MAX_READ_LAG = 2.0
# Bytes per second that the link of a weak VM carries.
_SLOW_LINK = 625_000.0
_LARGE_RECORD_BYTES = 4_000_000


class _Balances:
    """Adds amounts to accounts; rejects amounts that make one negative."""

    def __init__(self) -> None:
        self.accounts: dict[str, int] = {}

    def apply(self, offset: int, body: RecordBody) -> str | None:
        name, amount = body["name"], body["amount"]
        if self.accounts.get(name, 0) + amount < 0:
            return "below zero"
        self.accounts[name] = self.accounts.get(name, 0) + amount
        return None

    def dump(self) -> RecordBody:
        return {"accounts": dict(self.accounts)}

    def load(self, dump: RecordBody) -> None:
        self.accounts = dict(dump["accounts"])


def _record(name: str, amount: int) -> RecordBody:
    return {"kind": "add", "name": name, "amount": amount}


def _fold(log: LogStandin) -> StreamFold[_Balances]:
    return StreamFold(log, "s", _Balances())


_changes = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(-5, 5)), max_size=40
)


@given(changes=_changes, lost=st.floats(0, 0.5), seed=st.integers(0, 99))
@settings(max_examples=60, derandomize=True, deadline=None)
def test_verdicts_match_a_naive_reader(
    changes: list[tuple[str, int]], lost: float, seed: int
) -> None:
    async def run() -> None:
        log = LogStandin(seed=seed)
        log.faults.plan = FaultPlan(lose_replies=lost, lose_requests=lost / 2)
        fold, other = _fold(log), _fold(log)
        naive = _Balances()
        async with trio.open_nursery() as nursery:
            for reader in (fold, other):
                nursery.start_soon(reader.run)
            nursery.start_soon(fold.run_writer)
            for name, amount in changes:
                verdict = await fold.publish(
                    _record(name, amount), timeout=1000.0
                )
                rejected = naive.apply(0, _record(name, amount)) is not None
                assert verdict.accepted is not rejected
            await other.wait_position(fold.position)
            assert fold.state.accounts == naive.accounts
            assert other.state.accounts == naive.accounts
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


async def test_reader_behind_retention_starts_from_a_snapshot() -> None:
    log = LogStandin(retention=10.0)
    first = _fold(log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        nursery.start_soon(first.run_writer)
        for _ in range(5):
            await first.publish(_record("a", 1), timeout=5.0)
        await trio.sleep(8)
        await first.append_snapshot()
        await first.publish(_record("a", 10), timeout=5.0)
        # The first five have expired; the snapshot holds them.
        await trio.sleep(4)
        late = _fold(log)
        nursery.start_soon(late.run)
        await late.wait_position(first.position)
        assert late.state.accounts == {"a": 15}
        nursery.cancel_scope.cancel()


async def test_a_record_after_a_silent_log_is_read_in_time() -> None:
    """Guards against a read that waits on for a request which was lost.

    Requests that were sent while the log was silent are never answered.
    """
    lags = [await _lag_after_silence(8.0 + step * 0.25) for step in range(40)]
    assert max(lags) < _MAX_READ_LAG, max(lags)


async def test_a_large_record_is_read_over_a_slow_link() -> None:
    """One read takes longer than its timeout and than the hedge delay."""
    log = LogStandin()
    reader = _fold(log)
    log.link_bytes_per_s = _SLOW_LINK
    await log.append("s", [_record("a" * _LARGE_RECORD_BYTES, 1) | {"id": "1"}])
    seconds = _LARGE_RECORD_BYTES / _SLOW_LINK
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.run)
        with trio.fail_after(seconds + _MAX_READ_LAG):
            while not reader.state.accounts:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def _lag_after_silence(seconds: float) -> float:
    """Returns the seconds from a record's append until a reader has it."""
    log = LogStandin()
    reader = _fold(log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.run)
        await trio.sleep(1.0)
        log.faults.plan = FaultPlan(silent=True)
        await trio.sleep(seconds)
        log.faults.plan = FaultPlan()
        await log.append("s", [_record("a", 1) | {"id": "1"}])
        appended_at = trio.current_time()
        await reader.wait_position(1)
        nursery.cancel_scope.cancel()
    return trio.current_time() - appended_at


async def test_reader_in_a_gap_keeps_its_state_until_a_snapshot() -> None:
    log = LogStandin(retention=10.0)
    writer, reader = _fold(log), _fold(log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.run)
        nursery.start_soon(writer.run_writer)
        with trio.move_on_after(1.0):
            await writer.publish(_record("a", 1), timeout=5.0)
            await reader.run()
        assert reader.state.accounts == {"a": 1}
        await writer.publish(_record("a", 2), timeout=5.0)
        await trio.sleep(12)
        await writer.publish(_record("a", 4), timeout=5.0)
        nursery.start_soon(reader.run)
        await trio.sleep(3)
        assert not reader.ready
        assert reader.state.accounts == {"a": 1}
        # The fold of a peer that is behind must not replace the state.
        assert not reader.load(_fold(log).dump())
        await writer.append_snapshot()
        await trio.sleep(6)
        assert reader.ready
        assert reader.state.accounts == {"a": 7}
        nursery.cancel_scope.cancel()


async def test_outcome_tells_never_sent_from_unknown() -> None:
    log = LogStandin()
    fold = _fold(log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fold.run)
        nursery.start_soon(fold.run_writer)
        log.faults.plan = FaultPlan(away=True)
        never = await fold.publish(_record("a", 1), timeout=0.5)
        assert never.outcome is Outcome.NOT_SENT
        log.faults.plan = FaultPlan(lose_requests=1.0)
        lost = await fold.publish(_record("a", 2), timeout=2.0)
        assert lost.outcome is Outcome.UNKNOWN
        log.faults.plan = FaultPlan()
        await trio.sleep(10)
        assert fold.state.accounts == {}
        nursery.cancel_scope.cancel()
