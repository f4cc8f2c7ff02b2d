"""Tells peers the targets of the cells that this entry process runs."""

from typing import Final

import trio

from pimentocross.entry.membership import Peers
from pimentocross.entry.ownership import CellKeeper
from pimentocross.entry.targets import TargetBook
from pimentocross.links.messages import EntryLink, PushTargets
from pimentocross.links.peer import PeerUnreachableError

_PUSH_TIMEOUT: Final = 3.0


class TargetPushes:
    """Targets of this process's cells, told to all peers when they change."""

    def __init__(
        self, keeper: CellKeeper, book: TargetBook, peers: Peers
    ) -> None:
        """Takes whose targets are told, and to whom."""
        self._keeper = keeper
        self._book = book
        self._peers = peers
        self._version = 0
        self._changed = trio.Event()

    def note_change(self) -> None:
        """Has `run` tell all peers."""
        self._changed.set()

    async def tell(self, link: EntryLink) -> None:
        """Tells one peer all targets.

        Raises:
            PeerUnreachableError: No answer.
        """
        for push in self._pushes():
            await link.ask(push, _PUSH_TIMEOUT)

    async def run(self) -> None:
        """Tells changes for ever."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            self._version += 1
            pushes = self._pushes()
            for push in pushes:
                self._book.put(*push)
            async with trio.open_nursery() as nursery:
                for link in self._peers.live():
                    nursery.start_soon(self._push_to, link, pushes)

    def _pushes(self) -> list[PushTargets]:
        return [
            PushTargets(name, owner.epoch, self._version, owner.targets())
            for name, owner in self._keeper.owned.items()
            if owner.opened
        ]

    @staticmethod
    async def _push_to(link: EntryLink, pushes: list[PushTargets]) -> None:
        try:
            for push in pushes:
                await link.ask(push, _PUSH_TIMEOUT)
        except PeerUnreachableError:
            # It is told again once it is connected.
            return
