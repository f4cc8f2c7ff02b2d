"""Serves an ASGI app over HTTP on one address, with hypercorn."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

from hypercorn.config import Config
from hypercorn.trio import run, serve, tcp_server
import trio

from pimentocross.links.asgi import App, Receive, Scope, Send

_BACKLOG: Final = 1024
_READ_TIMEOUT: Final = 60


class _PromptClosingTcpServer(tcp_server.TCPServer):
    """Releases a connection as soon as the other side has closed it.

    hypercorn keeps a closed connection and its file descriptor until the idle
    timeout, so that a flood of closed connections blocked new ones as long.
    """

    async def _read_data(self) -> None:
        await super()._read_data()
        await self.idle_task.stop()


# hypercorn creates its connections by this name.
run.TCPServer = _PromptClosingTcpServer  # type: ignore[attr-defined]


class HttpListener(NamedTuple):
    """Address and limits of one listener.

    Attributes:
        host: IP address to listen on.
        port: Port to listen on, 0 for any free one.
        max_header_bytes: Maximum size of a request line and its headers.
        idle_timeout: Seconds after which an idle connection is closed.
        graceful_timeout: Seconds that running requests have at shutdown.
    """

    host: str
    port: int
    max_header_bytes: int = 16 * 1024
    idle_timeout: float = 10.0
    graceful_timeout: float = 10.0


async def serve_http(
    app: App,
    listener: HttpListener,
    shutdown: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves `app` until `shutdown` returns; reports the port when ready."""
    config = Config()
    config.bind = [f"{listener.host}:{listener.port}"]
    config.backlog = _BACKLOG
    config.h11_max_incomplete_size = listener.max_header_bytes
    config.keep_alive_timeout = listener.idle_timeout
    config.keep_alive_max_requests = 1_000_000
    config.graceful_timeout = listener.graceful_timeout
    config.read_timeout = _READ_TIMEOUT
    config.errorlog = None
    config.accesslog = None
    config.include_server_header = False
    config.include_date_header = False

    async def serve_app(task_status: Any) -> None:
        await serve(
            _http_only(app),  # type: ignore[arg-type]
            config,
            shutdown_trigger=shutdown,
            mode="asgi",
            task_status=task_status,
        )

    async with trio.open_nursery() as nursery:
        binds: list[str] = await nursery.start(serve_app)
        task_status.started(int(binds[0].rsplit(":", 1)[1]))


def _http_only(app: App) -> App:
    """Wraps an HTTP app: handles lifespan events and refuses WebSockets."""

    async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            await app(scope, receive, send)
        elif scope["type"] == "lifespan":
            await receive()
            await send({"type": "lifespan.startup.complete"})
            await receive()
            await send({"type": "lifespan.shutdown.complete"})
        else:
            await send({"type": "websocket.close", "code": 1003})

    return wrapped
