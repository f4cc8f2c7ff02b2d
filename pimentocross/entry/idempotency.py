"""Runs a request with an idempotency key at most once in the cluster."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from expression import Error, Ok, Result
import trio
import xxhash

from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.outbox import Outcome, Verdict
from pimentocross.entry import const
from pimentocross.entry.keys import (
    KINDS,
    KeyClaimed,
    KeyEntry,
    KeySettled,
    KeysState,
)
from pimentocross.entry.membership import Peers
from pimentocross.links.asgi import HttpReply
from pimentocross.links.messages import AskKey, KeyAnswer
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.observe.problems import (
    Problem,
    RequestRunState,
    not_run,
    unknown,
)


class Claim(NamedTuple):
    """A key's entry, and whether this claim was the first one."""

    entry: KeyEntry
    won: bool


Run = Callable[[], Awaitable[Result[HttpReply, Problem]]]


def hash_key(tenant: str, key: str) -> str:
    """Returns the hash under which a tenant's key is stored in the log."""
    return xxhash.xxh3_128_hexdigest(f"{tenant}\0{key}".encode())


class IdempotencyTable:
    """Claims keys in the log; repeats get the reply to the first request.

    Only the process that claimed a key runs its request. Repeats that arrive
    at other entry VMs read the outcome from the log or ask that process.
    """

    def __init__(
        self, fold: StreamFold[KeysState], process: str, peers: Peers
    ) -> None:
        """Initializes the table.

        Args:
            fold: The key stream's fold.
            process: Id of this process.
            peers: Links to the processes that may have claimed a key.
        """
        self._fold = fold
        self._process = process
        self._peers = peers
        self._running: dict[str, trio.Event] = {}
        self._answers: dict[str, KeyAnswer] = {}

    async def claim(
        self, key: str, digest: str, job: str, timeout: float
    ) -> Result[Claim, Problem]:
        """Claims a key, or returns the entry of its earlier claim.

        Args:
            key: The hashed key, see `hash_key`.
            digest: Hash of the request; a key can't be used for another one.
            job: Id of the job that the request submits, or "".
            timeout: Seconds to wait for the log.
        """
        entry = self._fold.state.get(key)
        if entry is None:
            claimed = KeyClaimed(key, self._process, digest, job)
            verdict = await self._fold.publish(
                KINDS.encode(claimed), timeout=timeout, fail_fast=True
            )
            if verdict.accepted:
                return Ok(Claim(KeyEntry(claimed, None), True))
            entry = self._fold.state.get(key)
            if entry is None or verdict.outcome is not Outcome.REJECTED:
                return Error(self._on_claim_failure(key, verdict))
        if entry.claimed.digest != digest:
            detail = "the key was used for another request"
            return Error(not_run(422, "key-reused", detail))
        return Ok(Claim(entry, False))

    async def run_once(
        self, key: str, digest: str, timeout: float, run: Run
    ) -> Result[HttpReply, Problem]:
        """Runs a request, or returns the reply if its key was claimed before.

        Concurrent repeats at this process wait for the first request.
        """
        deadline = trio.current_time() + timeout
        while key in self._running:
            with trio.move_on_at(deadline) as scope:
                await self._running[key].wait()
            if scope.cancelled_caught:
                detail = "the first request with this key still runs"
                return Error(unknown(504, "key-unknown", detail))
        self._running[key] = trio.Event()
        try:
            remaining = max(deadline - trio.current_time(), 0.001)
            claim = await self.claim(key, digest, "", remaining)
            if claim.is_error():
                return Error(claim.error)
            if claim.ok.won:
                return await self._run(key, run)
        finally:
            self._running.pop(key).set()
        remaining = max(deadline - trio.current_time(), 0.0)
        return self._to_reply(
            await self._await_answer(claim.ok.entry, remaining)
        )

    async def answer(self, key: str, timeout: float) -> KeyAnswer:
        """Returns the outcome of a request that this process claimed.

        Waits up to `timeout` seconds if the request is still running.
        """
        running = self._running.get(key)
        if running is not None:
            with trio.move_on_after(timeout):
                await running.wait()
        return self._answers.get(key, KeyAnswer("unknown"))

    async def _run(self, key: str, run: Run) -> Result[HttpReply, Problem]:
        answer = KeyAnswer("unknown")
        try:
            result = await run()
            answer = _to_answer(result)
            return result
        finally:
            self._answers[key] = answer
            self._evict_answers()
            self._settle(key, answer)

    def _on_claim_failure(self, key: str, verdict: Verdict) -> Problem:
        if verdict.outcome is Outcome.UNKNOWN:
            # The claim may be in the log although the request is not run, so
            # it is released.
            self._answers[key] = KeyAnswer("released")
            self._settle(key, KeyAnswer("released"))
        detail = f"the key could not be claimed: {verdict.reason}"
        return not_run(503, "no-claim", detail, const.RETRY_AFTER_LOG_FAILURE)

    def _settle(self, key: str, answer: KeyAnswer) -> None:
        body = answer.body[: const.MAX_KEPT_BODY_BYTES + 1]
        state = answer.state
        if len(body) > const.MAX_KEPT_BODY_BYTES:
            # The reply is too long for the log: other entry VMs answer
            # repeats with "unknown".
            state, body = "unknown", b""
        settled = KeySettled(
            key,
            self._process,
            state,
            answer.status,
            answer.content_type,
            body.decode("latin-1"),
        )
        # The caller does not wait for this: the log may be unavailable.
        self._fold.publish_later(KINDS.encode(settled))

    def _evict_answers(self) -> None:
        while len(self._answers) > const.MAX_KEYS // 50:
            del self._answers[next(iter(self._answers))]

    async def _await_answer(self, entry: KeyEntry, timeout: float) -> KeyAnswer:
        settled = entry.settled
        if settled is not None:
            return KeyAnswer(
                settled.state,
                settled.status,
                settled.content_type,
                settled.body.encode("latin-1"),
            )
        key, process = entry.claimed.key, entry.claimed.process
        if process == self._process:
            return await self.answer(key, timeout)
        link = self._peers.link_to(process)
        if link is None:
            return KeyAnswer("unknown")
        try:
            reply = await link.ask(AskKey(key, timeout), timeout)
        except PeerUnreachableError:
            return KeyAnswer("unknown")
        return reply if isinstance(reply, KeyAnswer) else KeyAnswer("unknown")

    @staticmethod
    def _to_reply(answer: KeyAnswer) -> Result[HttpReply, Problem]:
        if answer.state == "done":
            headers = [
                (b"content-type", answer.content_type.encode()),
                (b"content-length", b"%d" % len(answer.body)),
                (b"idempotency-replayed", b"true"),
            ]
            return Ok(HttpReply(answer.status, headers, answer.body))
        if answer.state == "released":
            detail = "the first request with this key did not run"
            return Error(
                not_run(503, "not-run", detail, const.RETRY_AFTER_BUSY)
            )
        detail = "the outcome of the first request with this key is not known"
        return Error(unknown(504, "key-unknown", detail))


def _to_answer(result: Result[HttpReply, Problem]) -> KeyAnswer:
    if result.is_ok():
        reply = result.ok
        content_type = dict(reply.headers).get(b"content-type", b"")
        return KeyAnswer(
            "done", reply.status, content_type.decode("latin-1"), reply.body
        )
    if result.error.state is RequestRunState.NOT_RUN:
        return KeyAnswer("released")
    return KeyAnswer("unknown")
