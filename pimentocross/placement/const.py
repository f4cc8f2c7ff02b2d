"""Constants of the placement decisions. Durations are in seconds."""

from typing import Final

# Shares of a VM's processors in use at which the next load band begins.
BAND_EDGES: Final = (0.5, 0.8)
BANDS: Final = len(BAND_EDGES) + 1

# Slowdown that one neighbour is assumed to add before any measurement, and the
# variance of this assumption.
PRIOR_SLOWDOWN: Final = 0.05
PRIOR_VARIANCE: Final = 0.09
# Variance of one measurement.
MEASUREMENT_VARIANCE: Final = 0.04
# Variance that each second adds to an estimate. It sets how slowly old
# measurements lose their weight.
DRIFT_VARIANCE: Final = 0.00002
MAX_VARIANCE: Final = PRIOR_VARIANCE
# How long the tasks on a worker are kept, so that a late report is matched to
# the neighbours at the time of its measurement.
NEIGHBOUR_HISTORY_SECONDS: Final = 60.0

# Share of an estimate's standard deviation that is subtracted from it, so that
# pairs with few measurements get tried.
EXPLORATION_WEIGHT: Final = 0.25
# Weighted cost that moving a replica has to save, and the interval between
# moves.
MIN_MOVE_GAIN: Final = 0.15
MOVE_INTERVAL_SECONDS: Final = 10.0

QUARANTINE_AFTER_FAILURES: Final = 3
FIRST_QUARANTINE_SECONDS: Final = 60.0
MAX_QUARANTINE_SECONDS: Final = 900.0
MAX_TRIAL_SECONDS: Final = 60.0
