"""Tests the platform adapter and whole processes on loopback."""

import os
from pathlib import Path
import signal
import subprocess
import sys
import tempfile

import msgspec
import trio

from pimentocross.links.http_pool import HttpPool
from pimentocross.observe.decisions import DECISIONS_PATH
from pimentocross.platform.settings import SettingsError, read_settings
from pimentocross.platform.wire import (
    WireError,
    read_config,
    read_hold,
    read_submission,
    read_worker,
)
from pimentocross.work.spec import SpecError, check_spec
from tests.owner_fixtures import (
    count,
    find_overlapping_starts,
    find_starts_after_success,
)
from tests.platform_fixtures import (
    PREFIX,
    Caller,
    job_body,
    loopback_platform,
    running_node,
    wait_until_ready,
    write_settings,
)
from tests.test_http import real_time


async def _wait_until_accepted(caller: Caller, job: str) -> None:
    with trio.fail_after(15):
        while True:
            try:
                reply = await caller.call("POST", PREFIX + job, job_body())
            except Exception:
                reply = None
            if reply is not None and reply.status == 200:
                break
            await trio.sleep(0.05)
        # A VM accepts jobs without an owner; only the owner knows their state.
        while await caller.state(job) == "503":
            await trio.sleep(0.05)
    assert await caller.state(job) != "410", "an accepted job is known"


async def _wait_until_state(caller: Caller, job: str, state: str) -> None:
    with trio.fail_after(15):
        while await caller.state(job) != state:
            await trio.sleep(0.05)


@real_time
async def test_a_job_is_served_through_the_whole_path() -> None:
    async with loopback_platform() as platform:
        async with running_node(platform, "vm1") as (_, values):
            await wait_until_ready(values)
            caller = Caller(values["listen_addrs.frontend"])
            await _wait_until_accepted(caller, "aa01")
            await _wait_until_accepted(caller, "aa01")
            await _wait_until_state(caller, "aa01", "completed")
            assert await caller.state("unknown") == "410"
            reply = await caller.call("GET", PREFIX)
            assert msgspec.json.decode(reply.body) == {"pending": 0}
            reply = await caller.call("GET", "/no/such/queue")
            assert reply.status == 404
            reply = await caller.call("DELETE", PREFIX + "aa01")
            assert reply.status == 200
            reply = await caller.call("DELETE", PREFIX + "unknown")
            assert reply.status == 410
            metrics = Caller(values["test.metrics"])
            page = (await metrics.call("GET", "/metrics")).body.decode()
            assert 'decisions_total{is="job_accepted"}' in page
            assert 'latency_ms_count{queue="route0"} 2' in page
            assert "pimentocross_owned_epoch" in page
    assert count(platform.journal, "start") == 4


@real_time
async def test_workers_that_restart_under_their_ids_repeat_no_job() -> None:
    async with loopback_platform() as platform:
        async with running_node(platform, "vm1") as (_, values):
            await wait_until_ready(values)
            caller = Caller(values["listen_addrs.frontend"])
            for number in range(24):
                job = f"aa{number:02}"
                await _wait_until_accepted(caller, job)
                if number % 8 == 7:
                    await _wait_until_state(caller, job, "completed")
                    for worker in platform.workers:
                        worker.restart()
            for number in range(24):
                await _wait_until_state(caller, f"aa{number:02}", "completed")
    assert not find_overlapping_starts(platform.journal)
    assert not find_starts_after_success(platform.journal)


@real_time
async def test_malformed_submissions_are_named_and_change_nothing() -> None:
    async with loopback_platform() as platform:
        async with running_node(platform, "vm1") as (_, values):
            await wait_until_ready(values)
            caller = Caller(values["listen_addrs.frontend"])
            await _wait_until_accepted(caller, "aa01")
            bodies: list[object] = [
                [],
                {},
                {"job_steps": []},
                {"job_steps": [{"count": 0}]},
                {"job_steps": [{"count": "many"}]},
                {"job_steps": [{"count": 1, "after": [0]}]},
            ]
            for body in bodies:
                reply = await caller.call("POST", PREFIX + "bad", body)
                assert reply.status == 400, body
                assert b"error" in reply.body
            huge = {"spec": "x" * 300_000, "job_steps": [{"count": 1}]}
            reply = await caller.call("POST", PREFIX + "bad", huge)
            assert reply.status == 413
            reply = await caller.call("PUT", PREFIX + "bad", {})
            assert reply.status == 405
            assert await caller.state("bad") == "410"


@real_time
async def test_a_caller_may_name_any_time_that_it_waits() -> None:
    """A negative deadline must not raise an error that ends the process."""
    async with loopback_platform() as platform:
        async with running_node(platform, "vm1") as (_, values):
            await wait_until_ready(values)
            caller = Caller(values["listen_addrs.frontend"])
            await _wait_until_accepted(caller, "aa01")
            pool = HttpPool(values["listen_addrs.frontend"])
            for deadline in (
                b"-5",
                b"0",
                b"nan",
                b"inf",
                b"-inf",
                b"1e400",
                b"x",
            ):
                headers = [(b"x-deadline-ms", deadline)]
                for method in ("GET", "DELETE"):
                    path = PREFIX + "unknown"
                    reply = await pool.call(method, path, b"", 5.0, headers)
                    assert reply.status in (410, 503, 504), (deadline, reply)
            assert await caller.state("unknown") == "410"


@real_time
async def test_a_route_is_gone_and_another_there_within_a_second() -> None:
    async with loopback_platform() as platform:
        async with running_node(platform, "vm1") as (_, values):
            await wait_until_ready(values)
            caller = Caller(values["listen_addrs.frontend"])
            await _wait_until_accepted(caller, "aa01")
            await platform.configure(5, "/new/")
            await trio.sleep(0.5)
            assert (await caller.call("GET", "/new/")).status == 200
            assert (await caller.call("GET", PREFIX)).status == 404
            # An older version that arrives late is ignored.
            await platform.configure(4, PREFIX)
            await trio.sleep(0.3)
            assert (await caller.call("GET", "/new/")).status == 200


@real_time
async def test_without_the_store_a_new_process_answers_503() -> None:
    async with loopback_platform() as platform:
        platform.store.faults.away = True
        async with running_node(platform, "vm1") as (_, values):
            await trio.sleep(0.5)
            caller = Caller(values["listen_addrs.frontend"])
            reply = await caller.call("POST", PREFIX + "aa01", job_body())
            assert reply.status == 503
            assert (b"retry-after", b"1") in reply.headers
            ready = Caller(values["listen_addrs.ready"])
            reply = await ready.call("GET", "/pimentocross/readyz")
            assert reply.status == 503


@real_time
async def test_any_vm_answers_and_another_takes_over_from_a_dead_owner() -> (
    None
):
    async with loopback_platform(seconds=1.0) as platform:
        async with running_node(platform, "vm2") as (_, second):
            await wait_until_ready(second)
            caller = Caller(second["listen_addrs.frontend"])
            async with running_node(platform, "vm1") as (_, first):
                await wait_until_ready(first)
                other = Caller(first["listen_addrs.frontend"])
                await _wait_until_accepted(other, "aa01")
                assert await caller.state("aa01") in ("queued", "running")
            await _wait_until_accepted(caller, "aa02")
            await _wait_until_state(caller, "aa01", "completed")
            await _wait_until_state(caller, "aa02", "completed")
    assert not find_overlapping_starts(platform.journal)
    assert not find_starts_after_success(platform.journal)


class _Process:
    """An entry VM that runs in a process of its own."""

    def __init__(self, folder: str, name: str, store: str) -> None:
        path = Path(folder) / name
        self.values = write_settings(path, name, store)
        self._environment = os.environ | {
            "PIMENTOCROSS_BOOT": str(path),
            "PIMENTOCROSS_METRICS_PORT": self.values["test.metrics"][10:],
        }
        self.started: subprocess.Popen[bytes] | None = None

    def start(
        self, stdout: int = subprocess.DEVNULL
    ) -> "subprocess.Popen[bytes]":
        self.started = subprocess.Popen(
            [sys.executable, "-m", "pimentocross.platform"],
            env=self._environment,
            stdout=stdout,
        )
        return self.started

    @property
    def caller(self) -> Caller:
        return Caller(self.values["listen_addrs.frontend"])


@real_time
async def test_killed_and_stopped_processes_lose_no_accepted_job() -> None:
    async with loopback_platform(seconds=0.5) as platform:
        with tempfile.TemporaryDirectory() as folder:
            vms = [
                _Process(folder, f"vm{n}", platform.store_address)
                for n in range(3)
            ]
            try:
                for vm in vms:
                    vm.start()
                for vm in vms:
                    await wait_until_ready(vm.values, 20)
                await _kill_in_turn(vms)
            finally:
                for vm in vms:
                    assert vm.started is not None
                    vm.started.kill()
                    vm.started.wait()
    assert not find_overlapping_starts(platform.journal)
    assert not find_starts_after_success(platform.journal)


async def _kill_in_turn(vms: list[_Process]) -> None:
    for number, vm in enumerate(vms):
        other = vms[(number + 1) % len(vms)].caller
        await _wait_until_accepted(vm.caller, f"aa{number}")
        assert vm.started is not None
        if number == 0:
            vm.started.send_signal(signal.SIGHUP)
            vm.started.send_signal(signal.SIGTERM)
            with trio.fail_after(8):
                while vm.started.poll() is None:
                    await trio.sleep(0.05)
            assert vm.started.returncode == 0
        else:
            vm.started.kill()
            vm.started.wait()
        vm.start()
        await _wait_until_accepted(other, f"ab{number}")
        await _wait_until_state(other, f"aa{number}", "completed")
        await wait_until_ready(vm.values, 20)


# About 50 log lines each, 7,000 in all: more than the queue (4,000 lines) and a
# pipe hold.
_LOAD_JOBS = 140


async def _submit_wide_jobs(vm: _Process) -> list[float]:
    """Submits wide jobs for at least 10 s; returns the sorted latencies."""
    latencies = []
    for number in range(_LOAD_JOBS):
        asked_at = trio.current_time()
        path = f"{PREFIX}{number:016x}"
        reply = await vm.caller.call("POST", path, job_body(12))
        assert reply.status == 200
        latencies.append(trio.current_time() - asked_at)
        await trio.sleep(0.05)
    return sorted(latencies)


async def _time_submissions(stdout: int, *, until: str) -> list[float]:
    """Submits jobs to a process whose output is not read or is discarded.

    Args:
        stdout: Destination of the process's output.
        until: Text that its metrics page must contain in the end.
    """
    async with loopback_platform(6, seconds=0.05) as platform:
        with tempfile.TemporaryDirectory() as folder:
            vm = _Process(folder, "vm1", platform.store_address)
            process = vm.start(stdout)
            try:
                await wait_until_ready(vm.values, 20)
                await _wait_until_accepted(vm.caller, "aa01")
                latencies = await _submit_wide_jobs(vm)
                metrics = Caller(vm.values["test.metrics"])
                with trio.fail_after(30):
                    while True:
                        page = await metrics.call("GET", "/metrics")
                        if until in page.body.decode():
                            break
                        await trio.sleep(0.2)
            finally:
                process.kill()
                process.communicate()
    return latencies


@real_time
async def test_a_reader_of_the_log_that_stalls_slows_no_request() -> None:
    lost = "pimentocross_log_lines_dropped_total{is="
    read = await _time_submissions(subprocess.DEVNULL, until="decisions_total")
    # Lines beyond the limits of rate, pipe and queue are dropped and counted.
    stalled = await _time_submissions(subprocess.PIPE, until=lost)
    middle = _LOAD_JOBS // 2
    assert stalled[middle] < 1.5 * read[middle] + 0.02


@real_time
async def test_a_live_process_is_asked_for_a_jobs_story() -> None:
    async with loopback_platform() as platform:
        async with running_node(platform, "vm1") as (_, values):
            await wait_until_ready(values)
            caller = Caller(values["listen_addrs.frontend"])
            await _wait_until_accepted(caller, "aa01")
            await _wait_until_state(caller, "aa01", "completed")
            metrics = Caller(values["test.metrics"])
            reply = await metrics.call("GET", DECISIONS_PATH)
            assert reply.status == 200
            assert (await metrics.call("GET", "/nothing")).status == 404


def test_settings_name_everything_that_is_wrong() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings"
        path.write_text("node_name=a\nnonsense\ninternal_ports=x,y\n", "utf-8")
        try:
            read_settings(path)
        except SettingsError as error:
            text = "\n".join(error.findings)
            for expected in ("settings:2: no '='", "zone is missing", "'x'"):
                assert expected in text, text
        else:
            raise AssertionError("settings without a zone were taken")


def test_settings_that_are_no_finite_numbers_are_named() -> None:
    # They raised other errors, of which the operator saw the traceback alone.
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings"
        write_settings(path, "vm1", "127.0.0.1:1")
        names = ("limits.max_fds", "bounds.grace_s", "platform.record_bytes")
        with path.open("a", encoding="utf-8") as file:
            for name, value in zip(names, ("inf", "nan", "1e999"), strict=True):
                file.write(f"{name}={value}\n")
            file.write("internal_ports=\u00b2\n")
        try:
            read_settings(path)
        except SettingsError as error:
            text = "\n".join(error.findings)
            for expected in (*names, "not a port number"):
                assert expected in text, text
        else:
            raise AssertionError("settings without numbers were taken")


@real_time
@real_time
@real_time
@real_time
def test_a_deployments_bound_on_changes_is_read_in_seconds() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings"
        write_settings(path, "vm1", "127.0.0.1:1")
        assert read_settings(path).config_within == 2.0
        with path.open("a", encoding="utf-8") as file:
            file.write("bounds.config_apply_ms=1500\n")
        assert read_settings(path).config_within == 1.5


def test_bodies_of_another_form_are_refused_by_name() -> None:
    for read in (
        read_config,
        read_submission,
        read_hold,
        lambda body: read_worker("w", body),
    ):
        for body in (b"", b"{", b"[]", b"null", b'{"version":"x"}', b"\xff"):
            try:
                read(body)
                raise AssertionError((read, body))
            except WireError:
                pass


def test_unknown_fields_are_ignored() -> None:
    spec = read_submission(
        b'{"spec":"x","color":1,"job_steps":[{"count":2,"shape":"round"}]}'
    )
    check_spec(spec)
    assert spec.steps[0].width == 2
    empty = read_submission(b'{"job_steps":[]}')
    try:
        check_spec(empty)
        raise AssertionError("a job without steps was taken")
    except SpecError as error:
        assert error.findings
