"""Places tasks by what they cost under the deployment's objective."""

from collections.abc import Sequence

from pimentocross.config.schema import Configuration, ObjectiveConfig
from pimentocross.placement.interference import Interference, load_band
from pimentocross.placement.policy import (
    Candidate,
    Choice,
    Wanted,
    explain_no_fit,
    fullness_with,
)
from pimentocross.platform.workers import TaskKind

# Breaks ties towards emptier workers; far below any slowdown that counts.
_FULLNESS_WEIGHT = 0.02
# A second replica of a service on the same VM falls with the first.
_SPREAD_PENALTY = 10.0


class WeightedPolicy:
    """Takes the worker where a task does the least harm and suffers least.

    Harm to services weighs as the objective weighs tail latency; harm to and
    of batch tasks as it weighs batch throughput.
    """

    def __init__(
        self,
        interference: Interference,
        objective: ObjectiveConfig,
        services: set[str],
    ) -> None:
        """Takes the estimates, the weights, and which classes are services."""
        self._interference = interference
        self._objective = objective
        self._services = services

    def choose(self, wanted: Wanted, workers: Sequence[Candidate]) -> Choice:
        """Returns the worker; see `PlacementPolicy`."""
        fitting = [w for w in workers if wanted.size.fits_in(w.free)]
        if not fitting:
            return Choice("", explain_no_fit(wanted, workers))
        cost, name = min((self.cost(wanted, w), w.name) for w in fitting)
        reason = f"cost {cost:.3f}, least of {len(fitting)} workers"
        return Choice(name, reason)

    def cost(self, wanted: Wanted, worker: Candidate) -> float:
        """Returns what placing a task on a worker is expected to cost."""
        used = worker.capacity.processors - worker.free.processors
        after = used + wanted.size.processors
        band = load_band(after, worker.capacity.processors)
        cost = _FULLNESS_WEIGHT * fullness_with(wanted.size, worker)
        for name, count in worker.classes.items():
            if count <= 0:
                continue
            harm = self._interference.added(name, wanted.class_name, band)
            cost += self._weight(name) * count * harm
            suffered = self._interference.added(wanted.class_name, name, band)
            cost += self._weight(wanted.class_name) * count * suffered
        if wanted.kind is TaskKind.SERVICE:
            same = worker.classes.get(wanted.class_name, 0)
            cost += _SPREAD_PENALTY * same
        return cost

    def _weight(self, class_name: str) -> float:
        if class_name in self._services:
            return self._objective.tail_latency
        return self._objective.batch_throughput


def make_weighted_policy(
    interference: Interference, config: Configuration
) -> WeightedPolicy:
    """Returns the policy that a configuration asks for."""
    services = set(config.services)
    return WeightedPolicy(interference, config.objective, services)
