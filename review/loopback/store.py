"""The platform's store as a process: `store.py PORT`.

It serves the project's stand-in of the store, and removes the entry of a worker
that hasn't written for three status report intervals.
"""

import sys
from typing import Final

import trio

from pimentocross.contracts.store import Record
from pimentocross.links.asgi import HttpReply, HttpRequest
from pimentocross.links.listener import HttpListener, ListenerLimits
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.users_platform import StoreHandler

HOST: Final = "127.0.0.1"
ENTRY_LIFETIME: Final = 4.5
_SERVERS: Final = "servers"


class Platform:
    """The store's handler, with the expiry of workers' entries."""

    def __init__(self) -> None:
        """Initializes an empty store."""
        self._store = StoreStandin()
        self._handler = StoreHandler(self._store)
        self._seen = 0
        self._written_at: dict[str, float] = {}

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answers one call."""
        return await self._handler.handle(request)

    async def expire_entries(self) -> None:
        """Removes silent workers' entries, forever."""
        while True:
            await trio.sleep(0.1)
            now = trio.current_time()
            topic = self._store.topic(_SERVERS)
            for record in topic.records[self._seen :]:
                if record.value is None:
                    self._written_at.pop(record.key, None)
                else:
                    self._written_at[record.key] = now
            self._seen = len(topic.records)
            for key, at in list(self._written_at.items()):
                if now - at > ENTRY_LIFETIME:
                    topic.append([Record(key, None)])


async def _main(port: int) -> None:
    platform = Platform()
    limits = ListenerLimits(body_bytes=4 * 2**20, idle_timeout=60.0)
    listener = HttpListener(platform.handle, lambda: limits)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(platform.expire_entries)
        nursery.start_soon(listener.serve, f"{HOST}:{port}")


if __name__ == "__main__":
    trio.run(_main, int(sys.argv[1]))
