"""Registry of each service's targets, as the owners of all cells push them."""

from collections.abc import Iterable
import random
from typing import NamedTuple

import trio

from pimentocross.entry import const
from pimentocross.links.target import TargetLink
from pimentocross.zones.views import Target

# Assumed extra latency of a target in another availability zone, in seconds.
_CROSS_ZONE_LATENCY = 0.001


class _CellTargets(NamedTuple):
    epoch: int
    version: int
    targets: list[Target]


class TargetRegistry:
    """Knows the targets of each service and chooses among them by load."""

    def __init__(self, zone: str, seed: int | None = None) -> None:
        """Initializes an empty registry.

        Args:
            zone: Availability zone of this process; its targets are preferred.
            seed: Seed of the random choice between targets.
        """
        self._zone = zone
        self._random = random.Random(seed)
        self._cells: dict[str, _CellTargets] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._links: dict[str, TargetLink] = {}
        self._same_zone_addresses: set[str] = set()
        self._peer_in_flight: dict[str, dict[str, int]] = {}
        self._leaving: set[str] = set()
        self._capacity_changed = trio.Event()

    @property
    def links(self) -> dict[str, TargetLink]:
        """Links by address."""
        return self._links

    def services(self) -> dict[str, list[Target]]:
        """Returns targets by service."""
        return self._by_service

    def update_cell(
        self, cell: str, epoch: int, version: int, targets: list[Target]
    ) -> None:
        """Replaces a cell's targets unless newer ones are known."""
        known = self._cells.get(cell)
        if known is not None and (epoch, version) < known[:2]:
            return
        self._cells[cell] = _CellTargets(epoch, version, targets)
        self._rebuild()

    def set_leaving_workers(self, workers: Iterable[str]) -> None:
        """Excludes targets on workers that the VM list says are leaving."""
        leaving = set(workers)
        if leaving != self._leaving:
            self._leaving = leaving
            self._rebuild()

    def set_peer_in_flight(
        self, process: str, in_flight: list[tuple[str, int]]
    ) -> None:
        """Stores another process's requests in flight, by target address."""
        self._peer_in_flight[process] = dict(in_flight)
        self._update_peer_in_flight()

    def retain_processes(self, live: set[str]) -> None:
        """Forgets the requests in flight of processes that are not live."""
        gone = self._peer_in_flight.keys() - live
        for process in gone:
            del self._peer_in_flight[process]
        if gone:
            self._update_peer_in_flight()

    def in_flight(self) -> list[tuple[str, int]]:
        """Returns this process's requests in flight by address."""
        return [(a, k.in_flight) for a, k in self._links.items() if k.in_flight]

    def choose(
        self, service: str, tried: set[str] | frozenset[str] = frozenset()
    ) -> TargetLink | None:
        """Returns the better of two random targets with capacity, or None.

        Args:
            service: Name of the service.
            tried: Addresses of targets to leave out.
        """
        known = self._by_service.get(service, [])
        links = self._exclude_ejected([self._links[t.address] for t in known])
        open_links = [
            link
            for link in links
            if link.has_capacity and link.address not in tried
        ]
        if not open_links:
            return None
        if len(open_links) == 1:
            return open_links[0]
        first, second = self._random.sample(open_links, 2)
        return min(first, second, key=self._cost)

    def is_known(self, service: str) -> bool:
        """Returns True if some target runs the service."""
        return bool(self._by_service.get(service))

    def all_tried(self, service: str, tried: set[str]) -> bool:
        """Returns True if no target of the service is left to try."""
        return all(
            t.address in tried for t in self._by_service.get(service, [])
        )

    def notify_capacity(self) -> None:
        """Wakes the tasks that wait for capacity at a target."""
        self._capacity_changed.set()
        self._capacity_changed = trio.Event()

    async def wait_for_capacity(self) -> None:
        """Waits until some target may have capacity."""
        await self._capacity_changed.wait()

    def _exclude_ejected(self, links: list[TargetLink]) -> list[TargetLink]:
        ejected = [link for link in links if link.ejected]
        # Ejecting many targets at once would overload the remaining ones.
        if len(ejected) > max(len(links) * const.MAX_EJECTED_SHARE, 1):
            return links
        return [link for link in links if not link.ejected]

    def _cost(self, link: TargetLink) -> float:
        latency = max(link.limit.smoothed_latency, _CROSS_ZONE_LATENCY)
        expected_wait = latency * (1 + link.load)
        return expected_wait + (
            0
            if link.address in self._same_zone_addresses
            else _CROSS_ZONE_LATENCY
        )

    def _rebuild(self) -> None:
        by_service: dict[str, list[Target]] = {}
        same_zone_addresses: set[str] = set()
        concurrency_by_address: dict[str, int] = {}
        for cell in self._cells.values():
            for target in cell.targets:
                if target.worker in self._leaving or not target.address:
                    continue
                addresses = by_service.setdefault(target.service, [])
                if all(t.address != target.address for t in addresses):
                    addresses.append(target)
                total = (
                    concurrency_by_address.get(target.address, 0)
                    + target.concurrency
                )
                concurrency_by_address[target.address] = min(
                    total, target.connections
                )
                if target.zone == self._zone:
                    same_zone_addresses.add(target.address)
        self._same_zone_addresses = same_zone_addresses
        self._by_service = by_service
        for address, concurrency in concurrency_by_address.items():
            link = self._links.get(address)
            if link is None:
                self._links[address] = TargetLink(address, concurrency)
            else:
                link.set_concurrency(concurrency)
        for address in self._links.keys() - concurrency_by_address.keys():
            # Requests in flight hold a reference to the link until they end.
            del self._links[address]
        self._update_peer_in_flight()
        self.notify_capacity()

    def _update_peer_in_flight(self) -> None:
        for address, link in self._links.items():
            reports = self._peer_in_flight.values()
            link.other_in_flight = sum(r.get(address, 0) for r in reports)
        self.notify_capacity()
