"""Forwards callers' requests to targets with queueing, retries and hedging."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result
import trio

from pimentocross.config.schema import Configuration, ServiceConfig
from pimentocross.contracts.retry_budget import RetryBudget
from pimentocross.entry import const
from pimentocross.entry.hedging import Hedger
from pimentocross.entry.targets import TargetRegistry
from pimentocross.links.asgi import HttpReply, HttpRequest
from pimentocross.links.headers import SERVICE, TRACE
from pimentocross.links.target import TargetError, TargetLink
from pimentocross.observe.logs import trace_id
from pimentocross.observe.problems import Problem, not_run, unknown

_RETRIED_STATUSES = frozenset({502, 503, 504})
# A hedge is sent once a reply takes this many times the target's smoothed
# latency, but not before the minimum delay below.
_HEDGE_LATENCY_FACTOR = 4.0
_MIN_HEDGE_DELAY = 0.01
# A hedge is sent at the latest after this share of the remaining time.
_MAX_HEDGE_DELAY_SHARE = 0.3

ForwardResult = Result[HttpReply, Problem]


class Call(NamedTuple):
    """One request of a caller.

    Attributes:
        service: Name of the requested service.
        request: The request as the target gets it.
        deadline: When the caller stops waiting, on trio's clock.
    """

    service: str
    request: HttpRequest
    deadline: float


class Forwarder:
    """Forwards requests to targets.

    Attributes:
        retries: Attempts after a failed one.
        hedges: Requests sent to a second target because the reply was late.
        refused: Requests refused, by reason.
    """

    def __init__(
        self,
        target_registry: TargetRegistry,
        get_config: Callable[[], Configuration | None],
    ) -> None:
        """Initializes the forwarder.

        Args:
            target_registry: The known targets of each service.
            get_config: Returns the configuration in force, None before the
                first one was read.
        """
        self.retries = 0
        self.hedges = 0
        self.refused: dict[str, int] = {}
        self._target_registry = target_registry
        self._get_config = get_config
        self._budgets: dict[str, RetryBudget] = {}
        self._queued: dict[str, int] = {}
        self._hedger: Hedger[Result[HttpReply, TargetError]] = Hedger()

    async def run(self) -> None:
        """Sends hedges until cancelled."""
        await self._hedger.run()

    async def forward(self, call: Call) -> ForwardResult:
        """Returns the target's complete reply, or why there is none."""
        config = self._get_config()
        service = config.services.get(call.service) if config else None
        if config is None or service is None:
            detail = f"no service {call.service!r} is configured"
            return self._refuse(not_run(404, "no-such-service", detail))
        budget = self._budget(call.service, config.limits.retry_share)
        budget.note_request()
        tried: set[str] = set()
        while True:
            link = await self._wait_target(call, config, tried)
            if isinstance(link, Problem):
                return self._refuse(link)
            tried.add(link.address)
            result = await self._attempt(call, service, link, budget, tried)
            if not self._should_retry(call, service, result, budget, tried):
                return self._to_answer(result)
            self.retries += 1

    def _budget(self, service: str, share: float) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(share)
        return self._budgets[service]

    def _refuse(self, problem: Problem) -> ForwardResult:
        self.refused[problem.reason] = self.refused.get(problem.reason, 0) + 1
        return Error(problem)

    def _to_answer(
        self, result: Result[HttpReply, TargetError]
    ) -> ForwardResult:
        if result.is_ok():
            return Ok(result.ok)
        error = result.error
        if error.sent:
            problem = unknown(504, "no-answer", f"the target: {error}")
            return self._refuse(problem)
        detail = f"no target could be reached: {error}"
        return self._refuse(
            not_run(503, "no-target", detail, const.RETRY_AFTER_BUSY)
        )

    async def _wait_target(
        self, call: Call, config: Configuration, tried: set[str]
    ) -> TargetLink | Problem:
        """Waits in the service's bounded queue until a target has capacity."""
        link = self._choose_target(call, tried)
        if link is not None:
            return link
        if not self._target_registry.is_known(call.service):
            detail = f"no target runs {call.service!r} now"
            return not_run(503, "no-target", detail, const.RETRY_AFTER_BUSY)
        queued = self._queued.get(call.service, 0)
        if queued >= config.limits.queue:
            detail = f"{queued} requests wait already"
            return not_run(503, "queue-full", detail, const.RETRY_AFTER_BUSY)
        self._queued[call.service] = queued + 1
        try:
            return await self._queue_for_target(call, tried)
        finally:
            self._queued[call.service] -= 1

    async def _queue_for_target(
        self, call: Call, tried: set[str]
    ) -> TargetLink | Problem:
        with trio.move_on_at(call.deadline):
            while True:
                await self._target_registry.wait_for_capacity()
                link = self._choose_target(call, tried)
                if link is not None:
                    return link
        detail = "no target had room before the deadline"
        return not_run(503, "deadline", detail, const.RETRY_AFTER_BUSY)

    def _choose_target(self, call: Call, tried: set[str]) -> TargetLink | None:
        link = self._target_registry.choose(call.service, tried)
        if link is None and self._target_registry.all_tried(
            call.service, tried
        ):
            return self._target_registry.choose(call.service)
        return link

    async def _attempt(
        self,
        call: Call,
        service: ServiceConfig,
        link: TargetLink,
        budget: RetryBudget,
        tried: set[str],
    ) -> Result[HttpReply, TargetError]:
        if not service.hedge or not is_idempotent(call, service):
            return await self._send(call, link)
        delay = _hedge_delay(link, call.deadline - trio.current_time())
        return await self._send_hedged(call, link, delay, budget, tried)

    async def _send(
        self, call: Call, link: TargetLink
    ) -> Result[HttpReply, TargetError]:
        extra = [(SERVICE, call.service.encode())]
        trace = trace_id()
        if trace:
            extra.append((TRACE, trace.encode()))
        remaining = max(call.deadline - trio.current_time(), 0.001)
        try:
            return Ok(await link.send(call.request, extra, remaining))
        except TargetError as error:
            return Error(error)
        finally:
            self._target_registry.notify_capacity()

    async def _send_hedged(
        self,
        call: Call,
        link: TargetLink,
        delay: float,
        budget: RetryBudget,
        tried: set[str],
    ) -> Result[HttpReply, TargetError]:
        """Sends to a second target if the reply is late; the first one wins."""

        async def send_hedge() -> Result[HttpReply, TargetError] | None:
            other = self._target_registry.choose(call.service, tried)
            if other is None or not budget.try_spend():
                return None
            self.hedges += 1
            tried.add(other.address)
            result = await self._send(call, other)
            if result.is_ok():
                link.note_timeout()
            return result

        return await self._hedger.send(
            lambda: self._send(call, link),
            send_hedge,
            delay,
            lambda result: result.is_ok(),
        )

    def _should_retry(
        self,
        call: Call,
        service: ServiceConfig,
        result: Result[HttpReply, TargetError],
        budget: RetryBudget,
        tried: set[str],
    ) -> bool:
        if trio.current_time() >= call.deadline:
            return False
        idempotent = is_idempotent(call, service)
        if result.is_error():
            if result.error.sent and not idempotent:
                return False
            return budget.try_spend()
        if not idempotent or result.ok.status not in _RETRIED_STATUSES:
            return False
        if self._target_registry.all_tried(call.service, tried):
            return False
        return budget.try_spend()


def _hedge_delay(link: TargetLink, remaining: float) -> float:
    """Returns the delay before the hedge is sent, in seconds."""
    latency = link.limit.smoothed_latency
    max_delay = remaining * _MAX_HEDGE_DELAY_SHARE
    # A target that has never replied has no smoothed latency yet.
    return (
        min(max(latency * _HEDGE_LATENCY_FACTOR, _MIN_HEDGE_DELAY), max_delay)
        if latency
        else max_delay
    )


def is_idempotent(call: Call, service: ServiceConfig) -> bool:
    """Returns True if the request may be sent more than once."""
    return call.request.method in service.idempotent_methods
