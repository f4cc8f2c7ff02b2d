"""Tests of submissions that entry VMs accept while no owner is reachable."""

from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

import trio

from pimentocross.contracts.store import Record, StoreUnavailableError
from pimentocross.contracts.switches import (
    Part,
    Switches,
    UnknownPartError,
    read_switches,
)
from pimentocross.gateway.intake import (
    DurableIntake,
    PeerAccess,
)
from pimentocross.gateway.intake_writer import IntakeWriter
from pimentocross.gateway.messages import (
    AskState,
    CancelJob,
    GatewayMessage,
    JobAnswer,
    NotOwner,
    SubmitJob,
)
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.owner.intake import TOPIC, cancel_key, submission_key
from pimentocross.owner.job_api import Outcome
from pimentocross.owner.owner import Owner
from pimentocross.standins.store import StoreClientStandin, StoreStandin
from pimentocross.work import records
from pimentocross.work.state import JobState
from tests.gateway_fixtures import FixedConfig
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    chain,
    find_overlapping_starts,
    find_starts_after_success,
    make_owner,
    make_worker_pool,
    running,
    wait_until,
)

_SUBMIT = SubmitJob("job1", QUEUE, chain())
_ACCEPTED = JobAnswer(Outcome.OK, JobState.QUEUED)


class OwnerFake:
    """A fake `OwnerAccess` whose owner replies as the test sets.

    Attributes:
        reply: The reply, or the error to raise.
        silent: Whether requests time out without a reply.
        silent_since: Time since which there is no contact with the owner,
            monotonic.
        asked: The requests that were sent.
    """

    def __init__(self, reply: GatewayMessage | PeerUnreachableError) -> None:
        """Initializes the fake with a reply or an error."""
        self.reply = reply
        self.silent = False
        self.silent_since = float("inf")
        self.asked: list[GatewayMessage] = []

    def silence(self) -> float:
        """Returns the seconds since the last contact with the owner."""
        return max(trio.current_time() - self.silent_since, 0.0)

    def owner_absent(self) -> float:
        """Returns 0 unless the reply is a lost connection."""
        return 1.0 if self.reply is _LOST else 0.0

    async def store_answers(self) -> bool:
        """Returns True."""
        return True

    async def ask_owner(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        """Returns the reply or raises the error."""
        self.asked.append(message)
        if self.silent:
            await trio.sleep(timeout)
            raise PeerUnreachableError("no answer", sent=True)
        await trio.sleep(0.01)
        if isinstance(self.reply, PeerUnreachableError):
            raise self.reply
        return self.reply


ABSENT = PeerUnreachableError("no owner is known", sent=False)
_LOST = PeerUnreachableError("connection lost", sent=True)


class NoPeers:
    """A fake `PeerAccess` without other VMs."""

    async def run(self) -> None:
        """Does nothing."""

    async def ask(self, message: GatewayMessage) -> GatewayMessage:
        """Raises PeerUnreachableError."""
        await trio.lowlevel.checkpoint()
        raise PeerUnreachableError("nobody near", sent=False)


@asynccontextmanager
async def _running_intake(
    owner: OwnerFake,
    store: StoreStandin,
    *,
    current: bool = True,
    vm: str = "vm",
    peers: PeerAccess | None = None,
) -> AsyncIterator[DurableIntake]:
    intake = DurableIntake(
        owner,
        owner.silence,
        FixedConfig(CONFIG, current=current),
        store.client(vm),
        peers or NoPeers(),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(intake.run)
        yield intake
        nursery.cancel_scope.cancel()


def _keys(store: StoreStandin) -> list[str]:
    return [r.key for r in store.topic(TOPIC).records if r.value is not None]


def _outcome(reply: GatewayMessage) -> Outcome:
    assert isinstance(reply, JobAnswer)
    return reply.outcome


async def test_nothing_is_stored_while_the_owner_answers() -> None:
    store = StoreStandin()
    for reply in (
        _ACCEPTED,
        JobAnswer(Outcome.NO_SUCH_JOB, None),
    ):
        async with _running_intake(OwnerFake(reply), store) as intake:
            assert await intake.ask_owner(_SUBMIT, 2.0) == reply, (
                "the owner's reply"
            )
    assert not store.calls, f"{store.calls} calls to the store"


async def test_without_an_owner_a_burst_is_taken_in_at_once() -> None:
    # One VM gets 300 callers within 1.5 s; each gives up after 3 s.
    store = StoreStandin()
    took: list[float] = []

    async def submit(intake: DurableIntake, number: int) -> None:
        await trio.sleep(number * 0.005)
        asked_at = trio.current_time()
        message = _SUBMIT._replace(job=f"job{number}")
        reply = await intake.ask_owner(message, 2.7)
        assert reply == _ACCEPTED, f"accepted, not {reply}"
        took.append(trio.current_time() - asked_at)

    async with _running_intake(OwnerFake(ABSENT), store) as intake:
        async with trio.open_nursery() as nursery:
            for number in range(300):
                nursery.start_soon(submit, intake, number)
    assert len(_keys(store)) == 300, f"{len(_keys(store))} are stored"
    assert max(took) < 0.3, f"over a tenth of the timeout: {max(took):.2f} s"
    assert store.calls <= 150, f"not batched: {store.calls} calls"


async def test_an_owner_that_falls_silent_is_not_waited_for() -> None:
    store = StoreStandin()
    owner = OwnerFake(_ACCEPTED)
    owner.silent, owner.silent_since = True, trio.current_time()
    async with _running_intake(owner, store) as intake:
        asked_at = trio.current_time()
        reply = await intake.ask_owner(_SUBMIT, 2.7)
        took = trio.current_time() - asked_at
    assert reply == _ACCEPTED, f"accepted, not {reply}"
    assert took < 1.0, f"too late for the caller: {took:.2f} s"


async def test_a_slow_owner_that_is_heard_is_waited_for() -> None:
    store = StoreStandin()
    owner = OwnerFake(_ACCEPTED)
    owner.silent = True
    async with _running_intake(owner, store) as intake:
        try:
            await intake.ask_owner(_SUBMIT, 2.7)
        except PeerUnreachableError as error:
            assert error.sent, "it may run"
        else:
            raise AssertionError("answered instead of a responding owner")
    assert not store.calls, "nothing was stored"


async def test_an_owner_that_dies_with_a_submission_costs_nobody_its_job() -> (
    None
):
    store = StoreStandin()
    async with _running_intake(OwnerFake(_LOST), store) as intake:
        reply = await intake.ask_owner(_SUBMIT, 2.7)
    assert reply == _ACCEPTED, f"accepted, not {reply}"


async def test_an_owner_that_cannot_write_refuses_nobody_whose_vm_can() -> None:
    for refusal in (
        JobAnswer(Outcome.STORE_AWAY, None),
        JobAnswer(Outcome.UNSURE, None),
        NotOwner("the cell is not owned here"),
    ):
        store = StoreStandin()
        async with _running_intake(OwnerFake(refusal), store) as intake:
            reply = await intake.ask_owner(_SUBMIT, 2.7)
        assert reply == _ACCEPTED, f"accepted, not {reply}"


async def test_a_refusal_without_the_store_is_true() -> None:
    store = StoreStandin()
    store.faults.refused.add("vm")
    async with _running_intake(OwnerFake(ABSENT), store) as intake:
        try:
            await intake.ask_owner(_SUBMIT, 2.7)
        except PeerUnreachableError as error:
            assert not error.sent, "not accepted"
        else:
            raise AssertionError("accepted without a store")
    assert not _keys(store), "nothing was stored"


async def test_a_lost_answer_of_the_store_leaves_the_caller_unsure() -> None:
    store = StoreStandin()
    store.faults.lost = 1.0
    async with _running_intake(OwnerFake(ABSENT), store) as intake:
        try:
            await intake.ask_owner(_SUBMIT, 2.7)
        except PeerUnreachableError as error:
            assert error.sent, "it may run"
        else:
            raise AssertionError("accepted without the store's reply")


async def test_a_vm_whose_configuration_may_be_old_takes_nothing_in() -> None:
    store = StoreStandin()
    async with _running_intake(
        OwnerFake(ABSENT), store, current=False
    ) as intake:
        try:
            await intake.ask_owner(_SUBMIT, 2.7)
        except PeerUnreachableError as error:
            assert not error.sent, "not accepted"
        else:
            raise AssertionError("accepted with an old configuration")


async def test_a_vm_stores_no_job_of_a_queue_that_was_dropped() -> None:
    # The owner knows that already, and the VM finds out when it checks.
    store = StoreStandin()
    refusal = NotOwner("the queue is not in force")
    dropped = _SUBMIT._replace(queue=QUEUE._replace(name="dropped"))
    async with _running_intake(OwnerFake(refusal), store) as intake:
        assert await intake.ask_owner(dropped, 2.7) == refusal
    assert not _keys(store), "nothing was stored"


async def test_questions_for_a_state_are_left_to_the_owner() -> None:
    store = StoreStandin()
    reply = JobAnswer(Outcome.STORE_AWAY, None)
    async with _running_intake(OwnerFake(reply), store) as intake:
        assert await intake.ask_owner(AskState("job1"), 1.0) == reply, (
            "the owner's reply"
        )
    assert not store.calls, "nothing was stored"


async def test_a_writer_tries_a_store_that_is_away_once_in_a_while() -> None:
    store = StoreStandin()
    store.faults.refused.add("vm")
    writer = IntakeWriter(store.client("vm"))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.run)
        for number in range(100):
            try:
                await writer.put(Record(f"j{number}", b""))
            except StoreUnavailableError as error:
                assert not error.sent, "not stored"
        nursery.cancel_scope.cancel()
    assert store.calls <= 3, f"{store.calls} calls for 100 callers"


async def test_who_waits_behind_a_failed_append_is_told_with_it() -> None:
    store = StoreStandin()
    store.faults.away = True
    writer = IntakeWriter(store.client("vm"))
    began = trio.current_time()
    results: dict[str, tuple[float, bool]] = {}

    async def put(key: str) -> None:
        try:
            await writer.put(Record(key, b"1"))
        except StoreUnavailableError as error:
            results[key] = trio.current_time() - began, error.sent

    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.run)
        async with trio.open_nursery() as callers:
            callers.start_soon(put, "j1")
            await trio.sleep(0.5)
            callers.start_soon(put, "j2")
        nursery.cancel_scope.cancel()
    assert results["j1"][1], "it may be stored"
    took, sent = results["j2"]
    assert not sent and took < 1.2, f"not sent, {took:.2f} s"


class _SizeRecorder(StoreClientStandin):
    """Records the bytes of each append; the platform's limit is 2 MB."""

    sizes: list[int]

    async def append(
        self, topic: str, records: Sequence[Record], timeout: float, **rest: Any
    ) -> int:
        """Appends records."""
        self.sizes.append(sum(len(record.value or b"") for record in records))
        return await super().append(topic, records, timeout, **rest)


async def test_what_waits_goes_to_the_store_in_appends_that_it_takes() -> None:
    client = _SizeRecorder(StoreStandin(), "vm")
    client.sizes = []
    writer = IntakeWriter(client)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.run)
        async with trio.open_nursery() as callers:
            for number in range(400):
                record = Record(f"j{number}", bytes(6000))
                callers.start_soon(writer.put, record)
        nursery.cancel_scope.cancel()
    assert sum(client.sizes) == 400 * 6000, "all are stored, and once"
    assert max(client.sizes) <= 1_000_000, client.sizes


async def _store_submissions(store: StoreStandin, *jobs: str) -> None:
    value = records.encode_accepted(QUEUE, chain(), 0.0)
    await store.client("vm").append(
        TOPIC, [Record(submission_key(job), value) for job in jobs], 1.0
    )


def _state(owner: Owner, job: str) -> JobState | None:
    return owner.job_api.state(job).state


def _completed(owner: Owner, job: str) -> bool:
    return _state(owner, job) is JobState.COMPLETED


def _remaining_keys(store: StoreStandin) -> list[str]:
    """Returns the stored keys that were not removed yet."""
    newest = {r.key: r.value for r in store.topic(TOPIC).records}
    return [key for key, value in newest.items() if value is not None]


async def test_a_new_owner_takes_up_what_was_stored_before_it_answers() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    await _store_submissions(store, "job1", "job2")
    async with running(make_owner(store, worker_pool, 1)) as owner:
        assert owner.job_api.knows("job1"), "known as soon as it answers"
        await wait_until(lambda: _completed(owner, "job2"))
        await wait_until(lambda: not _remaining_keys(store))
    assert not find_overlapping_starts(worker_pool.journal), "no task ran twice"


async def test_an_owner_takes_up_what_vms_store_while_it_lives() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await trio.sleep(5.0)
        stored_at = trio.current_time()
        await _store_submissions(store, "job1")
        await wait_until(lambda: owner.job_api.knows("job1"))
        took = trio.current_time() - stored_at
        assert took < 1.0, f"after callers ask for it: {took:.2f} s"


async def test_a_job_that_two_vms_stored_and_an_owner_knew_runs_once() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("job1", QUEUE, chain())
        await _store_submissions(store, "job1")
        await _store_submissions(store, "job1")
        await wait_until(lambda: _completed(owner, "job1"))
        # Stored again, seconds after the job was accepted.
        await _store_submissions(store, "job1")
        await wait_until(lambda: not _remaining_keys(store))
        await trio.sleep(3.0)
    assert not find_starts_after_success(worker_pool.journal), (
        "no task ran again"
    )


async def test_a_store_slow_as_vms_put_up_with_is_read_by_owners_too() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    await _store_submissions(store, "job1")
    store.faults.delay = 0.8
    async with running(make_owner(store, worker_pool, 1)) as owner:
        assert owner.job_api.knows("job1"), "known as soon as it answers"
        await _store_submissions(store, "job2")
        await wait_until(lambda: owner.job_api.knows("job2"))
        outcome = owner.job_api.state("job9").outcome
        assert outcome is Outcome.NO_SUCH_JOB, "the topic counts as read"


async def test_an_owner_killed_after_it_took_jobs_up_loses_none() -> None:
    # Killed at different points between reading the topic, recording the
    # jobs and removing them from the topic.
    for moment in (0.0, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1):
        store, worker_pool = StoreStandin(), make_worker_pool()
        async with running(make_owner(store, worker_pool, 1)):
            await _store_submissions(store, "job1", "job2")
            await trio.sleep(moment)
        next_owner = make_owner(
            store, worker_pool, 2, vm="b", former_quiet=False
        )
        async with running(next_owner) as owner:
            for job in ("job1", "job2"):
                assert owner.job_api.knows(job), f"{job} after {moment} s"
            await wait_until(lambda: _completed(owner, "job2"))
        assert not find_overlapping_starts(worker_pool.journal), (
            "no task ran twice"
        )


async def test_what_an_owner_can_not_read_stays_for_another_version() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    await _store_submissions(store, "job1")
    unread = [
        Record(submission_key("job2"), b"\x91\x63"),
        Record("?job1", b"1"),
    ]
    await store.client("vm").append(TOPIC, unread, 1.0)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await wait_until(lambda: _completed(owner, "job1"))
        await trio.sleep(2.0)
    assert _remaining_keys(store) == [record.key for record in unread], (
        _remaining_keys(store)
    )


async def test_a_cancel_that_was_stored_with_its_job_starts_nothing() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    await _store_submissions(store, "job1")
    await store.client("vm").append(
        TOPIC, [Record(cancel_key("job1"), b"\x01")], 1.0
    )
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await wait_until(lambda: _state(owner, "job1") is JobState.CANCELLED)
        await trio.sleep(2.0)
    started = Counter(event.what for event in worker_pool.journal)
    assert not started["start"], "nothing was started"


async def test_a_cancel_without_an_owner_is_stored() -> None:
    store = StoreStandin()
    async with _running_intake(OwnerFake(ABSENT), store) as intake:
        reply = await intake.ask_owner(CancelJob("job1"), 2.7)
    assert _outcome(reply) is Outcome.OK, "acknowledged"
    assert _keys(store) == [cancel_key("job1")], "stored"


async def test_no_job_is_unknown_while_the_topic_can_not_be_read() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with running(make_owner(store, worker_pool, 1)) as owner:
        assert owner.job_api.state("job9").outcome is Outcome.NO_SUCH_JOB, (
            "known"
        )
        store.faults.refused.add("a")
        await trio.sleep(3.0)
        assert owner.job_api.state("job9").outcome is Outcome.STORE_AWAY, (
            "not known"
        )


async def test_no_cancel_of_a_job_that_may_be_in_the_topic_is_refused() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await trio.sleep(2.0)
        store.faults.refused.add("a")
        await _store_submissions(store, "job1")
        assert (await owner.cancel("job1")).outcome is Outcome.STORE_AWAY
        store.faults.refused.clear()
        assert (await owner.cancel("job1")).outcome is Outcome.OK, "known"
        assert (await owner.cancel("job9")).outcome is Outcome.NO_SUCH_JOB


async def test_many_questions_for_unknown_jobs_share_few_reads() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await trio.sleep(2.0)
        calls = store.calls
        async with trio.open_nursery() as nursery:
            for number in range(100):
                nursery.start_soon(owner.import_if_stored, f"job{number}")
        assert store.calls - calls <= 5, f"{store.calls - calls} calls"


async def test_switched_off_an_owner_asks_the_store_nothing_more() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    await _store_submissions(store, "job1")
    switches = Switches(frozenset({Part.INTAKE}))
    owner = make_owner(store, worker_pool, 1, switches=switches)
    async with running(owner):
        await owner.import_if_stored("job1")
        await trio.sleep(3.0)
        assert not owner.job_api.knows("job1"), "not read"
        outcome = owner.job_api.state("job1").outcome
        assert outcome is Outcome.NO_SUCH_JOB, "as without the part"


def test_a_part_that_nobody_knows_is_named() -> None:
    assert read_switches(" copies, triage,") == Switches(
        frozenset({Part.COPIES, Part.TRIAGE})
    )
    assert read_switches("").is_on(Part.COPIES)
    try:
        read_switches("copies,copying")
    except UnknownPartError as error:
        assert "copying:" in str(error), error
    else:
        raise AssertionError("taken")
