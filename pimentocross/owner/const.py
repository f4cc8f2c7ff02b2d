"""Constants of the owner of a cell. Durations are seconds."""

from typing import Final

# Changes within this time go into one append. It saves write budget of the
# store and delays the start of a task by half of it.
BATCH_PAUSE: Final = 0.015
# An idle owner writes a heartbeat record this often, so that a peer that
# suspects it sees that it is alive.
HEARTBEAT_INTERVAL: Final = 0.5
HEARTBEAT_KEY: Final = "beat"
# Long enough for a slow store to answer.
APPEND_TIMEOUT: Final = 1.5
APPEND_RETRY_PAUSE: Final = 0.1
# After an append has been unanswered for this long, the store counts as
# unavailable: new jobs are refused at once instead of being left to wait.
AWAY_AFTER: Final = 0.8
# It also does after this many consecutive appends that failed at once. The
# outcome of a job that is accepted meanwhile is unknown to its caller.
AWAY_FAILURES: Final = 3
# While the store is unavailable, a caller whose job record is being written
# gets the answer "unsure" after this. Answered at once, callers would use up
# their attempts before the store is back; later, their timeout has passed.
UNSURE_AFTER: Final = 1.3
# Interval at which a waiting call checks whether the store is unavailable.
AWAY_CHECK_INTERVAL: Final = 0.1
# Maximum size of an append, unless a single record is larger. A link of
# 1.5 Mbit/s carries it before the append is overdue and repeated.
APPEND_BYTES: Final = 64 * 1024

# Lease of running tasks. Long enough for a take-over (2 s) and a lost renewal;
# short enough that the tasks of a crashed worker start again within 6 s.
LEASE: Final = 5.0
# Longest lease that workers grant, where the platform's settings name none.
GRANTED_MOST: Final = 10.0
# Maximum relative drift by which a worker's clock may be slower than the
# owner's.
CLOCK_DRIFT: Final = 0.02
LAPSE_MARGIN: Final = 0.3
# No lease lasts longer than a lease and this after the owner was last
# confirmed: the mean age of the newest heartbeat record of an idle owner.
CONFIRMATION_SLACK: Final = HEARTBEAT_INTERVAL / 2
# Share of the worker lives that answer and of the recorded witnesses that have
# to coincide. If fewer do, other witnesses are recorded.
LEAST_CURRENT_WITNESSES: Final = 0.75
# Upper bound of the record of witnesses in a large cell.
MAX_WITNESSES: Final = 1000
# Finding since when a majority has answered sorts all witnesses.
MAJORITY_INTERVAL: Final = 0.1
# Worker clocks in the record of former leases: a few, in case workers leave.
MAX_RECORDED_CLOCKS: Final = 8
# An owner that is confirmed by its witnesses alone renews leases for this long.
# It is longer than the longest announced outage of the store (9 s).
RENEWALS_WITHOUT_STORE: Final = 12.0

# Usual time that a worker may hold a listing call open. Each such call renews
# the worker's leases, so it is also the usual interval of lease renewals.
# `ListingPace` lengthens it to at most a third of a lease.
LISTING_WAIT: Final = 1.0
# Usual time for workers on which serving tasks run beside best-effort tasks:
# their readings are needed more often.
LISTING_WAIT_SERVING: Final = 0.5
# Upper bound of that time when listings take much of the owner's thread: two
# readings still arrive within the time that a task may be over its target.
MAX_LISTING_WAIT_SERVING: Final = 0.75
LISTING_SLACK: Final = 0.8
LISTING_RETRY_PAUSE: Final = 0.2
# An unanswered start may still be carried out within this time.
LATE_START_WINDOW: Final = 12.0
# The next life of the worker's id may carry it out as well: that life refuses
# late starts only after an order with a token of its own. A silent worker is
# therefore called at a short interval, up to this long after it fell silent.
LISTING_QUICK_RETRY_PAUSE: Final = 0.05
LISTING_QUICK_RETRY_SECONDS: Final = 2.0
# Endings wait at most this long for their record; then the lease is renewed
# without acknowledging them.
ENDINGS_RECORD_TIMEOUT: Final = 1.0
# Maximum concurrent orders to one worker, each on a connection of its own.
MAX_CONCURRENT_ORDERS: Final = 4
# In addition, each worker has one connection for the listing call.
LISTING_CONNECTIONS: Final = 1
# Share of the file descriptors for connections to workers; the rest is for
# peers, callers, the store and files.
WORKER_DESCRIPTOR_SHARE: Final = 0.6
# Assumed descriptor limit where the limit of the process is unknown.
DEFAULT_DESCRIPTORS: Final = 4096
CALL_TIMEOUT: Final = 0.8
# A worker refuses a start that reaches it later than this after it was sent.
START_VALIDITY: Final = 1.5
# A start that a former owner may have sent is carried out within this time
# after the take-over. No call was begun after the take-over, but one that was
# begun just before lasts up to CALL_TIMEOUT.
ADOPTED_LATE_START_WINDOW: Final = LATE_START_WINDOW + CALL_TIMEOUT
STOP_RETRY_PAUSE: Final = 0.3
# Page size of listed endings: a full page may be incomplete.
ENDINGS_PAGE: Final = 500

# Changes within this time are handled by one scheduling pass.
MIN_PASS_PAUSE: Final = 0.01
PASS_INTERVAL: Final = 0.25
# A pass places tasks for this long before it yields the thread: a twentieth of
# the time that callers of a listing or a heartbeat wait for an answer.
PASS_SLICE: Final = 0.04
# The pause after a pass is as long as the pass but no longer than this, so that
# tasks are placed several times a second.
MAX_PASS_PAUSE: Final = 0.25
ROSTER_INTERVAL: Final = 0.5
# Pause after the end of a lease before its worker's runs are dropped.
LAPSE_PAUSE: Final = 0.01
# Capacities are used for this long after they were read. Users allow 3 s plus
# one report interval of a worker, as a report may be that old when it is read.
ROSTER_MAX_AGE: Final = 2.0
ROSTER_TIMEOUT: Final = 1.5
NEWEST_TIMEOUT: Final = 3.0
# A new owner yields the thread after this much of reading and adopting: an
# answer to a heartbeat plus an append need some ten turns of the event loop,
# 0.1 s together.
WORK_SLICE: Final = 0.01
# The take-over of a new owner is complete once all workers have listed their
# runs, or after this time, as a worker that is cut off may never answer.
SETTLE_TIMEOUT: Final = 3.0
SETTLE_CHECK_INTERVAL: Final = 0.1

# Minimum time for which an ended job is kept.
ENDED_JOB_RETENTION: Final = 150.0
# Ended jobs are kept this much longer than the deployment asks for.
ENDED_JOB_RETENTION_SLACK: Final = 30.0
SWEEP_INTERVAL: Final = 5.0
# Callers whose job doesn't fit into memory are told to return after this:
# jobs that ended long ago have been removed by then.
MEMORY_RETRY_DELAY: Final = SWEEP_INTERVAL
# An owner that releases its cell waits this long for its last records, as its
# leases expire meanwhile.
LAST_RECORD_WAIT: Final = 1.0
# "No such job" is answered only if the store acknowledged an append within this
# time; otherwise a successor may know more.
MAX_ACK_AGE: Final = 1.5
