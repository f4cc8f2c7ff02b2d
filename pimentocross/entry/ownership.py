"""Claims, runs and hands over the cells that this process owns."""

from collections.abc import Callable

import trio

from pimentocross.backing.follower import VmFollower
from pimentocross.backing.log import LogService
from pimentocross.backing.workers import WorkerDialer
from pimentocross.config.state import ConfigState
from pimentocross.contracts.authority import Authority
from pimentocross.contracts.fold import StreamFold
from pimentocross.entry import const
from pimentocross.entry.membership import Peers
from pimentocross.entry.snapshots import write_snapshots
from pimentocross.vms.worker import cell_resource
from pimentocross.zones.candidates import rank_candidates
from pimentocross.zones.cell import CellOwner
from pimentocross.zones.cell_state import CellState


class CellManager:
    """Claims cells whose owner is gone, and runs the cells owned here."""

    def __init__(
        self,
        log: LogService,
        authority: Authority,
        config: StreamFold[ConfigState],
        peers: Peers,
        vms: VmFollower,
        dialer: WorkerDialer,
        retention: float,
        on_targets_changed: Callable[[], None],
    ) -> None:
        """Initializes without cells; `run` claims and runs them.

        `retention` is how long the log keeps records, in seconds. The
        callback is called when the targets of a cell have changed.
        """
        self._log = log
        self._authority = authority
        self._config = config
        self._peers = peers
        self._vms = vms
        self._dialer = dialer
        self._retention = retention
        self._on_targets_changed = on_targets_changed
        self._owned: dict[str, CellOwner] = {}
        self._handing_over = False
        self._last_pass_at = 0.0
        self._running_since = 0.0
        self._epoch_seen_at: dict[str, tuple[int, float]] = {}

    @property
    def owned(self) -> dict[str, CellOwner]:
        """Cells that this process runs, by name."""
        return self._owned

    def owner_of(self, cell: str) -> str:
        """Returns the process that owns a cell, or "" for none."""
        ownership = self._authority.fold.state.ownership(cell_resource(cell))
        return "" if ownership.released else ownership.process

    async def run(self) -> None:
        """Claims and runs cells until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._detect_pause()
                for cell in self._cell_names():
                    if self._authority.owns(cell_resource(cell)):
                        self._start_owner(cell, nursery)
                    elif self._should_claim(cell):
                        await self._claim(cell)
                await trio.sleep(const.CLAIM_INTERVAL)

    async def hand_over(self, timeout: float) -> None:
        """Stops running all cells and releases them."""
        self._handing_over = True
        owners = list(self._owned.values())
        for owner in owners:
            owner.stop()
        # Exchanges that have started end before the release is appended.
        await trio.sleep(const.CLAIM_INTERVAL)
        with trio.move_on_after(timeout):
            async with trio.open_nursery() as nursery:
                for owner in owners:
                    nursery.start_soon(
                        self._authority.release,
                        cell_resource(owner.name),
                        timeout,
                    )

    def _cell_names(self) -> list[str]:
        config = self._config.state.config
        return sorted(config.zones) if config is not None else []

    def _should_claim(self, cell: str) -> bool:
        if self._handing_over or not self._authority.may_claim():
            return False
        owner = self.owner_of(cell)
        if owner and (
            self._is_alive(owner) or not self._may_suspect_owner(cell)
        ):
            return False
        # A process that has just released the cell is stopping, even if its
        # heartbeats do not say so yet.
        last = self._authority.fold.state.ownership(cell_resource(cell))
        candidates = [
            c for c in self._peers.candidates() if c.process != last.process
        ]
        ranked = rank_candidates(cell_resource(cell), cell, candidates)
        return bool(ranked) and ranked[0] == self._authority.process

    def _detect_pause(self) -> None:
        """Detects that this process was paused and so received nothing."""
        now = trio.current_time()
        if now - self._last_pass_at > const.CLAIM_INTERVAL + const.MIN_PAUSE:
            self._running_since = now
        self._last_pass_at = now

    def _may_suspect_owner(self, cell: str) -> bool:
        """Returns True if an owner without a live link may be considered gone.

        For `SUSPECT_AFTER`, this process must have run without a pause, the
        log must have answered and the owner must have been the same.
        Otherwise a VM that resumes after a pause would take over from owners
        whose heartbeats it has not had the time to receive.
        """
        epoch = self._authority.epoch(cell_resource(cell))
        now = trio.current_time()
        if self._epoch_seen_at.get(cell, (0, 0.0))[0] != epoch:
            self._epoch_seen_at[cell] = (epoch, now)
        since = max(
            self._running_since,
            self._authority.fold.reads_answered_since,
            self._epoch_seen_at[cell][1],
        )
        return now - since >= const.SUSPECT_AFTER

    def _is_alive(self, process: str) -> bool:
        if process == self._authority.process:
            return True
        if process not in self._authority.fold.state.members:
            return False
        return self._peers.link_to(process) is not None

    async def _claim(self, cell: str) -> None:
        resource = cell_resource(cell)
        verdict = await self._authority.claim(resource, const.CLAIM_TIMEOUT)
        if verdict.accepted:
            self._authority.note_claim_read(resource)

    def _start_owner(self, cell: str, nursery: trio.Nursery) -> None:
        epoch = self._authority.epoch(cell_resource(cell))
        current = self._owned.get(cell)
        if self._handing_over or (current and current.epoch == epoch):
            return
        if current is not None:
            current.stop()
        # A claim whose outcome was unknown counts from when it is read.
        self._authority.note_claim_read(cell_resource(cell))
        fold = StreamFold(self._log, f"cell-{cell}", CellState())
        owner = CellOwner(
            cell,
            self._authority,
            fold,
            self._config,
            self._dialer,
            lambda: self._vms.vms,
            on_targets_changed=self._on_targets_changed,
        )
        self._owned[cell] = owner
        nursery.start_soon(self._run_owner, owner)

    async def _run_owner(self, owner: CellOwner) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(owner.fold.run)
            nursery.start_soon(owner.fold.run_writer)
            nursery.start_soon(
                write_snapshots,
                owner.fold,
                self._retention,
                lambda: owner.opened,
            )
            await owner.run()
            nursery.cancel_scope.cancel()
        if self._owned.get(owner.name) is owner:
            del self._owned[owner.name]
            self._on_targets_changed()
