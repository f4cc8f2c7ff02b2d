"""Links to targets: connections kept, answers in whole, limits learned."""

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
    """A target did not answer.

    Attributes:
        sent: True if any byte of the request may have reached it.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Notes the reason and whether the request may have arrived."""
        super().__init__(reason)
        self.sent = sent


class TargetLink:
    """Connections from this entry VM to one target.

    Attributes:
        in_flight: Requests that wait for its answer.
        elsewhere: Requests that other entry VMs have there, as last told.
        silences: Connections that were closed since no answer came.
    """

    def __init__(self, address: str, concurrency: int) -> None:
        """Takes host:port and the requests that it runs at once."""
        self.in_flight = 0
        self.elsewhere = 0
        self.silences = 0
        self._address = address
        self._concurrency = concurrency
        self._limit = AdaptiveLimit(concurrency)
        self._idle: list[TargetConnection] = []
        self._suspect: list[TargetConnection] = []
        self._failures = 0
        self._ejected_until = 0.0

    @property
    def address(self) -> str:
        """host:port."""
        return self._address

    @property
    def limit(self) -> AdaptiveLimit:
        """How many requests it may have in flight."""
        return self._limit

    @property
    def ejected(self) -> bool:
        """True while it gets nothing since its answers failed."""
        return trio.current_time() < self._ejected_until

    @property
    def load(self) -> float:
        """Requests in flight, from everywhere, over what it runs at once."""
        return (self.in_flight + self.elsewhere) / max(self._concurrency, 1)

    @property
    def has_room(self) -> bool:
        """True if another request may be sent now."""
        return self.in_flight + self.elsewhere < self._limit.limit

    def set_concurrency(self, concurrency: int) -> None:
        """Takes a changed number of requests that it runs at once."""
        if concurrency != self._concurrency:
            self._concurrency = concurrency
            self._limit = AdaptiveLimit(concurrency)

    async def send(
        self, request: HttpRequest, extra: Headers, timeout: float
    ) -> HttpReply:
        """Sends a request and returns the whole answer.

        Raises:
            TargetError: No answer, or only a part of one.
        """
        began = trio.current_time()
        connected = False
        self.in_flight += 1
        try:
            with trio.fail_after(timeout):
                connection = await self._connection()
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
            self.note_silence()
            raise TargetError("no answer in time", sent=connected) from error
        except TargetConnectionError as error:
            self.note_failure()
            raise TargetError(str(error), sent=True) from error
        finally:
            self.in_flight -= 1
        await self._keep(connection)
        self._failures = 0
        self._limit.note_answer(trio.current_time() - began)
        return reply

    def note_silence(self) -> None:
        """Counts an answer that was late; kept connections are suspect.

        What lies between may have lost track of them all, while a fresh one
        works, so the next request is sent on a fresh one.
        """
        self.silences += 1
        self._suspect, self._idle = [*self._suspect, *self._idle], []
        self.note_failure()

    def note_failure(self) -> None:
        """Counts a failure; after several in a row it is ejected."""
        self._failures += 1
        self._limit.note_failure()
        if self._failures >= EJECT_AFTER_FAILURES:
            # Once back, a single failure ejects it again.
            self._failures = EJECT_AFTER_FAILURES - 1
            self._ejected_until = trio.current_time() + EJECT_DURATION

    async def aclose(self) -> None:
        """Closes the kept connections."""
        await self._close_suspect()
        while self._idle:
            await self._idle.pop().aclose()

    async def _close_suspect(self) -> None:
        while self._suspect:
            await self._suspect.pop().aclose()

    async def _connection(self) -> TargetConnection:
        if self._suspect:
            await self._close_suspect()
        while self._idle:
            kept = self._idle.pop()
            if kept.reusable and not kept.is_stale():
                return kept
            await kept.aclose()
        try:
            return await connect_target(self._address)
        except (OSError, trio.TooSlowError) as error:
            raise TargetError("no connection", sent=False) from error

    async def _keep(self, connection: TargetConnection) -> None:
        if connection.reusable and len(self._idle) < const.TARGET_IDLE_KEPT:
            self._idle.append(connection)
        else:
            await connection.aclose()
