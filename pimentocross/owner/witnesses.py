"""Worker lives whose answers show that no later owner has begun.

Failure pattern: the VM of an owner is gone for good together with workers. Its
successor can't tell it from one that is cut off and goes on renewing leases on
workers that nobody else reaches, and waited for the longest time for which an
owner renews leases without the store.

An owner therefore renews leases only while it is confirmed: the store has
acknowledged an append of its epoch, or more than half of a recorded set of
worker lives, its witnesses, have answered it. The successor fences the store by
its first append and each worker by its first call. Once it has fenced half of
the recorded witnesses, no former owner is confirmed any more.

The newest record holds for all former owners: an owner records its own
witnesses only after it has fenced those of the record that it read, and before
its record is stored it is confirmed by the store alone.
"""

from collections.abc import Callable, Collection
import math

import trio

from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import boot_clock, const
from pimentocross.owner.ledger import Ledger
from pimentocross.work import records


class Witnesses:
    """The witnesses of the former owners, and those of this owner."""

    def __init__(self, epoch: int, ledger: Ledger) -> None:
        """Initializes an owner's view without any witnesses.

        Args:
            epoch: The epoch of this owner.
            ledger: Writes the record of this owner's witnesses.
        """
        self._epoch = epoch
        self._ledger = ledger
        # The recorded witnesses of former owners, or None if they can't be
        # read.
        self._former: frozenset[int] | None = frozenset()
        self._fenced: set[int] = set()
        self._formers_fenced = False
        self._renewals_end_at = float("inf")
        self._former_by_machine: dict[str, list[int]] = {}
        self._on_fenced: Callable[[], None] = _do_nothing
        self._list_candidates: Callable[[], Collection[int]] = tuple
        # This owner's witnesses: those whose record is stored, and those whose
        # record may be stored.
        self._stored: frozenset[int] = frozenset()
        self._pending: frozenset[int] | None = None
        # When the newest call that each life has answered was sent, on the boot
        # clock.
        self._asked: dict[int, float] = {}
        self._majority_asked = boot_clock.NEVER
        self._majority_found_at = boot_clock.NEVER

    @property
    def key(self) -> str:
        """Key of the record in the store."""
        return records.WITNESSES

    @property
    def formers_fenced(self) -> bool:
        """Whether no former owner is confirmed by its witnesses any more."""
        return self._formers_fenced

    def restore(self, value: bytes) -> None:
        """Restores the newest record of a former owner.

        Raises:
            RecordError: The record has an unknown format.
        """
        self._former = None
        self._former = frozenset(records.decode_witnesses(value).numbers)

    def open(
        self,
        opened_at: float,
        machine_of: Callable[[int], str],
        on_fenced: Callable[[], None],
        list_candidates: Callable[[], Collection[int]],
    ) -> None:
        """Begins to count fenced witnesses of former owners.

        Args:
            opened_at: When the store was fenced, monotonic.
            machine_of: Returns the VM of the life with a number, or "".
            on_fenced: Called once no former owner is confirmed any more.
            list_candidates: Returns the numbers of the lives that answer.
        """
        self._renewals_end_at = opened_at + const.RENEWALS_WITHOUT_STORE
        for number in self._former or ():
            machine = machine_of(number)
            if machine:
                self._former_by_machine.setdefault(machine, []).append(number)
        self._on_fenced = on_fenced
        self._list_candidates = list_candidates
        self._check_fenced()

    def formers_on(self, machine: str) -> Collection[int]:
        """Returns the witnesses of former owners that ran on a VM."""
        return self._former_by_machine.get(machine, ())

    def note_answer(self, number: int, asked: float) -> None:
        """Notes that a life has answered a call of this owner.

        Args:
            number: The number of the life.
            asked: When the call was sent, on the boot clock.
        """
        self._asked[number] = asked
        self._note_fenced(number)

    def note_ended(self, number: int) -> None:
        """Notes that a life has surely ended, so that it answers nobody."""
        self._note_fenced(number)

    def forget(self, number: int) -> None:
        """Drops what is kept for a life whose number isn't used any more."""
        self._asked.pop(number, None)

    def update(self) -> None:
        """Records other witnesses if too many have left or joined."""
        renewals_over = trio.current_time() > self._renewals_end_at
        if not (self._formers_fenced or renewals_over) or self._pending:
            return
        candidates = self._choose()
        least = const.LEAST_CURRENT_WITNESSES
        left = len(candidates & self._stored) < least * len(self._stored)
        joined = len(self._stored) < least * len(candidates)
        if candidates and (left or joined):
            self._ledger.put(self)

    def encode(self) -> bytes:
        """Returns the record of the lives that answer now."""
        self._pending = self._choose()
        return records.encode_witnesses(self._epoch, sorted(self._pending))

    def stored(self) -> None:
        """Relies on the lives of the record that was stored."""
        if self._pending is not None:
            self._stored, self._pending = self._pending, None
            self._majority_found_at = boot_clock.NEVER

    def confirmed_at(self, now: float) -> float:
        """Returns when witnesses last confirmed this owner, on the boot clock.

        It is `boot_clock.NEVER` if they haven't.

        Args:
            now: Present time on the boot clock.
        """
        if now - self._majority_found_at > const.MAJORITY_INTERVAL:
            possible = [self._stored]
            if self._pending is not None:
                # A successor may read either of the two records.
                possible.append(self._pending)
            self._majority_asked = min(map(self._find_majority, possible))
            self._majority_found_at = now
        return self._majority_asked

    def _choose(self) -> frozenset[int]:
        """Returns the lives that this owner would record as witnesses."""
        numbers = sorted(self._list_candidates())
        step = math.ceil(len(numbers) / const.MAX_WITNESSES) or 1
        return frozenset(numbers[::step])

    def _find_majority(self, witnesses: Collection[int]) -> float:
        """Returns since when more than half of some lives were asked."""
        needed = len(witnesses) // 2 + 1
        asked = [self._asked[n] for n in witnesses if n in self._asked]
        if len(asked) < needed:
            return boot_clock.NEVER
        return sorted(asked, reverse=True)[needed - 1]

    def _note_fenced(self, number: int) -> None:
        if self._formers_fenced or self._former is None:
            return
        if number in self._former:
            self._fenced.add(number)
            self._check_fenced()

    def _check_fenced(self) -> None:
        former = self._former
        if former is None or 2 * len(self._fenced) < len(former):
            return
        self._formers_fenced = True
        meters.add("former_owners_fenced_total")
        note(
            "former_owners_fenced",
            epoch=self._epoch,
            fenced=len(self._fenced),
            witnesses=len(former),
        )
        self._on_fenced()


def _do_nothing() -> None:
    """Used until `open` sets a callback."""
