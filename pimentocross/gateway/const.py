"""Constants of an entry VM's process. Durations are seconds."""

from typing import Final

CELL: Final = "cell-0"
CLUSTER_TOPIC: Final = "cluster"
JOBS_TOPIC: Final = "jobs"
# Peers only prove that they belong to the same cluster: the platform provides
# no secret that they could share.
PEER_CLUSTER: Final = "pimentocross"
# One in so many file descriptors may be a peer connection: an owner has one to
# every other VM, and several to every worker.
PEER_DESCRIPTOR_SHARE: Final = 4

# Longest long poll at the store. A dead connection is noticed within this time
# plus the timeout.
FOLLOW_WAIT: Final = 2.0
FOLLOW_TIMEOUT: Final = 1.0
FOLLOW_RETRY: Final = 0.3

# Shares of the time within which a configuration change has to be in force: how
# long a request to the store may wait for new records, after how much longer it
# is overdue, and how old a copy may be to count as the newest. A request that
# never reached the store costs the first two; the rest is left for the answer
# and a busy VM. The last share limits how often requests to unknown routes make
# this VM refresh its copy.
CONFIG_WAIT_SHARE: Final = 0.5
CONFIG_OVERDUE_SHARE: Final = 0.2
CONFIG_MAX_AGE_SHARE: Final = 0.75
CONFIG_FRESH_SHARE: Final = 0.05
# Share of the time limit for evacuations to be in force within which this VM's
# copy counts as current, so that a start may rely on it. The rest is left for
# the start to arrive.
EVACUATION_MAX_AGE_SHARE: Final = 0.6
# How long a caller waits for a refresh from the store before it is told to come
# back. A slow store answers within this time.
CONFIG_LOOKUP_TIMEOUT: Final = 0.2

HEARTBEAT_INTERVAL: Final = 0.3
HEARTBEAT_TIMEOUT: Final = 0.8
# Limit on the heartbeats that the owner gets from all VMs, without those from
# the few that are the first to replace it.
MAX_HEARTBEATS_PER_SECOND: Final = 300.0
# A link without a request for three times as long counts as silent.
MAX_HEARTBEAT_INTERVAL: Final = 3.0
# The silence timeout is at least this many heartbeat intervals.
HEARTBEATS_PER_SILENCE_TIMEOUT: Final = 3.0
# An owner that hasn't replied for this long is suspected.
SILENCE_TIMEOUT: Final = 1.0
# The timeouts are this many times longer during a take-over, or as long as the
# last take-over that was seen.
TAKEOVER_FACTOR: Final = 2.0
# An owner that is replaced sooner after its claim has failed to take over. Its
# successor gets twice the time.
RECENT_CLAIM_AGE: Final = 10.0
# Upper limit of the silence timeout, so that an owner that dies during its
# take-over is replaced in bounded time.
MAX_SILENCE_TIMEOUT: Final = 6.0
# An owner that can't write for this long should be replaced by one that can: it
# has missed two heartbeat records.
STORE_SILENCE_TIMEOUT: Final = 1.3
# How long a suspect is watched for new records: longer than the interval
# between the heartbeat records of an owner.
OBSERVATION_TIME: Final = 0.7
# Time between the turns of two candidates. A claim is known to all VMs within a
# tenth of it, unless their event loops are late.
TURN_STEP: Final = 0.15
# So many candidates have turns of their own and check a suspect first. All of
# them are rarely down at once, and each one costs the store two reads.
EARLY_TURNS: Final = 4
# The turns of the others begin once the first candidates have had time to
# observe the suspect and claim. They are spread over a common span.
LATE_TURNS_AFTER: Final = 0.8
LATE_TURNS_SPAN: Final = 0.6
# A candidate with a late turn that has seen a suspect write leaves the suspect
# to the early candidates for this long, which saves reads from the store. A
# cell whose early candidates are all down waits this much longer at most.
LATE_TURNS_PAUSE: Final = 2.0
# Former owners that a claim lists: more than usually follow one another while
# leases of the first may still last.
MAX_FORMER_OWNERS: Final = 16
ELECTION_TICK: Final = 0.1
# Extra delay of a VM's claim if a stronger VM may claim. Late turns of strong
# VMs are hardly before those of weak ones, and the heartbeat that shows them
# the failure may come an interval later.
WEAKER_VM_CLAIM_DELAY: Final = HEARTBEAT_INTERVAL + ELECTION_TICK
# Longest time between two ticks that counts as silence of peers; the rest is a
# stall of this process's event loop. On a busy VM timers fire late by a tick.
STALL_THRESHOLD: Final = 2 * ELECTION_TICK
CLAIM_TIMEOUT: Final = 1.5
READ_TIMEOUT: Final = 1.0

# A weak owner hands the cell over to a VM that has this many times its cores
# and has contacted it recently. It keeps the cell for a minimum time first,
# since a take-over has a cost.
HAND_OVER_FACTOR: Final = 2.0
MIN_OWNERSHIP_BEFORE_HAND_OVER: Final = 5.0
RECENT_CONTACT_AGE: Final = 1.0
# A VM that owns the cell again after it has handed it over keeps it for this
# long: the strong VM couldn't claim, for example because it is cut off from the
# store.
HAND_OVER_PAUSE: Final = 60.0

# An owner that no peer has contacted for this long releases the cell.
PEER_CONTACT_TIMEOUT: Final = 2.0
# Such an owner doesn't claim again for this long.
LOST_CONTACT_CLAIM_PAUSE: Final = 2.0

# Share of a caller's deadline that the owner may use.
OWNER_SHARE: Final = 0.9
# Shortest time after which callers are told to come back.
RETRY_AFTER: Final = 1.0
# A VM tells this many callers at most to come back in the same second: it
# serves them beside new callers. It tells the others to come back up to
# MAX_RETURN_SPREAD seconds later.
MAX_RETURNS_PER_SECOND: Final = 20
MAX_RETURN_SPREAD: Final = 2
# If the former owner left it open whether a job runs, the job is submitted to
# its successor again at this interval. The timeout leaves the successor the
# time to store a record.
ASK_AGAIN_PAUSE: Final = 0.1
ASK_AGAIN_TIMEOUT: Final = 0.5
# A store that serves this VM answers within this.
STORE_CHECK_TIMEOUT: Final = 0.2
# A VM that reaches no owner for this long reports itself as not ready to the
# balancer.
READY_WITHOUT_OWNER: Final = 2.0

# On a planned stop the VM serves on for this long: the balancer drops it after
# two failed checks, a second apart.
DRAIN_NOTICE: Final = 2.6
# Part of the grace period that is reserved for the shutdown after the drain.
DRAIN_SHUTDOWN_RESERVE: Final = 1.2

# Longest job id: keys in the store have at most 255 bytes, some of which are
# for the kind of record.
MAX_JOB_ID_BYTES: Final = 250
