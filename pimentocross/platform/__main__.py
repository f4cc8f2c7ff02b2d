"""Entry point of an entry VM's process on the users' platform."""

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
    CallerHandler,
    MetricsHandler,
    ReadinessHandler,
)
from pimentocross.platform.settings import (
    SettingsError,
    read_settings,
    settings_path,
)
from pimentocross.platform.store import StoreClient
from pimentocross.platform.topics import OperatorTopic, WorkerTopic
from pimentocross.platform.workers import HttpWorkerDialer

_EXIT_USAGE = 2
# Net allocations that trigger a collection of the youngest generation. With
# Python's default of 700, collections took an eighth of the CPU time of an
# owner of 246 workers, although its garbage hardly ever has cycles; with this
# value they take a sixtieth.
_GC_YOUNG_THRESHOLD: Final = 10_000
# Collections of one generation that trigger one of the next. An owner's full
# collections scan only objects allocated since the previous one, so they are
# shorter if they run more often.
_GC_MIDDLE_THRESHOLD: Final = 5
_GC_FULL_THRESHOLD: Final = 0


def build_node(settings: GatewaySettings) -> tuple[GatewayNode, HttpHandlers]:
    """Returns the entry VM's node and the handlers of its HTTP requests."""
    store = StoreClient(settings.store_address)
    adviser = None
    if settings.adviser_address:
        adviser = HttpAdviser(settings.adviser_address)
    platform = CellPlatform(
        store,
        WorkerTopic(store),
        HttpWorkerDialer(),
        adviser,
        make_terms(
            settings.lease_most,
            settings.ended_least,
            settings.descriptors,
            settings.record_bytes,
        ),
        switches=settings.switches,
    )
    node = GatewayNode(settings, platform, OperatorTopic(store))
    handlers = HttpHandlers(
        CallerHandler(node.request_handler, settings.record_bytes).handle,
        ReadinessHandler(node.request_handler).handle,
        MetricsHandler(node.request_handler, node.gauges).handle,
    )
    return node, handlers


async def _run(settings: GatewaySettings) -> None:
    node, handlers = build_node(settings)
    async with trio.open_nursery() as nursery:
        await nursery.start(_handle_signals, node)
        await node.run(handlers)
        nursery.cancel_scope.cancel()


async def _handle_signals(
    node: GatewayNode, *, task_status: trio.TaskStatus[None]
) -> None:
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*handled) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGHUP:
                # A reload changes nothing: addresses are fixed while a process
                # runs, and the configuration is read from the store.
                note("reload", outcome="nothing that is used may change")
            else:
                node.request_stop()


def configure_collector() -> None:
    """Sets the garbage collector's thresholds for the whole process."""
    gc.set_threshold(
        _GC_YOUNG_THRESHOLD, _GC_MIDDLE_THRESHOLD, _GC_FULL_THRESHOLD
    )


def main() -> int:
    """Runs the process until it is stopped and returns its exit code."""
    try:
        settings = read_settings(settings_path())
    except SettingsError as error:
        for finding in error.findings:
            sys.stderr.write(f"pimentocross: {finding}\n")
        return _EXIT_USAGE
    enable(settings.name)
    configure_collector()
    trio.run(_run, settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
