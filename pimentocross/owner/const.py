"""Constants of the owner of a cell. Durations are seconds."""

from typing import Final

# Changes gathered into one append, which spares the store's write budget and
# delays a task's start by half of it.
BATCH_PAUSE: Final = 0.015
# An idle owner writes this often, so that a suspicious peer sees that it lives.
BEAT_INTERVAL: Final = 0.5
BEAT_KEY: Final = "beat"
# A slow store answers within this.
APPEND_TIMEOUT: Final = 1.5
APPEND_RETRY_PAUSE: Final = 0.1
# An append unanswered for this long means that the store is away: new jobs
# are refused at once rather than left to wait.
AWAY_AFTER: Final = 0.8
# ... or after as many tries that failed at once: a job that is taken in
# meanwhile ends as one that its caller isn't sure of.
AWAY_FAILURES: Final = 3
# A caller whose job's record is on its way is told that it isn't sure after
# this, while the store is away. Told at once, callers would use up their tries
# before the store is back; told later, their time is over.
UNSURE_AFTER: Final = 1.3
# How often a caller's wait looks whether the store has gone away.
AWAY_LOOK: Final = 0.1
# Largest append, half of what the platform takes.
APPEND_BYTES: Final = 1_000_000

# Lease of what runs. Long enough for a take-over (2 s) and a lost renewal;
# short enough that a crashed worker's tasks start again within 6 s.
LEASE: Final = 5.0
# Clocks of workers may be this much slower than ours.
CLOCK_DRIFT: Final = 0.02
LAPSE_MARGIN: Final = 0.3
# How long an owner renews leases without an acknowledged append: rides out
# the longest outage of the store that was announced (9 s), and some.
RENEWALS_WITHOUT_STORE: Final = 12.0

# Renewal at least this often.
HOLD_WAIT: Final = 1.0
# Where tasks serve beside tasks that fill, figures are read this often.
HOLD_WAIT_SERVING: Final = 0.5
# ... or this often where listings cost much of the thread: two readings still
# come within what a task may be over its target.
HOLD_WAIT_SERVING_MOST: Final = 0.75
HOLD_SLACK: Final = 0.8
HOLD_RETRY_PAUSE: Final = 0.2
# A start that wasn't answered may be carried out for so long ...
LATE_START_MOST: Final = 12.0
# ... also by the next life of the worker's id, which refuses it only once it
# has had an order with a token of its own: meanwhile it is looked for this
# often, up to so long after it fell silent.
HOLD_RETRY_QUICK: Final = 0.05
HOLD_RETRY_QUICK_FOR: Final = 2.0
# Endings wait at most this long for their record before the lease is renewed
# without taking note of them.
NOTE_WAIT: Final = 1.0
# Orders that are on their way to one worker, each on a connection of its own.
ORDERS_AT_ONCE: Final = 4
# Beside them a listing waits there for news.
LISTING_CONNECTIONS: Final = 1
# What of the descriptors connections to workers may take; the rest is for
# peers, callers, the store and files.
WORKERS_SHARE: Final = 0.6
# Where nobody tells how many descriptors a process has.
DESCRIPTORS: Final = 4096
CALL_TIMEOUT: Final = 0.8
# After this a start that the worker gets late is refused by it.
START_VALIDITY: Final = 1.5
# A start that a former owner may have sent is carried out within this of the
# take-over: none was sent after it, but for what a call lasts.
ADOPTED_LATE_MOST: Final = LATE_START_MOST + CALL_TIMEOUT
STOP_RETRY_PAUSE: Final = 0.3
# A listing of endings this long may not be whole.
ENDINGS_PAGE: Final = 500

# Changes gathered into one pass of decisions.
PASS_PAUSE: Final = 0.01
PASS_INTERVAL: Final = 0.25
# A pass places for this long before it gives the thread up: a twentieth of
# what callers of a listing or a heartbeat wait for an answer.
PASS_SLICE: Final = 0.04
# A pass rests as long as it took, and no longer than this, so that something
# is placed several times a second.
PASS_REST_MOST: Final = 0.25
ROSTER_INTERVAL: Final = 0.5
# Capacities are trusted for this long after they were read. Users allow 3 s
# and one report of a worker, which may be as old as that when it is read.
ROSTER_TRUSTED: Final = 2.0
ROSTER_TIMEOUT: Final = 1.5
NEWEST_TIMEOUT: Final = 3.0
# A new owner reads and adopts in slices of this: an answer to a heartbeat and
# an append need some ten turns of the loop, 0.1 s together.
WORK_SLICE: Final = 0.01
# A new owner that has called all workers has taken over once each has listed
# what runs, or after this: a worker that is cut off may never.
SETTLE_MOST: Final = 3.0
SETTLE_LOOK: Final = 0.1

# A job that has ended is remembered at least this long.
ENDED_KEPT: Final = 150.0
# ... and this much longer than a deployment asks for.
ENDED_SLACK: Final = 30.0
SWEEP_INTERVAL: Final = 5.0
# An owner that gives the cell back waits this long for its last records: its
# leases end meanwhile.
LAST_RECORD_WAIT: Final = 1.0
# An answer "no such job" is given only if the store acknowledged an append
# within this, else a successor may know more.
CURRENT_WITHIN: Final = 1.5
