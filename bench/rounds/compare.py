"""Computes paired differences and their bootstrap confidence intervals."""

from collections.abc import Sequence
from typing import Final, NamedTuple
import warnings

import numpy as np
from scipy import stats

_CONFIDENCE: Final = 0.95
_RESAMPLES: Final = 4000
_SEED: Final = 1


class Difference(NamedTuple):
    """A mean difference of pairs and its bootstrap confidence interval.

    Attributes:
        mean: Mean of the values after minus those before.
        low: Lower end of the 95 % confidence interval.
        high: Upper end of the 95 % confidence interval.
        pairs: Number of pairs.
    """

    mean: float
    low: float
    high: float
    pairs: int

    @property
    def is_significant(self) -> bool:
        """Returns whether the confidence interval excludes 0."""
        return self.low > 0 or self.high < 0


def difference(before: Sequence[float], after: Sequence[float]) -> Difference:
    """Returns the mean difference of paired values.

    Args:
        before: One value per day.
        after: The other value of each day, in the same order.
    """
    deltas = np.array(after, dtype=float) - np.array(before, dtype=float)
    mean = float(deltas.mean())
    if len(deltas) < 2 or not np.ptp(deltas):
        return Difference(mean, mean, mean, len(deltas))
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", stats.DegenerateDataWarning)
        found = stats.bootstrap(
            (deltas,),
            np.mean,
            confidence_level=_CONFIDENCE,
            n_resamples=_RESAMPLES,
            random_state=_SEED,
        )
    interval = found.confidence_interval
    return Difference(
        mean, float(interval.low), float(interval.high), len(deltas)
    )
