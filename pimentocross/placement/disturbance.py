"""Estimates how much best-effort images raise tail latencies of serving images.

Tasks of serving images have a tail-latency target. Tasks of best-effort images
(`fills`) use only the processor time that is left over.

For each serving image, the logarithm of tail latency over target is modelled as
the sum of a base value, a deviation of the worker that lasts some seconds (the
load on its tasks swings), and, for each best-effort image on the same worker, a
coefficient times the share of the worker's processors that this image uses. All
terms are estimated with their variance, one reading at a time, by a Kalman
filter that treats them as independent, and decay slowly to their priors.
Without the deviation of the worker, a load swing would be attributed to
whichever best-effort task has just started. A few pairs raise the tail latency
tenfold, most have no effect.
"""

from collections.abc import Mapping, Sequence
import math
from typing import Final, NamedTuple


class Estimate(NamedTuple):
    """A normally distributed estimate of one term of the model.

    Attributes:
        mean: Expected value, on the scale of the logarithm.
        variance: Variance of the estimate.
        updated_at: Time of the last update, seconds.
    """

    mean: float
    variance: float
    updated_at: float


class PairEstimate(NamedTuple):
    """The estimated effect of a best-effort image on a serving image.

    Attributes:
        serving: Serving image.
        filling: Best-effort image, or "" for the base value of the serving
            image.
        mean: Rise of the logarithm of the tail latency per unit of the share
            of the processors.
        variance: Variance of the estimate.
    """

    serving: str
    filling: str
    mean: float
    variance: float


# Without best-effort tasks, tail latencies are about half of the target.
_BASE_PRIOR: Final = Estimate(math.log(0.45), 0.3, 0.0)
# Assumes some effect, so that a pair without readings is tried cautiously.
_PAIR_PRIOR: Final = Estimate(1.0, 6.0, 0.0)
# Below this, the effect of a pair can't be told from noise.
_NOISE_LIMIT: Final = 0.8
# From this coefficient on, a best-effort image counts as disturbing.
_DISTURBING_FROM: Final = 1.5
# One or two readings beside a best-effort task of usual size bring the variance
# below this: enough to detect a pair that disturbs strongly.
_MEASURED_PAIR_VARIANCE: Final = 0.75 * _PAIR_PRIOR.variance
# From this variance on, a pair that seems to disturb may well be harmless: its
# coefficient is as close to 0 as its standard deviation is wide.
_UNCERTAIN_VARIANCE: Final = 1.0
# A reading is off by about a tenth, and which best-effort tasks ran while it
# was taken is known only approximately.
_READING_VARIANCE: Final = 0.02
# Variance and decay time in seconds of a worker's deviation: the load on
# serving tasks swings by half over ten and more seconds.
_DEVIATION_VARIANCE: Final = 0.1
_DEVIATION_DECAY: Final = 4.0
# Deviations that were not updated for this many seconds are dropped.
_DEVIATION_MAX_AGE: Final = 20.0
# Variance added per second: a base value adapts within 5 s, a pair within a
# minute.
_BASE_DRIFT: Final = 0.02
_PAIR_DRIFT: Final = 0.02
# Bounds the residual of one reading: a faulty worker reports outliers.
_MAX_RESIDUAL: Final = 1.2
# Time constant, in seconds, with which a pair without readings returns to its
# prior.
_PRIOR_DECAY: Final = 100.0
_BASE_IMAGE: Final = ""
# Readings are clamped to this range: a worker that hangs shows tail latencies
# of hundreds of times the target, which say nothing more about pairs.
_MAX_RATIO: Final = 5.0
_MIN_READING_RATIO: Final = 0.05


class Disturbance:
    """Learns which best-effort images disturb which serving images."""

    def __init__(self) -> None:
        """Starts with the same prior for every pair."""
        self._estimates: dict[tuple[str, str], Estimate] = {}
        self._deviations: dict[tuple[int, str], Estimate] = {}
        self._deviations_swept_at = 0.0
        self._now = 0.0
        # Estimates decayed to the present time: a scheduling pass reads each
        # many times, and it is computed once.
        self._current: dict[tuple[str, str], Estimate] = {}

    def pairs(self) -> list[PairEstimate]:
        """Returns all estimates, decayed to the present time."""
        return [
            PairEstimate(serving, image, known.mean, known.variance)
            for serving, image in self._estimates
            for known in [self._estimate(serving, image)]
        ]

    def restore(self, pairs: Sequence[PairEstimate], now: float) -> None:
        """Restores the estimates of the previous owner.

        Args:
            pairs: Estimates as returned by `pairs`.
            now: Present time.
        """
        self.advance(now)
        for pair in pairs:
            estimate = Estimate(pair.mean, pair.variance, now)
            self._store((pair.serving, pair.filling), estimate)

    def advance(self, now: float) -> None:
        """Sets the present time, to which estimates are decayed."""
        self._now = now
        self._current.clear()

    def coefficient(self, serving: str, filling: str) -> float:
        """Returns the rise of the logarithm per unit of the processor share.

        0 for pairs whose effect can't be told from load swings.
        """
        known = self._estimate(serving, filling)
        return known.mean if known.mean > _NOISE_LIMIT else 0.0

    def disturbs(self, serving: str, filling: str) -> bool:
        """Returns whether a best-effort image disturbs a serving image.

        True only if the effect is too large to be caused by the load.
        """
        known = self._estimate(serving, filling)
        return known.mean > _DISTURBING_FROM

    def is_uncertain(self, serving: str, filling: str) -> bool:
        """Returns whether a pair seems to disturb, on few readings."""
        known = self._estimate(serving, filling)
        return (
            known.mean > _DISTURBING_FROM
            and known.variance > _UNCERTAIN_VARIANCE
        )

    def is_untried(self, serving: str, filling: str) -> bool:
        """Returns whether a pair has hardly any readings."""
        known = self._estimate(serving, filling)
        return known.variance > _MEASURED_PAIR_VARIANCE

    def expected_increase(
        self, serving: str, loads: Mapping[str, float]
    ) -> float:
        """Returns the log tail latency increase by best-effort images.

        Args:
            serving: The serving image.
            loads: Shares of the worker's processors by best-effort image.
        """
        return sum(
            share * self.coefficient(serving, image)
            for image, share in loads.items()
        )

    def learn(
        self,
        serving: str,
        loads: Mapping[str, float],
        ratio: float,
        now: float,
        worker: int = 0,
    ) -> None:
        """Updates the estimates with a tail-latency reading.

        Args:
            serving: The serving image.
            loads: Shares of the worker's processors by best-effort image while
                the reading was taken.
            ratio: Tail latency over its target.
            now: Present time.
            worker: Number of the worker that reported the reading.
        """
        weights = {image: share for image, share in loads.items() if share > 0}
        weights[_BASE_IMAGE] = 1.0
        deviation = self._level(worker, serving, now)
        known: dict[str, Estimate] = {}
        expected_effect = variance = 0.0
        for image, weight in weights.items():
            estimate = known[image] = self._decayed(serving, image, now)
            expected_effect += weight * estimate.mean
            variance += weight * weight * estimate.variance
        expected = deviation.mean + expected_effect
        residual_variance = deviation.variance + _READING_VARIANCE + variance
        clamped = min(max(ratio, _MIN_READING_RATIO), _MAX_RATIO)
        residual = math.log(clamped) - expected
        residual = min(max(residual, -_MAX_RESIDUAL), _MAX_RESIDUAL)
        for image, weight in weights.items():
            updated = _updated(
                known[image], weight, residual, residual_variance, now
            )
            self._store((serving, image), updated)
        self._deviations[(worker, serving)] = _updated(
            deviation, 1.0, residual, residual_variance, now
        )
        self._sweep_deviations(now)

    def _level(self, worker: int, serving: str, now: float) -> Estimate:
        """Returns the deviation of a worker, decayed to the present time."""
        known = self._deviations.get((worker, serving))
        if known is None:
            return Estimate(0.0, _DEVIATION_VARIANCE, now)
        kept = math.exp(-max(now - known.updated_at, 0.0) / _DEVIATION_DECAY)
        variance = known.variance * kept**2 + _DEVIATION_VARIANCE * (
            1 - kept**2
        )
        return Estimate(known.mean * kept, variance, now)

    def _sweep_deviations(self, now: float) -> None:
        """Drops deviations of workers and images that are gone."""
        if now - self._deviations_swept_at < _DEVIATION_MAX_AGE:
            return
        self._deviations_swept_at = now
        self._deviations = {
            key: known
            for key, known in self._deviations.items()
            if now - known.updated_at < _DEVIATION_MAX_AGE
        }

    def _store(self, pair: tuple[str, str], estimate: Estimate) -> None:
        self._estimates[pair] = estimate
        self._current.pop(pair, None)

    def _estimate(self, serving: str, image: str) -> Estimate:
        """Returns an estimate decayed to the present time."""
        estimate = self._current.get((serving, image))
        if estimate is None:
            estimate = self._decayed(serving, image, self._now)
            self._current[(serving, image)] = estimate
        return estimate

    def _decayed(self, serving: str, image: str, now: float) -> Estimate:
        """Returns an estimate decayed to a time, or the prior if unknown."""
        prior = _PAIR_PRIOR if image else _BASE_PRIOR
        drift = _PAIR_DRIFT if image else _BASE_DRIFT
        known = self._estimates.get((serving, image))
        if known is None:
            return Estimate(prior.mean, prior.variance, now)
        age = now - known.updated_at if now > known.updated_at else 0.0
        kept = math.exp(-age / _PRIOR_DECAY)
        mean = prior.mean + (known.mean - prior.mean) * kept
        variance = known.variance + drift * age
        if variance > prior.variance:
            variance = prior.variance
        return Estimate(mean, variance, now)


def _updated(
    known: Estimate,
    weight: float,
    residual: float,
    residual_variance: float,
    now: float,
) -> Estimate:
    """Returns an estimate after a Kalman update.

    Args:
        known: The estimate before the reading.
        weight: Factor of the estimated term in the reading.
        residual: Reading less its expected value.
        residual_variance: Variance of the reading.
        now: Present time.
    """
    gain = known.variance * weight / residual_variance
    return Estimate(
        known.mean + gain * residual,
        known.variance * (1 - gain * weight),
        now,
    )
