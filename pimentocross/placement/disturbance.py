"""How much what fills raises the response times of what serves, by image.

For each image that serves, the logarithm of its tail over its target is taken
as a base, a level of the worker that stays for some seconds (its tasks' load
swings), and, for each image that fills beside it, a coefficient times the share
of the worker's processors that this image uses. All are estimated with their
spread, one reading at a time, as by a Kalman filter with independent parts, and
forgotten slowly. Without the level, a swing would be put down to whatever has
just come. A few pairs raise the tail tenfold, most do nothing.
"""

from collections.abc import Mapping, Sequence
import math
from typing import Final, NamedTuple


class Estimate(NamedTuple):
    """A quantity, how unsure it is, and when it was last brought up to date."""

    mean: float
    variance: float
    at: float


class Pair(NamedTuple):
    """What is known of a pair of images; no filling image for a base."""

    serving: str
    filling: str
    mean: float
    variance: float


# Without neighbours, tails are about half of their target.
_BASE: Final = Estimate(math.log(0.45), 0.3, 0.0)
# An unknown pair is tried with care.
_PAIR: Final = Estimate(1.0, 6.0, 0.0)
# Under this a pair can't be told from a harmless one.
_NOISE: Final = 0.8
# ... and from here on a pair is taken to disturb.
_SURELY: Final = 1.5
# A pair whose spread is less than this has been read once or twice beside a
# task of usual size: enough to tell one that disturbs strongly.
_TRIED: Final = 0.75 * _PAIR.variance
# From this spread on, one that seems to disturb may well be harmless: it is as
# far from 0 as it is unsure.
_DOUBTFUL: Final = 1.0
# A reading is rough by a tenth, and what filled while it was taken isn't known
# to the moment.
_READING_VARIANCE: Final = 0.02
# A worker's level: how far it goes, and in how many seconds it is gone. The
# load of what serves swings by half in ten and more seconds.
_LEVEL_VARIANCE: Final = 0.1
_LEVEL_KEPT: Final = 4.0
# Levels that weren't seen for this long say nothing any more, seconds.
_LEVEL_DROPPED: Final = 20.0
# Spread that a second adds: a base is new within 5 s, a pair within a minute.
_BASE_DRIFT: Final = 0.02
_PAIR_DRIFT: Final = 0.02
# What a single reading may say: a worker in trouble shows wild ones.
_SURPRISE_MOST: Final = 1.2
# A pair that isn't seen any more goes back to the first guess in about this
# many seconds.
_FORGETTING: Final = 100.0
_ALONE: Final = ""
# A worker that hangs shows tails of hundreds of times the target: beyond this
# a reading says no more about pairs.
_RATIO_MOST: Final = 5.0
_RATIO_LEAST: Final = 0.05


class Disturbance:
    """Estimates by pair of images."""

    def __init__(self) -> None:
        """Starts with the same guess for every pair."""
        self._estimates: dict[tuple[str, str], Estimate] = {}
        self._levels: dict[tuple[int, str], Estimate] = {}
        self._levels_swept_at = 0.0
        self._now = 0.0
        # Estimates as they are now: a pass asks for each many times, and ages
        # it once.
        self._present: dict[tuple[str, str], Estimate] = {}

    def pairs(self) -> list[Pair]:
        """Returns all that was learned, as far as it holds now."""
        return [
            Pair(serving, image, known.mean, known.variance)
            for serving, image in self._estimates
            for known in [self._known(serving, image)]
        ]

    def restore(self, pairs: Sequence[Pair], now: float) -> None:
        """Takes what a former owner had learned."""
        self.advance(now)
        for pair in pairs:
            estimate = Estimate(pair.mean, pair.variance, now)
            self._note((pair.serving, pair.filling), estimate)

    def advance(self, now: float) -> None:
        """Notes the time, as what is known ages."""
        self._now = now
        self._present.clear()

    def coefficient(self, serving: str, filling: str) -> float:
        """Returns how much a share of 1 adds to the logarithm.

        It is 0 for pairs whose effect can't be told from that of the load.
        """
        known = self._known(serving, filling)
        return known.mean if known.mean > _NOISE else 0.0

    def is_bad(self, serving: str, filling: str) -> bool:
        """True if a pair surely disturbs, whatever the load."""
        known = self._known(serving, filling)
        return known.mean > _SURELY

    def is_doubtful(self, serving: str, filling: str) -> bool:
        """True if a pair seems to disturb, on little evidence."""
        known = self._known(serving, filling)
        return known.mean > _SURELY and known.variance > _DOUBTFUL

    def is_untried(self, serving: str, filling: str) -> bool:
        """True if hardly anything was seen of a pair."""
        known = self._known(serving, filling)
        return known.variance > _TRIED

    def added(self, serving: str, loads: Mapping[str, float]) -> float:
        """Returns by how much the logarithm of a tail is expected to rise.

        Args:
            serving: The image that serves.
            loads: Shares of the worker's processors by image that fills.
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
        """Takes a reading in.

        Args:
            serving: The image that serves.
            loads: As for `added`, while the reading was taken.
            ratio: The tail over its target.
            now: Present time.
            worker: Number of the worker that it was read on.
        """
        weights = {image: share for image, share in loads.items() if share > 0}
        weights[_ALONE] = 1.0
        level = self._level(worker, serving, now)
        known: dict[str, Estimate] = {}
        effect = doubt = 0.0
        for image, weight in weights.items():
            found = known[image] = self._aged(serving, image, now)
            effect += weight * found.mean
            doubt += weight * weight * found.variance
        expected = level.mean + effect
        spread = level.variance + _READING_VARIANCE + doubt
        seen = min(max(ratio, _RATIO_LEAST), _RATIO_MOST)
        surprise = math.log(seen) - expected
        surprise = min(max(surprise, -_SURPRISE_MOST), _SURPRISE_MOST)
        for image, weight in weights.items():
            updated = _updated(known[image], weight, surprise, spread, now)
            self._note((serving, image), updated)
        self._levels[(worker, serving)] = _updated(
            level, 1.0, surprise, spread, now
        )
        self._sweep_levels(now)

    def _level(self, worker: int, serving: str, now: float) -> Estimate:
        known = self._levels.get((worker, serving))
        if known is None:
            return Estimate(0.0, _LEVEL_VARIANCE, now)
        kept = math.exp(-max(now - known.at, 0.0) / _LEVEL_KEPT)
        variance = known.variance * kept**2 + _LEVEL_VARIANCE * (1 - kept**2)
        return Estimate(known.mean * kept, variance, now)

    def _sweep_levels(self, now: float) -> None:
        """Drops levels of workers and images that are gone."""
        if now - self._levels_swept_at < _LEVEL_DROPPED:
            return
        self._levels_swept_at = now
        self._levels = {
            key: known
            for key, known in self._levels.items()
            if now - known.at < _LEVEL_DROPPED
        }

    def _note(self, pair: tuple[str, str], estimate: Estimate) -> None:
        self._estimates[pair] = estimate
        self._present.pop(pair, None)

    def _known(self, serving: str, image: str) -> Estimate:
        """Returns an estimate as it is now."""
        found = self._present.get((serving, image))
        if found is None:
            found = self._aged(serving, image, self._now)
            self._present[(serving, image)] = found
        return found

    def _aged(self, serving: str, image: str, now: float) -> Estimate:
        prior = _PAIR if image else _BASE
        drift = _PAIR_DRIFT if image else _BASE_DRIFT
        known = self._estimates.get((serving, image))
        if known is None:
            return Estimate(prior.mean, prior.variance, now)
        age = now - known.at if now > known.at else 0.0
        kept = math.exp(-age / _FORGETTING)
        mean = prior.mean + (known.mean - prior.mean) * kept
        variance = known.variance + drift * age
        if variance > prior.variance:
            variance = prior.variance
        return Estimate(mean, variance, now)


def _updated(
    known: Estimate, weight: float, surprise: float, spread: float, now: float
) -> Estimate:
    """Returns an estimate after a reading that it is a part of."""
    gain = known.variance * weight / spread
    return Estimate(
        known.mean + gain * surprise,
        known.variance * (1 - gain * weight),
        now,
    )
