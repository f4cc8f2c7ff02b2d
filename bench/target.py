"""Computes the costs at the users' target size from the measured slopes."""

from pathlib import Path
import statistics
from typing import NamedTuple

from bench.capacity import Slope

DAY = 86_400.0
WORKERS = 4_300
JOBS_A_DAY = 69_000
STARTS_A_SECOND = 4_000
LATENCY_TASKS = 32_000
BATCH_TASKS = 73_000
TEAMS = 310
REGIONS = 8
ZONES = 23
CHANGES_A_DAY = 6_700
FAILURES_A_DAY = 46
RESTARTS_A_DAY = 880
CORE_BOUND = 0.016
BYTES_BOUND = 6_000.0
MEMORY_BOUND = 256e6

# Cells of about 47 workers, and three entry VMs in each zone.
CELLS = 92
ENTRIES = 69
# Bytes of a process with all libraries, from `python -m bench idle`.
BASE_MEMORY = 57e6
BUSY_INTERVAL = 1.0
IDLE_INTERVAL = 2.0
_IDLE_RUN = Path(__file__).parent.parent / "docs" / "measured" / "idle.txt"
_IDLE_CELL_WORKERS = 8
RECORD_BYTES = 435


def exchange_seconds() -> float:
    """Returns the owner's processor time for an exchange with a worker.

    The committed output of `python -m bench idle` gives the difference between
    a process that owns one cell of 8 workers and one that owns none.
    """
    shares: dict[str, list[float]] = {"0": [], "1": []}
    for row in _IDLE_RUN.read_text().splitlines():
        parts = row.split()
        if row.startswith("entry-") and parts[1] in shares:
            shares[parts[1]].append(float(parts[2]) / 100)
    owner, other = (statistics.mean(shares[n]) for n in ("1", "0"))
    return (owner - other) * IDLE_INTERVAL / _IDLE_CELL_WORKERS


class Line(NamedTuple):
    """A line of the table in `docs/CAPACITY.md`.

    Attributes:
        what: Role and kind of cost.
        value: Cost at the target size.
        unit: Unit of the value.
        bound: Upper limit of the value, or None.
    """

    what: str
    value: float
    unit: str
    bound: float | None

    @property
    def within_bound(self) -> str:
        """Returns "yes" or "NO" for the bound, or "-" if there is none."""
        if self.bound is None:
            return "-"
        return "yes" if self.value <= self.bound else "NO"


def lines(slopes: dict[str, Slope]) -> list[Line]:
    """Returns the costs of all roles."""
    return [
        *_member_lines(slopes),
        *_owner_lines(slopes),
        *_caller_lines(slopes),
        *_reader_lines(slopes),
        *_log_lines(slopes),
        *_failure_lines(slopes),
    ]


def _member_lines(slopes: dict[str, Slope]) -> list[Line]:
    heartbeats = (ENTRIES - 1) * 2.0
    region_heartbeats = (ENTRIES / REGIONS - 1) * 2.0 + (REGIONS - 1) * 2.0
    size = slopes["heartbeat, by targets in flight"].at(0)
    cost = slopes["a question to a peer, both ends, by questions"].each / 2e6
    return [
        Line("member, full mesh: bytes", heartbeats * size, "B/s", BYTES_BOUND),
        Line(
            "member, full mesh: processor",
            heartbeats * cost * 100,
            "% core",
            1.6,
        ),
        Line(
            "member, region and 7 links: bytes",
            region_heartbeats * size,
            "B/s",
            BYTES_BOUND,
        ),
        Line(
            "member, region and 7 links: processor",
            region_heartbeats * cost * 100,
            "% core",
            1.6,
        ),
    ]


def _owner_lines(slopes: dict[str, Slope]) -> list[Line]:
    workers = WORKERS / ENTRIES
    tasks = BATCH_TASKS / WORKERS + LATENCY_TASKS / WORKERS
    starts = STARTS_A_SECOND / WORKERS
    idle = slopes["exchange, by tasks started in it"].at(0)
    usage = slopes["exchange, by tasks with usage"].each * tasks
    each_start = slopes["exchange, by tasks started in it"].each
    per_worker = (idle + usage) / BUSY_INTERVAL + starts * each_start
    decision = slopes["a placement decision, by workers"].at(WORKERS / CELLS)
    decisions = STARTS_A_SECOND / ENTRIES
    exchanges = workers / BUSY_INTERVAL * exchange_seconds()
    jobs = slopes["memory of open jobs, by jobs"].each
    commitment = slopes["memory of commitments, by tasks"].each
    own_tasks = (BATCH_TASKS + LATENCY_TASKS) / ENTRIES
    memory = BASE_MEMORY + own_tasks * (jobs + commitment)
    return [
        Line("worker: bytes of its link", per_worker, "B/s", BYTES_BOUND),
        Line("cell owner: workers", workers, "", None),
        Line(
            "cell owner: bytes to workers",
            per_worker * workers,
            "B/s",
            BYTES_BOUND,
        ),
        Line(
            "cell owner: exchanges, processor", exchanges * 100, "% core", 1.6
        ),
        Line("cell owner: a decision", decision, "us", None),
        Line(
            "cell owner: decisions at the peak, processor",
            decision * decisions / 1e4,
            "% core",
            1.6,
        ),
        Line("cell owner: memory", memory / 1e6, "MB", MEMORY_BOUND / 1e6),
        Line("cell owner: tasks", own_tasks, "", None),
    ]


def _caller_lines(slopes: dict[str, Slope]) -> list[Line]:
    bytes_per_target = slopes["targets told, by targets"].each
    return [
        Line(
            "caller side: all targets told once",
            bytes_per_target * LATENCY_TASKS,
            "B",
            None,
        ),
        Line(
            "caller side: targets of one region",
            bytes_per_target * LATENCY_TASKS / REGIONS,
            "B",
            None,
        ),
        Line(
            "caller side: targets told at each change of a cell",
            bytes_per_target * LATENCY_TASKS / CELLS,
            "B",
            None,
        ),
    ]


def _reader_lines(slopes: dict[str, Slope]) -> list[Line]:
    check = slopes["checking a configuration, by teams"].at(TEAMS)
    changes = CHANGES_A_DAY / DAY
    return [
        Line("configuration reader: a change", check, "ms", 8_000.0),
        Line(
            "configuration reader: processor",
            check * changes / 10,
            "% core",
            1.6,
        ),
        Line(
            "configuration reader: bytes, a file of 1 kB each",
            changes * 1_200,
            "B/s",
            BYTES_BOUND,
        ),
    ]


def _log_lines(slopes: dict[str, Slope]) -> list[Line]:
    ends = slopes["appends for ends at 100/s, by ends"].each
    per_cell = STARTS_A_SECOND / CELLS
    # The writer's linger limits the appends of a cell, whatever the number of
    # ends.
    end_appends = min(ends * 100, per_cell) * CELLS
    accepts = JOBS_A_DAY / DAY * 10
    members = (FAILURES_A_DAY + RESTARTS_A_DAY) * 4 / DAY
    snapshots = (CELLS + 3) / 900.0
    records = per_cell * RECORD_BYTES
    snapshot = slopes["snapshot of open jobs, by jobs"].at(BATCH_TASKS / CELLS)
    return [
        Line("log: appends of job ends at the peak", end_appends, "1/s", 300.0),
        Line(
            "log: appends of accepted jobs, ten times the mean",
            accepts,
            "1/s",
            300.0,
        ),
        Line("log: appends of members and owners", members, "1/s", 300.0),
        Line(
            "log: appends of configuration", CHANGES_A_DAY / DAY, "1/s", 300.0
        ),
        Line("log: appends of snapshots", snapshots, "1/s", 300.0),
        Line(
            "log: bytes of one cell's records at the peak",
            records,
            "B/s",
            BYTES_BOUND,
        ),
        Line(
            "snapshot writer: a cell's snapshot", snapshot / 1e3, "kB", 1_000.0
        ),
        Line(
            "snapshot writer: processor for one",
            slopes["making a snapshot, by jobs"].at(BATCH_TASKS / CELLS) / 1e3,
            "ms",
            None,
        ),
    ]


def _failure_lines(slopes: dict[str, Slope]) -> list[Line]:
    bytes_per_target = slopes["targets told, by targets"].each
    shared = bytes_per_target * LATENCY_TASKS + TEAMS * 1_000.0
    fold = slopes["folding a job's records, by jobs"].each
    jobs = BATCH_TASKS / CELLS
    rack = 8 * (BATCH_TASKS + LATENCY_TASKS) / WORKERS
    zone = (BATCH_TASKS + LATENCY_TASKS) / ZONES
    start = slopes["exchange, by tasks started in it"].each
    return [
        Line("cold start: bytes until it serves", shared / 1e6, "MB", None),
        Line(
            "take-over of a cell: folding its open jobs",
            jobs * fold / 1e3,
            "ms",
            None,
        ),
        Line("loss of a rack of 8: tasks started again", rack, "", None),
        Line(
            "loss of a rack of 8: bytes of starts",
            rack * start / 1e3,
            "kB",
            None,
        ),
        Line("loss of a zone: tasks started again", zone, "", None),
        Line(
            "loss of a zone: seconds of starts at the peak rate",
            zone / STARTS_A_SECOND,
            "s",
            3.7,
        ),
        Line(
            "restarts and failures a day: records",
            (FAILURES_A_DAY + RESTARTS_A_DAY) * 4.0,
            "",
            None,
        ),
    ]


def print_lines(found: list[Line]) -> None:
    """Prints the costs as a table."""
    print("what | at the target | unit | bound | carried today")
    for line in found:
        bound = "-" if line.bound is None else f"{line.bound:g}"
        print(
            f"{line.what} | {line.value:.4g} | {line.unit} | {bound} |"
            f" {line.within_bound}"
        )
