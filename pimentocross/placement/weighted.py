"""Places tasks by their expected cost under the deployment's objective."""

from collections.abc import Mapping, Sequence
import math

from pimentocross.backing.workers import TaskKind
from pimentocross.config.schema import Configuration, ObjectiveConfig
from pimentocross.placement.interference import Interference, load_band
from pimentocross.placement.policy import (
    Candidate,
    Choice,
    PlacementRequest,
    explain_no_fit,
    fullness_with,
)

# Breaks ties in favour of emptier workers; far below any relevant slowdown.
_FULLNESS_WEIGHT = 0.02
# Replicas of a service on one VM have fewer batch tasks as neighbours, which is
# a gain for each of them. Above this share of all replicas a penalty applies,
# as the VM's failure would take too many of them down.
_COLOCATION_GAIN = 0.05
_MAX_COLOCATED_SHARE = 0.34
_COLOCATION_PENALTY = 10.0


class WeightedPolicy:
    """Chooses the worker with the least slowdown of a task and its neighbours.

    Slowdown of services is weighted by the objective's weight of tail latency,
    slowdown of batch tasks by its weight of batch throughput.
    """

    def __init__(
        self,
        interference: Interference,
        objective: ObjectiveConfig,
        replicas: Mapping[str, int],
    ) -> None:
        """Initializes the policy.

        Args:
            interference: Estimated slowdowns by pair of classes.
            objective: Weights of the deployment's objective.
            replicas: Number of replicas by service.
        """
        self._interference = interference
        self._objective = objective
        self._replicas = replicas

    def choose(
        self, request: PlacementRequest, workers: Sequence[Candidate]
    ) -> Choice:
        """Returns the chosen worker; see `PlacementPolicy`."""
        fitting = [w for w in workers if request.size.fits_in(w.free)]
        if not fitting:
            return Choice("", explain_no_fit(request, workers))
        cost, name = min((self.cost(request, w), w.name) for w in fitting)
        reason = f"cost {cost:.3f}, least of {len(fitting)} workers"
        return Choice(name, reason)

    def cost(self, request: PlacementRequest, worker: Candidate) -> float:
        """Returns the expected cost of placing a task on a worker."""
        used = worker.capacity.processors - worker.free.processors
        after = used + request.size.processors
        band = load_band(after, worker.capacity.processors)
        cost = _FULLNESS_WEIGHT * fullness_with(request.size, worker)
        for name, count in worker.classes.items():
            if count <= 0:
                continue
            harm = self._interference.optimistic_slowdown(
                name, request.class_name, band
            )
            cost += self._weight(name) * count * harm
            suffered = self._interference.optimistic_slowdown(
                request.class_name, name, band
            )
            cost += self._weight(request.class_name) * count * suffered
        if request.kind is TaskKind.SERVICE:
            cost += self._colocation_cost(request.class_name, worker)
        return cost

    def is_service(self, class_name: str) -> bool:
        """True if a class is a service."""
        return class_name in self._replicas

    def _colocation_cost(self, service: str, worker: Candidate) -> float:
        colocated = worker.classes.get(service, 0)
        max_colocated = max(
            math.floor(self._replicas[service] * _MAX_COLOCATED_SHARE), 1
        )
        if colocated >= max_colocated:
            return _COLOCATION_PENALTY * colocated
        return -_COLOCATION_GAIN * colocated

    def _weight(self, class_name: str) -> float:
        if class_name in self._replicas:
            return self._objective.tail_latency
        return self._objective.batch_throughput


def make_weighted_policy(
    interference: Interference, config: Configuration
) -> WeightedPolicy:
    """Returns the policy for a configuration."""
    replicas = {n: s.replicas for n, s in config.services.items()}
    return WeightedPolicy(interference, config.objective, replicas)
