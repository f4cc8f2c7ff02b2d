"""Constants of an entry VM's process. Durations are seconds."""

from typing import Final

CELL: Final = "cell-0"
CLUSTER_TOPIC: Final = "cluster"
JOBS_TOPIC: Final = "jobs"
# Peers prove only that they are of the same cluster: the platform gives no
# secret that they could share.
PEER_CLUSTER: Final = "pimentocross"

# A long poll ends this often: a connection that has gone silent is noticed
# within this and the timeout, a store of 4 ms answers 2 calls a second less.
FOLLOW_WAIT: Final = 2.0
FOLLOW_TIMEOUT: Final = 1.0
FOLLOW_RETRY: Final = 0.3

HEARTBEAT_INTERVAL: Final = 0.3
HEARTBEAT_TIMEOUT: Final = 0.8
# Three heartbeats missed.
SILENCE: Final = 1.0
# An owner that can't write for this long should be replaced by one that can:
# two beats missed.
STORE_SILENCE: Final = 1.3
# A suspect is watched this long for records: its beats come every 0.5 s.
OBSERVE: Final = 0.7
# The better placed candidate claims this much earlier.
RANK_DELAY: Final = 0.15
ELECTION_TICK: Final = 0.1
CLAIM_TIMEOUT: Final = 1.5
READ_TIMEOUT: Final = 1.0

# An owner that hears no peer for this long gives the cell back.
ALONE_AFTER: Final = 2.0
# ... and waits this long before it claims again itself.
ALONE_PAUSE: Final = 2.0

# Of the time that a caller waits, what the owner may take.
OWNER_SHARE: Final = 0.9
RETRY_AFTER: Final = 1.0
# Without an owner for this long the VM leaves the balancer.
READY_WITHOUT_OWNER: Final = 2.0

# On a planned stop: the balancer needs two misses, a second apart.
DRAIN_NOTICE: Final = 2.6
# Kept of the grace time for the end itself.
DRAIN_RESERVE: Final = 1.2
