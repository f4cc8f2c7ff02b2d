"""Serves an ASGI app on one address."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

from hypercorn.config import Config
from hypercorn.trio import run, serve, tcp_server
import trio

from pimentocross.links.asgi import App, Receive, Scope, Send

_BACKLOG: Final = 1024
_READ_TIMEOUT: Final = 60


class _PromptTcpServer(tcp_server.TCPServer):
    """Lets a connection go as soon as the other side has closed it.

    The library holds it, and its file, for the whole idle timeout, so that a
    flood of closed connections kept others out for as long.
    """

    async def _read_data(self) -> None:
        await super()._read_data()
        await self.idle_task.stop()


# The library makes its connections under this name.
run.TCPServer = _PromptTcpServer  # type: ignore[attr-defined]


class HttpListener(NamedTuple):
    """Limits of one listener.

    Attributes:
        host: IP number to listen on.
        port: Port, 0 for any free one.
        headers_most: Longest head of a request in bytes.
        idle_timeout: Seconds after which an idle connection is closed.
        graceful_timeout: Seconds that a stop lets requests finish.
    """

    host: str
    port: int
    headers_most: int = 16 * 1024
    idle_timeout: float = 10.0
    graceful_timeout: float = 10.0


async def serve_http(
    app: App,
    listener: HttpListener,
    shutdown: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until `shutdown` returns; reports the port once it listens."""
    config = Config()
    config.bind = [f"{listener.host}:{listener.port}"]
    config.backlog = _BACKLOG
    config.h11_max_incomplete_size = listener.headers_most
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
    """Returns an app that answers the server's start and stop as well."""

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
