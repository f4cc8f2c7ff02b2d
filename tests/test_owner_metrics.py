"""Tests logs and metrics of an owner's event loop, passes and take-over.

Failure pattern: the owner of a cell of 246 workers had no CPU time left for
84 s, and successors were replaced during their take-over. No log line or metric
showed the delay of the event loop, the time spent in passes, the number of
unanswered calls, or the progress of a take-over: there were only `owner_begins`
and `owner_ready`.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
import tempfile
import time
from unittest import mock

import trio

from bench.large_jobs import best_effort_job
from pimentocross.cli.log_lines import LogLine, read_lines
from pimentocross.observe import decisions
from pimentocross.observe.decisions import DecisionLog
from pimentocross.observe.histograms import Histograms
from pimentocross.observe.metrics import render
from pimentocross.platform.__main__ import build_node
from pimentocross.platform.settings import read_settings
from pimentocross.standins.store import StoreStandin
from tests.owner_fixtures import (
    QUEUE,
    chain,
    make_owner,
    make_worker_pool,
    running,
    wait_until,
)
from tests.platform_fixtures import loopback_platform, write_settings
from tests.slow_vm import (
    ChargingClock,
    make_large_worker_pool,
    plan_of,
    run_on_slow_vm,
)
from tests.test_http import real_time

_WORKERS = 4


@contextmanager
def _enabled_log() -> Iterator[DecisionLog]:
    """Enables a new decision log for the block."""
    log = DecisionLog()
    log.enabled = True
    with (
        mock.patch.object(decisions, "_log", log),
        # Otherwise lines go to the output of the tests.
        mock.patch.object(log, "flush"),
    ):
        yield log


def _lines(log: DecisionLog, kind: str) -> list[LogLine]:
    lines = read_lines(log.recent().decode())
    return [line for line in lines if line.kind == kind]


def _metrics() -> dict[str, float]:
    """Returns the values of the metrics page by name and labels."""
    page = render(Histograms(), {}).decode().splitlines()
    rows = [line.rsplit(" ", 1) for line in page if line[0] != "#"]
    return {name: float(value) for name, value in rows}


def _increase(before: dict[str, float], name: str) -> float:
    now = _metrics()
    assert name in now, sorted(now)
    return now[name] - before.get(name, 0.0)


async def test_a_take_over_tells_each_of_its_phases() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(_WORKERS)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("j1", QUEUE, chain(2, 3))
        await wait_until(lambda: bool(worker_pool.journal))
        await trio.sleep(0.1)
    with _enabled_log() as log:
        async with running(make_owner(store, worker_pool, 2)):
            await trio.sleep(8.0)
    (read,) = _lines(log, "owner_read")
    assert (read.fields["epoch"], read.fields["jobs"]) == (2, 1)
    assert read.fields["seconds"] >= 0.0
    adopted = _lines(log, "owner_adopts")
    assert adopted[-1].fields["workers"] == _WORKERS
    assert adopted[-1].fields["of"] == _WORKERS
    (started,) = _lines(log, "owner_starts")
    assert started.fields["epoch"] == 2
    assert started.fields["seconds"] > 0.0


async def test_a_take_over_that_lacks_workers_says_how_many() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(_WORKERS)
    worker_pool.cut["a"] = {"w1-0"}
    with _enabled_log() as log:
        async with running(make_owner(store, worker_pool, 1)):
            await trio.sleep(30.0)
            worker_pool.cut["a"].clear()
            await trio.sleep(3.0)
    worker_counts = [
        line.fields["workers"] for line in _lines(log, "owner_adopts")
    ]
    # Logged when the number changes, not each second.
    assert worker_counts == [_WORKERS - 1, _WORKERS], worker_counts


async def test_calls_that_workers_leave_unanswered_are_counted() -> None:
    before = _metrics()
    store, worker_pool = StoreStandin(), make_worker_pool(_WORKERS)
    async with running(make_owner(store, worker_pool, 1)):
        await trio.sleep(2.0)
        worker_pool.cut["a"].update({"w0-0", "w1-0"})
        await trio.sleep(5.0)
    unanswered = 'pimentocross_calls_unanswered_total{call="hold"}'
    assert _increase(before, unanswered) >= 4
    assert _increase(before, "pimentocross_holds_total") >= 4 * 5


def test_passes_and_what_they_take_are_counted() -> None:
    before = _metrics()
    seconds = run_cell_on_slow_vm()
    passes = _increase(before, "pimentocross_passes_total")
    took = _increase(before, "pimentocross_pass_seconds_total")
    assert passes > 5
    assert 0.01 < took < seconds, (passes, took)
    assert _increase(before, "pimentocross_processor_seconds_total") > 0.0


def run_cell_on_slow_vm() -> float:
    """Runs a cell with jobs on a slow VM; returns the duration in seconds."""
    took = 0.0

    async def run(clock: ChargingClock) -> None:
        nonlocal took
        worker_pool = make_large_worker_pool(clock, 20, plan_of)
        began = trio.current_time()
        async with running(make_owner(StoreStandin(), worker_pool, 1)) as owner:
            for number in range(6):
                job = f"fill{number}"
                await owner.job_api.submit(job, QUEUE, best_effort_job(number))
            await trio.sleep(3.0)
        took = trio.current_time() - began

    run_on_slow_vm(2.0, run)
    return took


@real_time
async def test_a_loop_that_is_late_tells_so_at_most_once_a_second() -> None:
    before = _metrics()
    with _enabled_log() as log:
        async with loopback_platform() as platform:
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "settings"
                write_settings(path, "vm1", platform.store_address)
                node, handlers = build_node(read_settings(path))
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(node.run, handlers)
                    await trio.sleep(0.5)
                    for _ in range(4):
                        time.sleep(0.4)  # noqa: ASYNC251
                        await trio.sleep(0.1)
                    gauges = node.gauges()
                    nursery.cancel_scope.cancel()
    late = [line for line in _lines(log, "late") if line.fields["late"] >= 0.3]
    assert 1 <= len(late) <= 3, late
    # No pass ran during the stall, and no CPU time was used.
    assert late[0].fields["passes"] < 0.2, late
    assert late[0].fields["processor"] < 0.3, late
    assert _increase(before, "pimentocross_loop_late_seconds_total") > 1.0
    assert gauges["loop_late_most_seconds"] >= 0.3, gauges
