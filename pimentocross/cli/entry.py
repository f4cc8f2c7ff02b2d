"""The command that runs an entry process."""

from pathlib import Path
import resource
import signal
import sys
from typing import Annotated

import trio
import typer

from pimentocross.backing.clients import (
    HttpLogService,
    HttpVmList,
    HttpWorkerDialer,
)
from pimentocross.cli.const import ENV_PREFIX, ExitCode
from pimentocross.cli.options import read_secret
from pimentocross.cli.output import fail
from pimentocross.contracts import const
from pimentocross.contracts.authority import Timing
from pimentocross.entry.node import EntryNode, Platform, Ports, open_entry
from pimentocross.entry.settings import EntrySettings
from pimentocross.links.greeting import Credentials
from pimentocross.observe.logs import limit_accept_error_logs, log_to

_MAX_PEER_KEYS = 2
# File descriptors reserved for other uses than connections.
_RESERVED_FILES = 32


def _option(name: str, text: str) -> typer.models.OptionInfo:
    variable = ENV_PREFIX + name.strip("-").upper().replace("-", "_")
    option: typer.models.OptionInfo = typer.Option(
        name, envvar=variable, help=text
    )
    return option


def entry(
    name: Annotated[str, _option("--name", "This VM's name.")],
    zone: Annotated[str, _option("--zone", "Its availability zone.")],
    cluster: Annotated[str, _option("--cluster", "The cluster's name.")],
    log: Annotated[str, _option("--log", "host:port of the log service.")],
    vm_list: Annotated[str, _option("--vm-list", "host:port of the VM list.")],
    host: Annotated[
        str, _option("--host", "IP address to listen on and to register.")
    ] = "127.0.0.1",
    caller_port: Annotated[
        int, _option("--caller-port", "Port for callers.")
    ] = 7070,
    operator_port: Annotated[
        int, _option("--operator-port", "Port for operators.")
    ] = 7071,
    peer_port: Annotated[int, _option("--peer-port", "Port for peers.")] = 7072,
    peer_keys: Annotated[
        str, _option("--peer-keys", "One or two keys, comma-separated.")
    ] = "",
    peer_keys_file: Annotated[
        Path | None, _option("--peer-keys-file", "File with the keys.")
    ] = None,
    worker_key: Annotated[
        str, _option("--worker-key", "Key that workers require.")
    ] = "",
    worker_key_file: Annotated[
        Path | None, _option("--worker-key-file", "File with the key.")
    ] = None,
    operator_token: Annotated[
        str, _option("--operator-token", "Token that operators must send.")
    ] = "",
    operator_token_file: Annotated[
        Path | None, _option("--operator-token-file", "File with the token.")
    ] = None,
    retention: Annotated[
        float, _option("--retention", "Seconds that the log keeps records.")
    ] = 3600.0,
    confidence: Annotated[
        float, _option("--confidence", "Confidence window in seconds.")
    ] = const.CONFIDENCE_WINDOW,
    lease: Annotated[
        float, _option("--lease", "Lease of a task in seconds.")
    ] = const.LEASE,
    drain_notice: Annotated[
        float,
        _option("--drain-notice", "Seconds that the load balancer needs."),
    ] = 1.0,
    drain_timeout: Annotated[
        float, _option("--drain-timeout", "Seconds for open requests to end.")
    ] = 30.0,
    connections_most: Annotated[
        int, _option("--connections-most", "Limit of open connections.")
    ] = 4096,
    log_file: Annotated[
        str, _option("--log-file", "File for logs; - for standard error.")
    ] = "",
) -> None:
    """Runs an entry process until SIGTERM, SIGINT or a drain stops it."""
    keys = read_secret(peer_keys, peer_keys_file, "a peer key").split(",")
    if len(keys) > _MAX_PEER_KEYS:
        fail("at most two peer keys are valid at once", ExitCode.USAGE)
    settings = EntrySettings(
        name,
        zone,
        host,
        caller_port,
        operator_port,
        peer_port,
        Credentials(cluster, [key.strip().encode() for key in keys]),
        read_secret(operator_token, operator_token_file, "an operator token"),
        Timing(confidence, lease),
        retention,
        drain_notice,
        drain_timeout,
    )
    platform = Platform(
        HttpLogService(log),
        HttpVmList(vm_list),
        HttpWorkerDialer(
            read_secret(worker_key, worker_key_file, "a worker key")
        ),
    )
    _limit_open_files(connections_most)
    log_to(log_file)
    limit_accept_error_logs()
    trio.run(_run, settings, platform)


def _limit_open_files(most: int) -> None:
    """Limits the open files of the process, connections included.

    At the limit, the listeners accept no connection until another one closes.
    Idle connections are closed after a timeout, so the wait is bounded.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    soft = min(most + _RESERVED_FILES, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def _run(settings: EntrySettings, platform: Platform) -> None:
    node = EntryNode(settings, platform)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, node)
        async with open_entry(node, settings) as ports:
            _print_addresses(settings, ports)
            await node.wait_stop()
        nursery.cancel_scope.cancel()


def _print_addresses(settings: EntrySettings, ports: Ports) -> None:
    typer.echo(
        f"{settings.name} listens on {settings.host}: callers"
        f" {ports.caller}, operators {ports.operator}, peers {ports.peer}"
    )
    sys.stdout.flush()


async def _stop_on_signal(node: EntryNode) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.request_stop()
