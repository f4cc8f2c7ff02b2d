"""Constants of the decisions. Durations are seconds."""

from typing import Final

# Shares of a VM's processors that part the load bands.
BAND_EDGES: Final = (0.5, 0.8)
BANDS: Final = len(BAND_EDGES) + 1

# What one neighbour is taken to add before anything was seen, and its spread.
PRIOR_SLOWDOWN: Final = 0.05
PRIOR_VARIANCE: Final = 0.09
# Spread of one measurement.
MEASUREMENT_VARIANCE: Final = 0.04
# Spread that a second adds to what is known: how slowly it is forgotten.
DRIFT_VARIANCE: Final = 0.00002
VARIANCE_MOST: Final = PRIOR_VARIANCE
# How long a worker's neighbours are remembered for late reports.
HISTORY: Final = 60.0

# Share of an estimate's spread by which an unknown pair looks better.
EXPLORATION: Final = 0.25
# Weighted cost that a move of a replica has to gain, and how often one moves.
MOVE_GAIN_LEAST: Final = 0.15
MOVE_INTERVAL: Final = 10.0

QUARANTINE_AFTER: Final = 3
QUARANTINE_FIRST: Final = 60.0
QUARANTINE_MOST: Final = 900.0
