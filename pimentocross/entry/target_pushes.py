"""Pushes the targets of the cells owned here to all other entry VMs."""

from typing import Final

import trio

from pimentocross.entry.membership import Peers
from pimentocross.entry.ownership import CellManager
from pimentocross.entry.targets import TargetRegistry
from pimentocross.links.messages import EntryLink, PushTargets
from pimentocross.links.peer import PeerUnreachableError

_PUSH_TIMEOUT: Final = 3.0


class TargetPublisher:
    """Pushes the targets of this process's cells when they change."""

    def __init__(
        self,
        cell_manager: CellManager,
        target_registry: TargetRegistry,
        peers: Peers,
    ) -> None:
        """Initializes the publisher.

        Args:
            cell_manager: Runs the cells whose targets are pushed.
            target_registry: This process's own registry; updated as well.
            peers: Links to the other entry VMs.
        """
        self._cell_manager = cell_manager
        self._target_registry = target_registry
        self._peers = peers
        self._version = 0
        self._changed = trio.Event()

    def notify_change(self) -> None:
        """Makes `run` push the targets to all peers."""
        self._changed.set()

    async def push_all_to(self, link: EntryLink) -> None:
        """Pushes all targets to one peer.

        Raises:
            PeerUnreachableError: The peer did not reply.
        """
        for push in self._make_pushes():
            await link.ask(push, _PUSH_TIMEOUT)

    async def run(self) -> None:
        """Pushes targets after each change, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            self._version += 1
            pushes = self._make_pushes()
            for push in pushes:
                self._target_registry.update_cell(*push)
            async with trio.open_nursery() as nursery:
                for link in self._peers.live():
                    nursery.start_soon(self._push_to, link, pushes)

    def _make_pushes(self) -> list[PushTargets]:
        return [
            PushTargets(name, owner.epoch, self._version, owner.targets())
            for name, owner in self._cell_manager.owned.items()
            if owner.opened
        ]

    @staticmethod
    async def _push_to(link: EntryLink, pushes: list[PushTargets]) -> None:
        try:
            for push in pushes:
                await link.ask(push, _PUSH_TIMEOUT)
        except PeerUnreachableError:
            # The peer gets all targets again once it is connected.
            return
