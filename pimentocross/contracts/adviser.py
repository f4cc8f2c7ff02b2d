"""What an owner needs of the service that knows who may run a step."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol


class StepName(NamedTuple):
    """Names one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class Advice(NamedTuple):
    """Tickets of the workers that may run a step.

    Attributes:
        tickets: By id of the worker's life.
        validity: Seconds for which they hold.
    """

    tickets: Mapping[str, str]
    validity: float


class AdviserUnavailableError(Exception):
    """The adviser did not answer, or has too much to do."""


class Adviser(Protocol):
    """Knows which workers may run a step; takes one call at a time."""

    async def advise(
        self, step: StepName, workers: Sequence[str], timeout: float
    ) -> Advice:
        """Returns tickets for those of the workers that may run a step.

        Raises:
            AdviserUnavailableError: No answer.
        """
        ...
