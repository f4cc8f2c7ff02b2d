"""Constants of an entry VM's process. Durations are seconds."""

from typing import Final

CELL: Final = "cell-0"
CLUSTER_TOPIC: Final = "cluster"
JOBS_TOPIC: Final = "jobs"
# Peers prove only that they are of the same cluster: the platform gives no
# secret that they could share.
PEER_CLUSTER: Final = "pimentocross"
# One in so many descriptors may be a peer's connection: an owner has one of
# every other VM, and several of every worker.
PEERS_SHARE: Final = 4

# Longest wait for news: a connection that has gone silent is noticed within
# this and the timeout.
FOLLOW_WAIT: Final = 2.0
FOLLOW_TIMEOUT: Final = 1.0
FOLLOW_RETRY: Final = 0.3

# Of the time within which a change has to be in force: how long a question may
# wait for news, when it is overdue, and how old a copy may be to be taken for
# the newest. A question that the store never got costs the first two; the rest
# is left for an answer and a busy VM. The last bounds how often callers of
# routes that don't exist have the copy looked up.
CONFIG_WAIT_SHARE: Final = 0.5
CONFIG_OVERDUE_SHARE: Final = 0.2
CONFIG_CURRENT_SHARE: Final = 0.75
CONFIG_FRESH_SHARE: Final = 0.05
# Of the time within which an evacuation has to be in force: how old a copy may
# be for starts that rely on it. The rest is left for a start to arrive.
EVACUATION_CURRENT_SHARE: Final = 0.6
# A caller waits this long for a look at the store, in which a slow one answers,
# before it is told to come back.
CONFIG_LOOK_UP: Final = 0.2

HEARTBEAT_INTERVAL: Final = 0.3
HEARTBEAT_TIMEOUT: Final = 0.8
# All VMs together ask the owner this often a second at most, but for the few
# that are the first to replace it.
HEARTBEATS_MOST: Final = 300.0
# A link without a question for three times as long is taken for silent.
HEARTBEAT_INTERVAL_MOST: Final = 3.0
# A heartbeat comes this often within the time after which silence counts.
HEARTBEATS_IN_SILENCE: Final = 3.0
SILENCE: Final = 1.0
# One that takes over may be silent this many times longer, or for as long as
# the last take-over that was seen.
TAKEOVER_FACTOR: Final = 2.0
# Whoever is replaced sooner after its claim has failed to take over, and its
# successor is given twice the time.
YOUNG: Final = 10.0
# No owner may be silent for longer, so that one that dies while it takes over
# is followed in bounded time.
SILENCE_MOST: Final = 6.0
# An owner that can't write for this long should be replaced by one that can:
# two beats missed.
STORE_SILENCE: Final = 1.3
# A suspect is watched this long for records: more than one of its beats.
OBSERVE: Final = 0.7
# The better placed candidate claims this much earlier: a claim is known to all
# within a tenth of it, unless they are late themselves.
TURN_STEP: Final = 0.15
# So many have turns of their own, and look at a suspect: all of them down at
# once is rare, and each costs two reads.
EARLY_TURNS: Final = 4
# The others begin once the first of the early ones has observed and claimed,
# and share a span.
LATE_TURNS_AFTER: Final = 0.8
LATE_TURNS_SPAN: Final = 0.6
# Whoever has a late turn and has seen a suspect write leaves it to the early
# ones for this long, which spares the store. A cell whose early ones are down
# waits this much longer at most.
LATE_TURNS_PAUSE: Final = 2.0
# Owners of before that a claim names: more than usually follow one another
# within the time for which leases of the first may last.
FORMERS_TOLD: Final = 16
ELECTION_TICK: Final = 0.1
# A VM weaker than another that may claim leaves it this much time beyond its
# turn: strong ones with late turns are hardly before the weak ones, and a
# heartbeat that tells of the trouble may come to them an interval later.
WEAK_HANDICAP: Final = HEARTBEAT_INTERVAL + ELECTION_TICK
# Of the time between two ticks as much counts as silence of others; what is
# beyond is a stall of this process's own loop. On a busy VM timers fire late by
# a tick.
STALL: Final = 2 * ELECTION_TICK
CLAIM_TIMEOUT: Final = 1.5
READ_TIMEOUT: Final = 1.0

# A weak VM that owns hands the cell to one that has so many times its processor
# and was heard within this. Not sooner after its claim than this: a take-over
# has to be worth it.
HAND_OVER_FACTOR: Final = 2.0
HAND_OVER_AFTER: Final = 5.0
HEARD_LATELY: Final = 1.0
# A VM that has handed the cell over and owns again keeps it for this long: the
# strong one could not claim, as while it is cut off from the store.
HAND_OVER_PAUSE: Final = 60.0

# An owner that hears no peer for this long gives the cell back.
ALONE_AFTER: Final = 2.0
# ... and waits this long before it claims again itself.
ALONE_PAUSE: Final = 2.0

# Of the time that a caller waits, what the owner may take.
OWNER_SHARE: Final = 0.9
# Callers come back after this at the least.
RETRY_AFTER: Final = 1.0
# So many of one VM's callers are told to come back in the same second: it takes
# them in beside those who come for the first time. The others are told a later
# one, by so many seconds at the most.
RETURNS_A_SECOND: Final = 20
RETURNS_SPREAD: Final = 2
# A successor is asked this often for a job of which its predecessor left it
# open whether it runs, and given this long for an answer: it needs a record.
ASK_AGAIN_PAUSE: Final = 0.1
ASK_AGAIN_MOST: Final = 0.5
# A store that answers this VM does so within this.
STORE_LOOK: Final = 0.2
# Without an owner for this long the VM leaves the balancer.
READY_WITHOUT_OWNER: Final = 2.0

# On a planned stop: the balancer needs two misses, a second apart.
DRAIN_NOTICE: Final = 2.6
# Kept of the grace time for the end itself.
DRAIN_RESERVE: Final = 1.2

# Longest id of a job: keys of the store have 255 bytes, some for its kind.
JOB_ID_BYTES_MOST: Final = 250
