"""Places tasks by what they cost under the deployment's objective."""

from collections.abc import Mapping, Sequence
import math

from pimentocross.backing.workers import TaskKind
from pimentocross.config.schema import Configuration, ObjectiveConfig
from pimentocross.placement.interference import Interference, load_band
from pimentocross.placement.policy import (
    Candidate,
    Choice,
    Wanted,
    explain_no_fit,
    fullness_with,
)

# Breaks ties towards emptier workers; far below any slowdown that counts.
_FULLNESS_WEIGHT = 0.02
# Replicas of a service on one VM: together they meet fewer batch tasks, yet
# too many fall with it.
_TOGETHER_GAIN = 0.05
_TOGETHER_SHARE = 0.34
_CROWD_PENALTY = 10.0


class WeightedPolicy:
    """Takes the worker where a task does the least harm and suffers least.

    Harm to services weighs as the objective weighs tail latency; harm to and
    of batch tasks as it weighs batch throughput.
    """

    def __init__(
        self,
        interference: Interference,
        objective: ObjectiveConfig,
        replicas: Mapping[str, int],
    ) -> None:
        """Takes the estimates, the weights, and the services' replicas."""
        self._interference = interference
        self._objective = objective
        self._replicas = replicas

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
            harm = self._interference.optimistic_slowdown(
                name, wanted.class_name, band
            )
            cost += self._weight(name) * count * harm
            suffered = self._interference.optimistic_slowdown(
                wanted.class_name, name, band
            )
            cost += self._weight(wanted.class_name) * count * suffered
        if wanted.kind is TaskKind.SERVICE:
            cost += self._crowding(wanted.class_name, worker)
        return cost

    def is_service(self, class_name: str) -> bool:
        """True if a class is a service."""
        return class_name in self._replicas

    def _crowding(self, service: str, worker: Candidate) -> float:
        same = worker.classes.get(service, 0)
        most = max(math.floor(self._replicas[service] * _TOGETHER_SHARE), 1)
        if same >= most:
            return _CROWD_PENALTY * same
        return -_TOGETHER_GAIN * same

    def _weight(self, class_name: str) -> float:
        if class_name in self._replicas:
            return self._objective.tail_latency
        return self._objective.batch_throughput


def make_weighted_policy(
    interference: Interference, config: Configuration
) -> WeightedPolicy:
    """Returns the policy that a configuration asks for."""
    replicas = {n: s.replicas for n, s in config.services.items()}
    return WeightedPolicy(interference, config.objective, replicas)
