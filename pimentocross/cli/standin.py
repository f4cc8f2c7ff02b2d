"""Commands that run one stand-in of the platform as a process."""

from pathlib import Path
import sys
from typing import Annotated

import trio
import typer

from pimentocross.backing.http import JsonClient
from pimentocross.backing.vms import Vm, VmRole, VmState
from pimentocross.backing.workers import Resources
from pimentocross.links.asgi import App
from pimentocross.links.http_server import HttpListener, serve_http
from pimentocross.standins.journal import Journal
from pimentocross.standins.log import LogStandin, make_log_app
from pimentocross.standins.service import ServiceStandin, make_service_app
from pimentocross.standins.vms import VmListStandin, make_vms_app
from pimentocross.standins.worker import (
    WorkerShape,
    WorkerStandin,
    make_worker_app,
)

app = typer.Typer(
    help="Runs a simulated part of the platform, for trials and tests.",
    no_args_is_help=True,
)

Host = Annotated[str, typer.Option("--host")]
Port = Annotated[int, typer.Option("--port")]
JournalFile = Annotated[Path | None, typer.Option("--journal")]

_REGISTER_TIMEOUT = 5.0


@app.command()
def log(
    host: Host = "127.0.0.1",
    port: Port = 7081,
    retention: Annotated[
        float, typer.Option(help="Seconds that records are kept.")
    ] = 3600.0,
    seed: int = 0,
) -> None:
    """Runs a log service that keeps its records in memory."""
    standin = LogStandin(retention, seed)
    trio.run(_serve, make_log_app(standin), host, port)


@app.command()
def vms(
    host: Host = "127.0.0.1",
    port: Port = 7082,
    lag: Annotated[
        float, typer.Option(help="Seconds by which the list is late.")
    ] = 1.0,
) -> None:
    """Runs a VM list that shows changes late."""
    trio.run(_serve, make_vms_app(VmListStandin(lag)), host, port)


@app.command()
def service(
    name: str = "target",
    host: Host = "127.0.0.1",
    port: Port = 7084,
    service_time: Annotated[
        float, typer.Option(help="Mean, in seconds.")
    ] = 0.005,
    slots: int = 8,
    journal: JournalFile = None,
) -> None:
    """Runs a target that replies to requests for any service."""
    standin = ServiceStandin(
        name,
        name,
        _open_journal(journal),
        service_time=service_time,
        slots=slots,
    )
    trio.run(_serve, make_service_app(standin), host, port)


@app.command()
def worker(
    name: str,
    zone: Annotated[str, typer.Option(help="Its availability zone.")],
    vm_list: Annotated[str, typer.Option(help="host:port to register at.")],
    key: Annotated[
        str,
        typer.Option(
            envvar="PIMENTOCROSS_WORKER_KEY", help="Key that it requires."
        ),
    ],
    host: Host = "127.0.0.1",
    port: Port = 7083,
    service_port: int = 0,
    rack: str = "rack-0",
    processors: float = 16.0,
    memory: int = 60_000_000_000,
    accelerators: int = 0,
    slots: int = 8,
    connections: int = 64,
    service_time: Annotated[
        float, typer.Option(help="Mean, in seconds.")
    ] = 0.005,
    journal: JournalFile = None,
) -> None:
    """Runs a worker whose tasks sleep instead of working."""
    capacity = Resources(processors, memory, accelerators, slots)
    shape = WorkerShape(name, zone, capacity, connections)
    standin = WorkerStandin(shape, _open_journal(journal), service_time)
    vm = Vm(
        name,
        VmRole.WORKER,
        f"{host}:{port}",
        zone,
        rack,
        VmState.LIVE,
        standin.incarnation,
    )
    trio.run(_run_worker, standin, key, vm, service_port, vm_list)


def _open_journal(path: Path | None) -> Journal:
    if path is None:
        return Journal()
    return Journal(path.open("ab", buffering=0))


async def _serve(
    asgi: App,
    host: str,
    port: int,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    listener = HttpListener(host, port, graceful_timeout=1.0)
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(
            serve_http, asgi, listener, trio.sleep_forever
        )
        typer.echo(f"listens on {host}:{bound}")
        sys.stdout.flush()
        task_status.started(bound)


async def _run_worker(
    standin: WorkerStandin, key: str, vm: Vm, service_port: int, vm_list: str
) -> None:
    host, _, port = vm.address.rpartition(":")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(standin.run)
        bound = await nursery.start(
            _serve, make_service_app(standin.service), host, service_port
        )
        standin.service_address = f"{host}:{bound}"
        await nursery.start(
            _serve, make_worker_app(standin, key), host, int(port)
        )
        client = JsonClient(vm_list)
        await client.request_json(
            "PUT", f"/vms/{vm.name}", vm, _REGISTER_TIMEOUT
        )
