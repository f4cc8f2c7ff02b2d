"""Who takes part and who owns the cell, as the store tells."""

from collections.abc import Sequence
from functools import partial
from typing import Final, NamedTuple, TypeVar

import msgspec
import trio

from pimentocross.contracts.hedging import (
    HEDGE_DELAY,
    RequestAttempt,
    first_answer,
)
from pimentocross.contracts.jitter import jittered
from pimentocross.contracts.poll_pace import PollPace
from pimentocross.contracts.store import (
    ConditionFailedError,
    Record,
    Store,
    StoreUnavailableError,
)
from pimentocross.contracts.topic_reader import TopicReader
from pimentocross.gateway import const
from pimentocross.observe.decisions import note

_FORM: Final = 1
_MEMBER: Final = "m/"
# A VM's processor has a record of its own: former versions read members of just
# four fields, and took a process that they could not read for a replaced one.
_CORES: Final = "cores/"
_MEMBER_FIELDS: Final = 4
_CLAIM: Final = "claim/"
_encode: Final = msgspec.msgpack.Encoder().encode


class Member(NamedTuple):
    """A process that takes part.

    Attributes:
        form: Version of the record's form.
        vm: Its VM's name.
        process: Its id, unique for ever.
        address: Its peer listener, host:port.
        cores: Its processor in cores, or 0 if it isn't known.
    """

    form: int
    vm: str
    process: str
    address: str
    cores: float = 0.0


class FormerOwner(NamedTuple):
    """An owner of before, as a claim names it.

    Attributes:
        epoch: Of its claim.
        vm: Its VM's name.
        process: Its process.
        address: Its peer listener.
        ended: Whether it surely renews no lease any more.
    """

    epoch: int
    vm: str
    process: str
    address: str
    ended: bool


class ClaimRecord(NamedTuple):
    """Who owns the cell from this record on; no process if it was given back.

    Attributes:
        form: Version of the record's form.
        vm: The VM's name.
        process: The owner's process, or "".
        address: Its peer listener.
        quiet: Whether no owner of before may still renew leases; told by the
            one who gives the cell back.
        formers: Owners of before that are known, the newest first; the one who
            gives the cell back is the first of them.
    """

    form: int
    vm: str
    process: str
    address: str
    quiet: bool
    formers: tuple[FormerOwner, ...] = ()


_T = TypeVar("_T", Member, ClaimRecord)


class OwnerClaim(NamedTuple):
    """The newest claim; its epoch is its offset and one more."""

    epoch: int
    vm: str
    process: str
    address: str
    quiet: bool
    formers: tuple[FormerOwner, ...] = ()

    @property
    def released(self) -> bool:
        """True if the cell was given back."""
        return not self.process

    @property
    def owners(self) -> tuple[FormerOwner, ...]:
        """The owners up to this claim, the newest first."""
        if self.released:
            return self.formers
        owner = FormerOwner(
            self.epoch, self.vm, self.process, self.address, ended=False
        )
        return (owner, *self.formers)


class Cluster:
    """Follows the topic of members and claims.

    Attributes:
        members: By VM; the newest process of each.
        claim: The newest, or None before the first.
        changed: Set, and replaced, whenever something came in.
    """

    def __init__(self, store: Store) -> None:
        """Knows nobody yet."""
        self.members: dict[str, Member] = {}
        self.claim: OwnerClaim | None = None
        self._cores: dict[str, float] = {}
        self.changed = trio.Event()
        self.reachable = False
        self._store = store
        self._reader = TopicReader(store, const.CLUSTER_TOPIC)
        self._pace = PollPace(const.FOLLOW_WAIT)

    @property
    def end(self) -> int:
        """Offset up to which the topic was read, or -1."""
        return -1 if self._reader.end is None else self._reader.end

    async def follow(self) -> None:
        """Follows the topic for ever."""
        while True:
            # What isn't there can't be waited for.
            wait = self._pace.wait if self.reachable else 0.0
            try:
                self._pace.note_answer(news=await self.refresh(wait))
            except StoreUnavailableError:
                self._pace.restart()
                await trio.sleep(jittered(const.FOLLOW_RETRY))

    async def refresh(self, wait: float) -> bool:
        """Reads what is new, and logs when the store is lost or regained.

        Returns:
            Whether anything was new.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        try:
            return await self._read(wait)
        except StoreUnavailableError as error:
            if self.reachable:
                note("store_lost", reason=str(error))
            self.reachable = False
            raise

    async def _read(self, wait: float) -> bool:
        news = await self._reader.read(wait, const.FOLLOW_TIMEOUT)
        if not self.reachable:
            note("store_reached")
        self.reachable = True
        for record in news.records:
            self._take(record)
        if news.records or news.is_snapshot:
            self.changed.set()
            self.changed = trio.Event()
        return bool(news.records)

    async def register(self, member: Member) -> None:
        """Makes a process known to all; tries until the store has it."""
        records = [Record(_MEMBER + member.vm, _encode(member[:-1]))]
        if member.cores:
            records.append(Record(_CORES + member.vm, _encode(member.cores)))
        while True:
            try:
                await self._store.append(
                    const.CLUSTER_TOPIC, records, const.CLAIM_TIMEOUT
                )
            except StoreUnavailableError as error:
                note("register_failed", reason=str(error))
                await trio.sleep(const.FOLLOW_RETRY)
            else:
                return

    async def append_claim(self, claim: ClaimRecord, at: int) -> None:
        """Appends a claim if nothing came in since.

        Raises:
            StoreUnavailableError: No answer; it may have been appended.
            ConditionFailedError: Something came in, this claim perhaps: it is
                appended again while it isn't answered.
        """
        record = Record(_CLAIM + const.CELL, _encode(claim))
        answered = await first_answer(
            partial(self._try_append, record, at),
            0.0,
            const.CLAIM_TIMEOUT,
            HEDGE_DELAY,
        )
        if answered.value is not None:
            raise answered.value

    async def _try_append(
        self, record: Record, at: int, question: RequestAttempt
    ) -> ConditionFailedError | None:
        """Returns why the store refuses, or None if it doesn't."""
        try:
            await self._store.append(
                const.CLUSTER_TOPIC,
                [record],
                question.timeout,
                at=at,
                new_connection=question.is_hedge,
            )
        except ConditionFailedError as error:
            return error
        return None

    def _take(self, record: Record) -> None:
        if record.value is None:
            return
        try:
            if record.key.startswith(_MEMBER):
                self._take_member(_decode(record.value, Member))
            elif record.key.startswith(_CORES):
                vm = record.key.removeprefix(_CORES)
                self._cores[vm] = msgspec.msgpack.decode(
                    record.value, type=float
                )
                if vm in self.members:
                    self._take_member(self.members[vm])
            elif record.key == _CLAIM + const.CELL:
                claim = _decode(record.value, ClaimRecord)
                epoch = record.offset + 1
                if self.claim is None or epoch > self.claim.epoch:
                    self.claim = OwnerClaim(epoch, *claim[1:])
        except msgspec.DecodeError as error:
            note("record_unreadable", key=record.key, reason=str(error))

    def _take_member(self, member: Member) -> None:
        cores = self._cores.get(member.vm, 0.0)
        self.members[member.vm] = member._replace(cores=cores)


def _decode(value: bytes, cls: type[_T]) -> _T:
    """Reads a record of any form: later ones only have fields more."""
    fields = msgspec.msgpack.decode(value, type=list)
    known = _MEMBER_FIELDS if cls is Member else len(cls._fields)
    record: _T = msgspec.convert(fields[:known], cls)
    return record


def member_record(
    vm: str, process: str, address: str, cores: float = 0.0
) -> Member:
    """Returns the record of a process."""
    return Member(_FORM, vm, process, address, cores)


def claim_record(
    vm: str,
    process: str,
    address: str,
    formers: Sequence[FormerOwner] = (),
) -> ClaimRecord:
    """Returns the record of a claim.

    Args:
        vm: The VM's name.
        process: The owner's process.
        address: Its peer listener.
        formers: Owners of before, the newest first.
    """
    known = tuple(formers[: const.FORMERS_TOLD])
    return ClaimRecord(_FORM, vm, process, address, False, known)


def release_record(claim: OwnerClaim, *, quiet: bool) -> ClaimRecord:
    """Returns the record by which an owner gives the cell back.

    Args:
        claim: The owner's.
        quiet: Whether no owner of before may still renew leases.
    """
    formers = tuple(
        former._replace(ended=former.ended or former.epoch == claim.epoch)
        for former in claim.owners[: const.FORMERS_TOLD]
    )
    return ClaimRecord(_FORM, claim.vm, "", "", quiet, formers)
