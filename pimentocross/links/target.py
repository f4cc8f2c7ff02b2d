"""Sends requests to targets over pooled connections, within limits."""

import trio

from pimentocross.contracts.limit import AdaptiveLimit
from pimentocross.entry.const import EJECT_AFTER_FAILURES, EJECT_DURATION
from pimentocross.links import const
from pimentocross.links.asgi import Headers, HttpReply, HttpRequest
from pimentocross.links.target_connection import (
    TargetConnection,
    TargetConnectionError,
    connect_target,
)


class TargetError(Exception):
    """A target gave no complete answer.

    Attributes:
        sent: True if any byte of the request may have reached the target.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Initializes the error; `sent` is False if no request was sent."""
        super().__init__(reason)
        self.sent = sent


class TargetLink:
    """Connection pool, concurrency limit and health of one target.

    Attributes:
        in_flight: Requests from this entry VM that wait for an answer.
        other_in_flight: Requests that other entry VMs have at the target, as
            last reported.
        timeout_count: Requests that got no answer in time.
    """

    def __init__(self, address: str, concurrency: int) -> None:
        """Initializes the link to host:port.

        Args:
            address: The target, as host:port.
            concurrency: Requests that the target processes at once.
        """
        self.in_flight = 0
        self.other_in_flight = 0
        self.timeout_count = 0
        self._address = address
        self._concurrency = concurrency
        self._limit = AdaptiveLimit(concurrency)
        self._idle: list[TargetConnection] = []
        self._suspect: list[TargetConnection] = []
        self._failures = 0
        self._ejected_until = 0.0

    @property
    def address(self) -> str:
        """The target's address, as host:port."""
        return self._address

    @property
    def limit(self) -> AdaptiveLimit:
        """The adaptive limit of requests in flight at the target."""
        return self._limit

    @property
    def ejected(self) -> bool:
        """True while no requests are sent because of repeated failures."""
        return trio.current_time() < self._ejected_until

    @property
    def load(self) -> float:
        """Requests in flight from all entry VMs, divided by the concurrency."""
        return (self.in_flight + self.other_in_flight) / max(
            self._concurrency, 1
        )

    @property
    def has_capacity(self) -> bool:
        """True if the limit admits another request."""
        return self.in_flight + self.other_in_flight < self._limit.limit

    def set_concurrency(self, concurrency: int) -> None:
        """Sets the concurrency; a change resets the adaptive limit."""
        if concurrency != self._concurrency:
            self._concurrency = concurrency
            self._limit = AdaptiveLimit(concurrency)

    async def send(
        self, request: HttpRequest, extra: Headers, timeout: float
    ) -> HttpReply:
        """Sends a request and returns the complete answer.

        Raises:
            TargetError: There was no complete answer within `timeout`.
        """
        began = trio.current_time()
        connected = False
        self.in_flight += 1
        try:
            with trio.fail_after(timeout):
                connection = await self._acquire()
                connected = True
                try:
                    reply = await connection.exchange(request, extra)
                except BaseException:
                    with trio.CancelScope(shield=True):
                        await connection.aclose()
                    raise
        except TargetError:
            self.note_failure()
            raise
        except trio.TooSlowError as error:
            self.note_timeout()
            raise TargetError("no answer in time", sent=connected) from error
        except TargetConnectionError as error:
            self.note_failure()
            raise TargetError(str(error), sent=True) from error
        finally:
            self.in_flight -= 1
        await self._release(connection)
        self._failures = 0
        self._limit.note_answer(trio.current_time() - began)
        return reply

    def note_timeout(self) -> None:
        """Records a timeout and takes all idle connections out of use.

        The network between may have lost the state of all of them while a new
        connection works, so the next request opens a new one.
        """
        self.timeout_count += 1
        self._suspect, self._idle = [*self._suspect, *self._idle], []
        self.note_failure()

    def note_failure(self) -> None:
        """Records a failure; several in a row eject the target."""
        self._failures += 1
        self._limit.note_failure()
        if self._failures >= EJECT_AFTER_FAILURES:
            # After its return, a single failure ejects the target again.
            self._failures = EJECT_AFTER_FAILURES - 1
            self._ejected_until = trio.current_time() + EJECT_DURATION

    async def aclose(self) -> None:
        """Closes the idle connections."""
        await self._close_suspect()
        while self._idle:
            await self._idle.pop().aclose()

    async def _close_suspect(self) -> None:
        while self._suspect:
            await self._suspect.pop().aclose()

    async def _acquire(self) -> TargetConnection:
        if self._suspect:
            await self._close_suspect()
        while self._idle:
            idle = self._idle.pop()
            if idle.reusable and not idle.is_stale():
                return idle
            await idle.aclose()
        try:
            return await connect_target(self._address)
        except (OSError, trio.TooSlowError) as error:
            raise TargetError("no connection", sent=False) from error

    async def _release(self, connection: TargetConnection) -> None:
        if (
            connection.reusable
            and len(self._idle) < const.MAX_IDLE_TARGET_CONNECTIONS
        ):
            self._idle.append(connection)
        else:
            await connection.aclose()
