"""Runs an entry VM's process on the users' platform."""

import gc
import signal
import sys
from typing import Final

import trio

from pimentocross.gateway.node import GatewayNode, HttpHandlers
from pimentocross.gateway.settings import GatewaySettings
from pimentocross.observe.decisions import enable, note
from pimentocross.owner.owner import CellPlatform
from pimentocross.owner.terms import make_terms
from pimentocross.platform.adviser import HttpAdviser
from pimentocross.platform.callers import (
    CallerSurface,
    MetricsSurface,
    ReadySurface,
)
from pimentocross.platform.settings import (
    SettingsError,
    read_settings,
    settings_path,
)
from pimentocross.platform.store import StoreClient
from pimentocross.platform.topics import OperatorTopic, ServerTopic
from pimentocross.platform.workers import HttpWorkerDialer

_USAGE = 2
# Objects made, less those freed, before cycles are looked for among them. At
# Python's 700 that took an owner of 246 workers an eighth of its processor
# time, for garbage that hardly ever has cycles; now a sixtieth.
_MADE_BEFORE_COLLECTING: Final = 10_000
# Collections of one generation before one of the next. An owner's full ones
# look only through what came since the last: the more often, the shorter.
_BEFORE_MIDDLE: Final = 5
_BEFORE_FULL: Final = 0


def build(settings: GatewaySettings) -> tuple[GatewayNode, HttpHandlers]:
    """Returns the process's parts, and what answers its HTTP requests."""
    store = StoreClient(settings.store_address)
    adviser = None
    if settings.adviser_address:
        adviser = HttpAdviser(settings.adviser_address)
    platform = CellPlatform(
        store,
        ServerTopic(store),
        HttpWorkerDialer(),
        adviser,
        make_terms(
            settings.lease_most, settings.ended_least, settings.descriptors
        ),
        switches=settings.switches,
    )
    node = GatewayNode(settings, platform, OperatorTopic(store))
    surfaces = HttpHandlers(
        CallerSurface(node.request_handler).handle,
        ReadySurface(node.request_handler).handle,
        MetricsSurface(node.request_handler, node.gauges).handle,
    )
    return node, surfaces


async def _run(settings: GatewaySettings) -> None:
    node, surfaces = build(settings)
    async with trio.open_nursery() as nursery:
        await nursery.start(_follow_signals, node)
        await node.run(surfaces)
        nursery.cancel_scope.cancel()


async def _follow_signals(
    node: GatewayNode, *, task_status: trio.TaskStatus[None]
) -> None:
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*wanted) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGHUP:
                # Addresses don't change within a process's life, and the
                # configuration comes through the store.
                note("reload", outcome="nothing that is used may change")
            else:
                node.request_stop()


def prepare() -> None:
    """Sets what holds for the whole process."""
    gc.set_threshold(_MADE_BEFORE_COLLECTING, _BEFORE_MIDDLE, _BEFORE_FULL)


def main() -> int:
    """Runs until stopped; returns the exit code."""
    try:
        settings = read_settings(settings_path())
    except SettingsError as error:
        for finding in error.findings:
            sys.stderr.write(f"pimentocross: {finding}\n")
        return _USAGE
    enable(settings.name)
    prepare()
    trio.run(_run, settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
