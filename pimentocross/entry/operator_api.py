"""What operators ask of an entry VM, over HTTP with a token."""

from collections.abc import Callable
import hmac
from typing import Any, NamedTuple

import msgspec
import trio

from pimentocross.config.load import load_configuration
from pimentocross.config.state import KINDS, ConfigChanged, ConfigState
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.outbox import Outcome
from pimentocross.entry import const
from pimentocross.entry.membership import Peers
from pimentocross.entry.reports import Reports
from pimentocross.links.asgi import (
    CallerGoneError,
    HttpReply,
    HttpRequest,
    Receive,
    RequestTooLargeError,
    RequestTooSlowError,
    Scope,
    Send,
    json_reply,
    read_request,
    send_reply,
)
from pimentocross.links.messages import (
    AskHistograms,
    AskJobs,
    AskStatus,
    AskVms,
    AskWhy,
    ConfigInForce,
    EntryLink,
    HistogramsAnswer,
    JobsAnswer,
    LeaveWorker,
    Left,
    PeerMessage,
    StatusAnswer,
    VmsAnswer,
    WaitConfig,
    WhyAnswer,
)
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.observe.histograms import Histograms
from pimentocross.observe.problems import not_run, unknown

_ASK_TIMEOUT = 3.0
_JOBS_DEFAULT = 100


class ApplyRequest(NamedTuple):
    """A change of configuration; see `ConfigChanged`."""

    base: int
    files: dict[str, str]
    removed: list[str]


class OperatorApi:
    """The listener for operators."""

    def __init__(
        self,
        token: str,
        config: StreamFold[ConfigState],
        peers: Peers,
        reports: Reports,
        begin_drain: Callable[[], None],
        control_bytes: Callable[[], int],
        leave_worker: Callable[[str], bool],
    ) -> None:
        """Takes the token that operators have to show."""
        self._expected = f"Bearer {token}".encode()
        self._config = config
        self._peers = peers
        self._reports = reports
        self._begin_drain = begin_drain
        self._control_bytes = control_bytes
        self._leave_worker = leave_worker

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answers one request: the ASGI entry point."""
        try:
            request = await read_request(
                scope,
                receive,
                body_most=const.OPERATOR_BODY_MOST,
                timeout=const.REQUEST_BODY_TIMEOUT,
            )
        except RequestTooLargeError:
            reply = not_run(
                413, "body-too-long", "the body is too long"
            ).reply()
        except RequestTooSlowError:
            reply = not_run(408, "body-too-slow", "the body is late").reply()
        except CallerGoneError:
            return
        else:
            reply = await self._answer(request)
        await send_reply(send, reply)

    async def _answer(self, request: HttpRequest) -> HttpReply:
        given = request.header(b"authorization").encode("latin-1")
        if not hmac.compare_digest(given, self._expected):
            detail = "the operator's token is missing or wrong"
            return not_run(401, "no-token", detail).reply()
        match request.method, request.path:
            case "GET", "/config":
                state = self._config.state
                return json_reply(
                    {"version": state.version, "files": state.files}
                )
            case "POST", "/config":
                return await self._apply(request.body)
            case "GET", "/status":
                return await self._status()
            case "GET", "/counters":
                return json_reply({"control_bytes": self._control_bytes()})
            case "GET", "/vms":
                return await self._vms()
            case "GET", "/jobs":
                return await self._jobs(request)
            case "GET", "/why":
                return await self._why(request.query_value("subject"))
            case "GET", "/histograms":
                return await self._summaries()
            case "POST", "/drain":
                return await self._drain(request.query_value("vm"))
        return not_run(404, "no-such-path", request.path).reply()

    async def _apply(self, body: bytes) -> HttpReply:
        try:
            fields = msgspec.json.decode(body, type=dict[str, Any])
            names = ApplyRequest._fields
            wanted = msgspec.convert([fields[n] for n in names], ApplyRequest)
        except (msgspec.MsgspecError, KeyError) as error:
            return not_run(400, "bad-change", f"not a change: {error}").reply()
        findings = self._find(wanted)
        if findings:
            reply = {"state": "not run", "findings": findings}
            return json_reply(reply, 422)
        record = KINDS.encode(ConfigChanged(*wanted))
        began = trio.current_time()
        verdict = await self._config.publish(
            record, timeout=const.CONFIG_TIMEOUT, fail_fast=True
        )
        if verdict.outcome is Outcome.REJECTED:
            return not_run(409, "conflict", verdict.reason).reply()
        if verdict.outcome is Outcome.NOT_SENT:
            return not_run(
                503, "log-away", verdict.reason, const.RETRY_AFTER_LOG
            ).reply()
        if verdict.outcome is Outcome.UNKNOWN:
            return unknown(504, "not-confirmed", verdict.reason).reply()
        version = verdict.offset + 1
        late = await self._wait_everywhere(version)
        took = trio.current_time() - began
        return json_reply(
            {
                "version": version,
                "seconds": took,
                "entry_vms": len(self._peers.live()) + 1,
                "late": late,
            }
        )

    def _find(self, wanted: ApplyRequest) -> list[str]:
        files = {**self._config.state.files, **wanted.files}
        for name in wanted.removed:
            files.pop(name, None)
        loaded = load_configuration(files)
        return [] if loaded.is_ok() else [str(f) for f in loaded.error]

    async def _wait_everywhere(self, version: int) -> list[str]:
        """Waits for all live entry VMs; returns those that are late."""
        late: list[str] = []

        async def wait(link: EntryLink) -> None:
            try:
                message = WaitConfig(version, const.CONFIG_TIMEOUT)
                reply = await link.ask(message, const.CONFIG_TIMEOUT)
            except PeerUnreachableError:
                reply = None
            in_force = isinstance(reply, ConfigInForce)
            if not in_force or reply.version < version:  # type: ignore[union-attr]
                late.append(link.identity.name if link.identity else "")

        async with trio.open_nursery() as nursery:
            for link in self._peers.live():
                nursery.start_soon(wait, link)
        return sorted(late)

    async def _ask_all(self, message: PeerMessage) -> list[PeerMessage]:
        """Asks all live peers; those that do not answer are left out."""
        answers: list[PeerMessage] = []

        async def ask(link: EntryLink) -> None:
            try:
                answers.append(await link.ask(message, _ASK_TIMEOUT))
            except PeerUnreachableError:
                return

        async with trio.open_nursery() as nursery:
            for link in self._peers.live():
                nursery.start_soon(ask, link)
        return answers

    async def _status(self) -> HttpReply:
        answers = await self._ask_all(AskStatus())
        found = [self._reports.status()]
        found += [a for a in answers if isinstance(a, StatusAnswer)]
        found.sort()
        body = [
            {**s._asdict(), "cells": [c._asdict() for c in s.cells]}
            for s in found
        ]
        return json_reply(body)

    async def _vms(self) -> HttpReply:
        answers = await self._ask_all(AskVms())
        found = self._reports.vms()
        for answer in answers:
            if isinstance(answer, VmsAnswer):
                found.extend(answer.workers)
        return json_reply([w._asdict() for w in sorted(found)])

    async def _jobs(self, request: HttpRequest) -> HttpReply:
        text = request.query_value("most", str(_JOBS_DEFAULT))
        most = int(text) if text.isdigit() else _JOBS_DEFAULT
        answers = await self._ask_all(AskJobs(most))
        found = self._reports.jobs(most)
        for answer in answers:
            if isinstance(answer, JobsAnswer):
                found.extend(answer.jobs)
        return json_reply([job._asdict() for job in found])

    async def _why(self, subject: str) -> HttpReply:
        answers = await self._ask_all(AskWhy(subject))
        reasons = self._reports.why(subject)
        for answer in answers:
            if isinstance(answer, WhyAnswer):
                reasons.extend(answer.reasons)
        return json_reply({"subject": subject, "reasons": reasons})

    async def _summaries(self) -> HttpReply:
        merged = Histograms()
        merged.add_encoded(self._reports.histograms())
        for answer in await self._ask_all(AskHistograms()):
            if isinstance(answer, HistogramsAnswer):
                merged.add_encoded(answer.histograms)
        return json_reply([s._asdict() for s in merged.summaries()])

    async def _drain(self, name: str) -> HttpReply:
        if name == self._peers.mine.name:
            self._begin_drain()
            return json_reply({"vm": name, "state": "leaving"})
        known = self._leave_worker(name)
        for answer in await self._ask_all(LeaveWorker(name)):
            known |= isinstance(answer, Left) and answer.known
        if not known:
            detail = f"no live worker {name!r}; ask an entry VM itself to leave"
            return not_run(404, "no-such-vm", detail).reply()
        return json_reply({"vm": name, "state": "leaving"})
