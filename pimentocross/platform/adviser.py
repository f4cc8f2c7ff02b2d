"""Client of the platform's adviser, which says which workers may run a step."""

from collections.abc import Sequence

import msgspec

from pimentocross.contracts.adviser import (
    Advice,
    AdviserUnavailableError,
    StepName,
)
from pimentocross.decoding import FiniteNumber, json_decoder
from pimentocross.links.http_pool import HttpCallError, HttpPool

_OK = 200


class _Reply(msgspec.Struct):
    # Pairs of a worker's id and its ticket.
    good: list[tuple[str, str]] = []
    validity_ms: FiniteNumber = 0


_decode = json_decoder(_Reply)


class HttpAdviser:
    """Calls the adviser over HTTP; see `Adviser`."""

    def __init__(self, address: str) -> None:
        """Initializes the client with the adviser's host:port."""
        self._pool = HttpPool(address)

    async def advise(
        self, step: StepName, workers: Sequence[str], timeout: float
    ) -> Advice:
        """Returns tickets of the workers that may run a step; see `Adviser`."""
        body = msgspec.json.encode(
            {
                "step": f"{step.job}.{step.occurrence}.{step.step}",
                "workers": list(workers),
            }
        )
        try:
            reply = await self._pool.call(
                "POST", "/pimentocross/advise", body, timeout
            )
            if reply.status != _OK:
                raise AdviserUnavailableError(f"status {reply.status}")
            decoded = _decode(reply.body)
        except (HttpCallError, msgspec.DecodeError) as error:
            raise AdviserUnavailableError(str(error)) from error
        return Advice(dict(decoded.good), decoded.validity_ms / 1000)
