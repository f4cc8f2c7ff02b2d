"""Tests the commands with a small cluster, and an entry VM as a process."""

from collections.abc import Callable
import json
import os
from pathlib import Path
import socket
import subprocess
import sys
import time

import trio
from typer.testing import CliRunner, Result

from pimentocross.cli.const import ExitCode
from pimentocross.cli.main import app
from pimentocross.observe import logs
from pimentocross.standins.dev import free_port
from tests.fixtures import FILES
from tests.test_http import open_served, real_time

_HOST = "127.0.0.1"


def _invoke(*arguments: str) -> Result:
    return CliRunner().invoke(app, list(arguments))


async def _run(*arguments: str) -> Result:
    return await trio.to_thread.run_sync(lambda: _invoke(*arguments))


def _write(folder: Path, name: str, text: str) -> None:
    (folder / name).write_text(text)


@real_time
async def test_commands_of_operators_and_callers() -> None:
    folder = Path(os.environ.get("TMPDIR", "/tmp")) / f"pmc-{os.getpid()}"
    folder.mkdir()
    _write(folder, "10.yaml", FILES["10.yaml"])
    async with open_served() as (cluster, _):
        operator = ["--operator", f"{_HOST}:{cluster.ports[0].operator}"]
        operator += ["--operator-token", "dev"]
        entry = ["--entry", f"{_HOST}:{cluster.ports[1].caller}"]
        assert (await _run("check", str(folder))).exit_code == 0
        assert (await _run("diff", str(folder), *operator)).exit_code == 0
        _write(folder, "20.yaml", "services: {stock: {replicas: 3}}\n")
        changed = await _run("diff", str(folder), *operator)
        assert changed.exit_code == ExitCode.FINDINGS
        assert "replicas: 3" in changed.output
        applied = await _run("apply", str(folder), *operator, "--json")
        assert applied.exit_code == 0
        assert json.loads(applied.output)["entry_vms"] == 2
        _write(folder, "30.yaml", "bogus: 1\n")
        wrong = await _run("apply", str(folder), *operator)
        assert wrong.exit_code == ExitCode.FINDINGS
        assert "30.yaml:1:1: bogus: unknown key" in wrong.output

        assert "answered" not in (await _run("status", *operator)).output
        status = json.loads((await _run("status", *operator, "--json")).output)
        assert {c["cell"] for row in status for c in row["cells"]} == {
            "north",
            "south",
        }
        vms = json.loads((await _run("vms", *operator, "--json")).output)
        assert len(vms) == 6
        called = await _run("call", "stock", "/shelf/1", *entry)
        assert json.loads(called.output)["path"] == "/shelf/1"
        job = (await _run("submit", "plan", *entry)).output.strip()
        jobs = json.loads((await _run("jobs", *operator, "--json")).output)
        assert [row["job"] for row in jobs] == [job]
        assert job in (await _run("why", job, *operator)).output
        assert (await _run("why", "nothing", *operator)).exit_code == 1
        assert "stock" in (await _run("histograms", *operator)).output
        assert (await _run("cancel", job, *entry)).exit_code in (0, 3)
        assert (await _run("drain", "north-w1", *operator)).exit_code == 0
        refused = await _run("call", "nothing", *entry)
        assert refused.exit_code == ExitCode.NOT_RUN
        wrong_token = ["--operator-token", "x"]
        denied = await _run("status", *operator, *wrong_token)
        assert denied.exit_code == ExitCode.NOT_RUN
    for path in folder.iterdir():
        path.unlink()
    folder.rmdir()


def test_unreachable_and_wrong_usage_have_their_exit_codes() -> None:
    nobody = ["--operator", f"{_HOST}:{free_port()}", "--operator-token", "x"]
    assert _invoke("status", *nobody).exit_code == ExitCode.UNREACHABLE
    assert _invoke("status").exit_code == ExitCode.USAGE
    keyless = ["entry", "--name=a", "--zone=z", "--cluster=c"]
    keyless += ["--log=x:1", "--vm-list=x:1"]
    assert _invoke(*keyless).exit_code == ExitCode.USAGE


def _wait(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 30
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def _health(port: int) -> bytes:
    try:
        with socket.create_connection((_HOST, port), timeout=2) as stream:
            stream.sendall(b"GET /-/health HTTP/1.1\r\nhost: x\r\n\r\n")
            return stream.recv(100)
    except OSError:
        return b""


def test_entry_process_survives_a_flood_of_connections() -> None:
    ports = [free_port() for _ in range(5)]
    environment = {
        **os.environ,
        "PIMENTOCROSS_PEER_KEYS": "k",
        "PIMENTOCROSS_WORKER_KEY": "k",
        "PIMENTOCROSS_OPERATOR_TOKEN": "t",
    }
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "pimentocross", "entry", "--name=a"),
            *("--zone=z", "--cluster=c", "--connections-most=20"),
            *(f"--log={_HOST}:{ports[0]}", f"--vm-list={_HOST}:{ports[1]}"),
            *(f"--caller-port={ports[2]}", f"--operator-port={ports[3]}"),
            f"--peer-port={ports[4]}",
        ],
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        _wait(lambda: _health(ports[2]).startswith(b"HTTP/1.1 503"))
        flood = [
            socket.create_connection((_HOST, ports[2]), timeout=5)
            for _ in range(200)
        ]
        held = len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
        assert held <= 20 + 32
        for stream in flood:
            stream.close()
        _wait(lambda: _health(ports[2]).startswith(b"HTTP/1.1 503"))
        process.terminate()
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()


@real_time
async def test_one_action_tree_spans_entry_vm_and_owner() -> None:
    seen: list[dict[str, object]] = []
    import eliot

    eliot.add_destinations(seen.append)
    logs._destinations.append("test")
    try:
        async with open_served() as (_, client):
            for entry in (0, 1):
                reply = await client.ask(
                    "POST",
                    "/jobs",
                    entry=entry,
                    content=b'{"class": "plan", "input": "secret body"}',
                )
                assert reply.status == 201
    finally:
        logs._destinations.clear()
        eliot.remove_destination(seen.append)
    trees: dict[object, set[object]] = {}
    for message in seen:
        kinds = trees.setdefault(message["task_uuid"], set())
        kinds.add(message.get("action_type"))
    assert [k for k in trees.values() if {"submit", "accept"} <= k]
    assert "secret" not in str(seen)
