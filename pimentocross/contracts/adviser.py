"""Interface to the service that decides which workers may run a step."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol


class StepName(NamedTuple):
    """Identifies one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class Advice(NamedTuple):
    """Tickets for the workers that may run a step.

    Attributes:
        tickets: Tickets by the id of the worker life.
        validity: Seconds for which the tickets are valid.
    """

    tickets: Mapping[str, str]
    validity: float


class AdviserUnavailableError(Exception):
    """The adviser did not answer, or is overloaded."""


class Adviser(Protocol):
    """Decides which workers may run a step; serves one call at a time."""

    async def advise(
        self, step: StepName, workers: Sequence[str], timeout: float
    ) -> Advice:
        """Returns tickets for those of the workers that may run a step.

        Raises:
            AdviserUnavailableError: The adviser gave no answer.
        """
        ...
