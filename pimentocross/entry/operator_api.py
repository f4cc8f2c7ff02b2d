"""The HTTP API for operators, protected by a bearer token."""

from collections.abc import Callable
import hmac
from typing import Any, NamedTuple

import msgspec
import trio

from pimentocross.config.load import load_configuration
from pimentocross.config.state import KINDS, ConfigChanged, ConfigState
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.outbox import Outcome
from pimentocross.decoding import json_decoder
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
    DrainWorker,
    DrainWorkerReply,
    EntryLink,
    HistogramsAnswer,
    JobsAnswer,
    PeerMessage,
    StatusAnswer,
    VmsAnswer,
    WaitConfig,
    WhyAnswer,
)
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.observe.histograms import Histograms
from pimentocross.observe.problems import not_run, unknown

_PEER_TIMEOUT = 3.0
_DEFAULT_JOB_LIMIT = 100
_decode_fields = json_decoder(dict[str, Any])


class ApplyRequest(NamedTuple):
    """The body of a configuration change; see `ConfigChanged`."""

    base: int
    files: dict[str, str]
    removed: list[str]


class OperatorApi:
    """The ASGI application that operators use.

    Most replies combine the reports of all live entry VMs.
    """

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
        """Initializes the API.

        Args:
            token: The token that each request has to carry.
            config: The configuration stream's fold.
            peers: Links to the other entry VMs.
            reports: Reports of this entry VM.
            begin_drain: Requests the graceful stop of this process.
            control_bytes: Returns the bytes exchanged with peers and the
                platform.
            leave_worker: Drains a worker of a cell owned here; returns False
                if there is none of that name.
        """
        self._expected = f"Bearer {token}".encode()
        self._config = config
        self._peers = peers
        self._reports = reports
        self._begin_drain = begin_drain
        self._control_bytes = control_bytes
        self._leave_worker = leave_worker

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one request; this is the ASGI entry point."""
        try:
            request = await read_request(
                scope,
                receive,
                max_body_bytes=const.MAX_OPERATOR_BODY_BYTES,
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
        authorization = request.header(b"authorization").encode("latin-1")
        if not hmac.compare_digest(authorization, self._expected):
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
                return await self._explain(request.query_value("subject"))
            case "GET", "/histograms":
                return await self._histogram_summaries()
            case "POST", "/drain":
                return await self._drain(request.query_value("vm"))
        return not_run(404, "no-such-path", request.path).reply()

    async def _apply(self, body: bytes) -> HttpReply:
        try:
            fields = _decode_fields(body)
            names = ApplyRequest._fields
            change = msgspec.convert([fields[n] for n in names], ApplyRequest)
        except (msgspec.MsgspecError, KeyError) as error:
            return not_run(400, "bad-change", f"not a change: {error}").reply()
        findings = self._validate(change)
        if findings:
            reply = {"state": "not run", "findings": findings}
            return json_reply(reply, 422)
        record = KINDS.encode(ConfigChanged(*change))
        began = trio.current_time()
        verdict = await self._config.publish(
            record, timeout=const.CONFIG_TIMEOUT, fail_fast=True
        )
        if verdict.outcome is Outcome.REJECTED:
            return not_run(409, "conflict", verdict.reason).reply()
        if verdict.outcome is Outcome.NOT_SENT:
            return not_run(
                503, "log-away", verdict.reason, const.RETRY_AFTER_LOG_FAILURE
            ).reply()
        if verdict.outcome is Outcome.UNKNOWN:
            return unknown(504, "not-confirmed", verdict.reason).reply()
        version = verdict.offset + 1
        late = await self._wait_in_force(version)
        took = trio.current_time() - began
        return json_reply(
            {
                "version": version,
                "seconds": took,
                "entry_vms": len(self._peers.live()) + 1,
                "late": late,
            }
        )

    def _validate(self, change: ApplyRequest) -> list[str]:
        files = {**self._config.state.files, **change.files}
        for name in change.removed:
            files.pop(name, None)
        loaded = load_configuration(files)
        return [] if loaded.is_ok() else [str(f) for f in loaded.error]

    async def _wait_in_force(self, version: int) -> list[str]:
        """Waits until a version is in force on all live entry VMs.

        Returns:
            Names of the VMs that did not confirm it in time.
        """
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

    async def _ask_live_peers(self, message: PeerMessage) -> list[PeerMessage]:
        """Sends a request to all live peers; returns the replies received."""
        answers: list[PeerMessage] = []

        async def ask(link: EntryLink) -> None:
            try:
                answers.append(await link.ask(message, _PEER_TIMEOUT))
            except PeerUnreachableError:
                return

        async with trio.open_nursery() as nursery:
            for link in self._peers.live():
                nursery.start_soon(ask, link)
        return answers

    async def _status(self) -> HttpReply:
        answers = await self._ask_live_peers(AskStatus())
        found = [self._reports.status()]
        found += [a for a in answers if isinstance(a, StatusAnswer)]
        found.sort()
        body = [
            {**s._asdict(), "cells": [c._asdict() for c in s.cells]}
            for s in found
        ]
        return json_reply(body)

    async def _vms(self) -> HttpReply:
        answers = await self._ask_live_peers(AskVms())
        found = self._reports.vms()
        for answer in answers:
            if isinstance(answer, VmsAnswer):
                found.extend(answer.workers)
        return json_reply([w._asdict() for w in sorted(found)])

    async def _jobs(self, request: HttpRequest) -> HttpReply:
        text = request.query_value("most", str(_DEFAULT_JOB_LIMIT))
        limit = int(text) if text.isdigit() else _DEFAULT_JOB_LIMIT
        answers = await self._ask_live_peers(AskJobs(limit))
        found = self._reports.jobs(limit)
        for answer in answers:
            if isinstance(answer, JobsAnswer):
                found.extend(answer.jobs)
        return json_reply([job._asdict() for job in found])

    async def _explain(self, subject: str) -> HttpReply:
        answers = await self._ask_live_peers(AskWhy(subject))
        reasons = self._reports.explain(subject)
        for answer in answers:
            if isinstance(answer, WhyAnswer):
                reasons.extend(answer.reasons)
        return json_reply({"subject": subject, "reasons": reasons})

    async def _histogram_summaries(self) -> HttpReply:
        merged = Histograms()
        merged.add_encoded(self._reports.histograms())
        for answer in await self._ask_live_peers(AskHistograms()):
            if isinstance(answer, HistogramsAnswer):
                merged.add_encoded(answer.histograms)
        return json_reply([s._asdict() for s in merged.summaries()])

    async def _drain(self, name: str) -> HttpReply:
        if name == self._peers.local_identity.name:
            self._begin_drain()
            return json_reply({"vm": name, "state": "leaving"})
        known = self._leave_worker(name)
        for answer in await self._ask_live_peers(DrainWorker(name)):
            known |= isinstance(answer, DrainWorkerReply) and answer.known
        if not known:
            detail = f"no live worker {name!r}; ask an entry VM itself to leave"
            return not_run(404, "no-such-vm", detail).reply()
        return json_reply({"vm": name, "state": "leaving"})
