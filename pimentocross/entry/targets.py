"""Targets of each service as all cells' owners tell, and which to take."""

from collections.abc import Iterable
import random
from typing import NamedTuple

import trio

from pimentocross.entry import const
from pimentocross.links.target import TargetLink
from pimentocross.zones.views import Target

# Latency that another availability zone is taken to add, in seconds.
_FAR_PENALTY = 0.001


class _CellTargets(NamedTuple):
    epoch: int
    version: int
    targets: list[Target]


class TargetBook:
    """Where services answer and how loaded each target is."""

    def __init__(self, zone: str, seed: int | None = None) -> None:
        """Takes the availability zone that this process is in."""
        self._zone = zone
        self._random = random.Random(seed)
        self._cells: dict[str, _CellTargets] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._links: dict[str, TargetLink] = {}
        self._near: set[str] = set()
        self._reported: dict[str, dict[str, int]] = {}
        self._leaving: set[str] = set()
        self._room = trio.Event()

    @property
    def links(self) -> dict[str, TargetLink]:
        """Links by address."""
        return self._links

    def services(self) -> dict[str, list[Target]]:
        """Returns targets by service."""
        return self._by_service

    def put(
        self, cell: str, epoch: int, version: int, targets: list[Target]
    ) -> None:
        """Takes a cell's targets, unless newer ones are known."""
        known = self._cells.get(cell)
        if known is not None and (epoch, version) < known[:2]:
            return
        self._cells[cell] = _CellTargets(epoch, version, targets)
        self._rebuild()

    def set_leaving(self, workers: Iterable[str]) -> None:
        """Takes the workers that the VM list says are leaving."""
        leaving = set(workers)
        if leaving != self._leaving:
            self._leaving = leaving
            self._rebuild()

    def note_elsewhere(
        self, process: str, in_flight: list[tuple[str, int]]
    ) -> None:
        """Takes another entry VM's requests in flight."""
        self._reported[process] = dict(in_flight)
        self._sum_elsewhere()

    def keep_processes(self, live: set[str]) -> None:
        """Drops what processes that are not live any more have told."""
        gone = self._reported.keys() - live
        for process in gone:
            del self._reported[process]
        if gone:
            self._sum_elsewhere()

    def in_flight(self) -> list[tuple[str, int]]:
        """Returns this process's requests in flight by address."""
        return [(a, k.in_flight) for a, k in self._links.items() if k.in_flight]

    def choose(
        self, service: str, tried: set[str] | frozenset[str] = frozenset()
    ) -> TargetLink | None:
        """Takes the better of two targets that have room, or None."""
        known = self._by_service.get(service, [])
        links = self._usable([self._links[t.address] for t in known])
        open_links = [
            link
            for link in links
            if link.has_room and link.address not in tried
        ]
        if not open_links:
            return None
        if len(open_links) == 1:
            return open_links[0]
        first, second = self._random.sample(open_links, 2)
        return min(first, second, key=self._cost)

    def is_known(self, service: str) -> bool:
        """True if some target runs the service."""
        return bool(self._by_service.get(service))

    def all_tried(self, service: str, tried: set[str]) -> bool:
        """True if no target is left that was not tried."""
        return all(
            t.address in tried for t in self._by_service.get(service, [])
        )

    def note_room(self) -> None:
        """Wakes those who wait for room at a target."""
        self._room.set()
        self._room = trio.Event()

    async def wait_room(self) -> None:
        """Waits until some target may have room."""
        await self._room.wait()

    def _usable(self, links: list[TargetLink]) -> list[TargetLink]:
        ejected = [link for link in links if link.ejected]
        # Ejecting many at once would load the rest beyond what they carry.
        if len(ejected) > max(len(links) * const.EJECT_SHARE_MOST, 1):
            return links
        return [link for link in links if not link.ejected]

    def _cost(self, link: TargetLink) -> float:
        usual = max(link.limit.smoothed_latency, _FAR_PENALTY)
        waiting = usual * (1 + link.load)
        return waiting + (0 if link.address in self._near else _FAR_PENALTY)

    def _rebuild(self) -> None:
        by_service: dict[str, list[Target]] = {}
        near: set[str] = set()
        merged: dict[str, int] = {}
        for cell in self._cells.values():
            for target in cell.targets:
                if target.worker in self._leaving or not target.address:
                    continue
                addresses = by_service.setdefault(target.service, [])
                if all(t.address != target.address for t in addresses):
                    addresses.append(target)
                total = merged.get(target.address, 0) + target.concurrency
                merged[target.address] = min(total, target.connections)
                if target.zone == self._zone:
                    near.add(target.address)
        self._near = near
        self._by_service = by_service
        for address, concurrency in merged.items():
            link = self._links.get(address)
            if link is None:
                self._links[address] = TargetLink(address, concurrency)
            else:
                link.set_concurrency(concurrency)
        for address in self._links.keys() - merged.keys():
            # Requests in flight keep the link until they end.
            del self._links[address]
        self._sum_elsewhere()
        self.note_room()

    def _sum_elsewhere(self) -> None:
        for address, link in self._links.items():
            reports = self._reported.values()
            link.elsewhere = sum(r.get(address, 0) for r in reports)
        self.note_room()
