"""Follows the cluster topic: members, their addresses and ownership claims."""

from collections.abc import Sequence
from functools import partial
from typing import Any, Final, NamedTuple, TypeVar

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
from pimentocross.decoding import msgpack_decoder
from pimentocross.gateway import const
from pimentocross.observe.decisions import note

_RECORD_VERSION: Final = 1
_MEMBER_PREFIX: Final = "m/"
# A VM's cores have a record of their own. Earlier versions read only member
# records of exactly four fields, and treated a process whose record they could
# not read as replaced.
_CORES_PREFIX: Final = "cores/"
_MEMBER_FIELD_COUNT: Final = 4
_CLAIM_PREFIX: Final = "claim/"
_encode: Final = msgspec.msgpack.Encoder().encode
_decode_cores: Final = msgpack_decoder(float)
_decode_fields: Final = msgpack_decoder(list[Any])


class Member(NamedTuple):
    """An entry VM's process that is a member of the cluster.

    Attributes:
        form: Version of the record format.
        vm: Name of the VM.
        process: Id of the process, never reused.
        address: Address of its peer listener as host:port.
        cores: CPU of the VM in cores, or 0 if unknown.
    """

    form: int
    vm: str
    process: str
    address: str
    cores: float = 0.0


class FormerOwner(NamedTuple):
    """A former owner that a claim lists.

    Attributes:
        epoch: Epoch of its claim.
        vm: Name of its VM.
        process: Id of its process.
        address: Address of its peer listener.
        ended: Whether it is known to renew no lease any more.
    """

    epoch: int
    vm: str
    process: str
    address: str
    ended: bool


class ClaimRecord(NamedTuple):
    """The claim or the release of the cell by an owner, as it is stored.

    Attributes:
        form: Version of the record format.
        vm: Name of the owner's VM.
        process: Id of the owner's process, or "" for a release.
        address: Address of the owner's peer listener, or "" for a release.
        quiet: For a release, whether no former owner can renew leases any
            more; False for a claim.
        formers: Known former owners, the newest first. In a release the first
            one is the owner that releases the cell.
        confirms: For a claim, whether the owner renews leases only while it is
            confirmed; see `owner.witnesses`.
        confirming: Epochs of the listed former owners that did the same.
    """

    form: int
    vm: str
    process: str
    address: str
    quiet: bool
    formers: tuple[FormerOwner, ...] = ()
    confirms: bool = False
    confirming: tuple[int, ...] = ()


_T = TypeVar("_T", Member, ClaimRecord)


class OwnerClaim(NamedTuple):
    """A claim or release that was read; its epoch is its offset plus one."""

    epoch: int
    vm: str
    process: str
    address: str
    quiet: bool
    formers: tuple[FormerOwner, ...] = ()
    confirms: bool = False
    confirming: tuple[int, ...] = ()

    @property
    def released(self) -> bool:
        """True if this is a release."""
        return not self.process

    @property
    def owners(self) -> tuple[FormerOwner, ...]:
        """The owners up to and including this claim, the newest first."""
        if self.released:
            return self.formers
        owner = FormerOwner(
            self.epoch, self.vm, self.process, self.address, ended=False
        )
        return (owner, *self.formers)

    @property
    def confirming_owners(self) -> tuple[int, ...]:
        """Epochs of the owners that renew leases only while confirmed."""
        if self.confirms and not self.released:
            return (self.epoch, *self.confirming)
        return self.confirming


class Cluster:
    """A local copy of the members and the newest claim in the cluster topic.

    Attributes:
        members: The newest process of each VM, by VM name.
        claim: The newest claim or release, or None before the first.
        changed: Set, and replaced by a new event, after each change.
        reachable: Whether the store answered the last read.
    """

    def __init__(self, store: Store) -> None:
        """Initializes an empty copy; `follow` or `refresh` fills it."""
        self.members: dict[str, Member] = {}
        self.claim: OwnerClaim | None = None
        self._cores: dict[str, float] = {}
        self.changed = trio.Event()
        self.reachable = False
        self._store = store
        self._reader = TopicReader(store, const.CLUSTER_TOPIC)
        self._poll_pace = PollPace(const.FOLLOW_WAIT)

    @property
    def end(self) -> int:
        """Offset up to which the topic was read; -1 before the first read."""
        return -1 if self._reader.end is None else self._reader.end

    async def follow(self) -> None:
        """Follows the topic until it is cancelled."""
        while True:
            # A long poll makes no sense while the store can't be reached.
            wait = self._poll_pace.wait if self.reachable else 0.0
            try:
                self._poll_pace.note_answer(
                    has_changes=await self.refresh(wait)
                )
            except StoreUnavailableError:
                self._poll_pace.restart()
                await trio.sleep(jittered(const.FOLLOW_RETRY))

    async def refresh(self, wait: float) -> bool:
        """Reads new records, and logs when the store is lost or regained.

        Args:
            wait: Seconds for which the store may wait for a new record.

        Returns:
            Whether there were new records.

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
        update = await self._reader.read(wait, const.FOLLOW_TIMEOUT)
        if not self.reachable:
            note("store_reached")
        self.reachable = True
        for record in update.records:
            self._apply_record(record)
        if update.records or update.is_snapshot:
            self.changed.set()
            self.changed = trio.Event()
        return bool(update.records)

    async def register(self, member: Member) -> None:
        """Stores a process as a member; retries until the store accepts it."""
        records = [Record(_MEMBER_PREFIX + member.vm, _encode(member[:-1]))]
        if member.cores:
            records.append(
                Record(_CORES_PREFIX + member.vm, _encode(member.cores))
            )
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
        """Appends a claim if the topic still ends at an offset.

        Args:
            claim: The claim or release.
            at: The end offset that the topic must have.

        Raises:
            StoreUnavailableError: No answer; the claim may have been appended.
            ConditionFailedError: The topic has grown, perhaps by this very
                claim: an append without an answer is repeated.
        """
        record = Record(_CLAIM_PREFIX + const.CELL, _encode(claim))
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
        """Returns the store's refusal, or None if the record was appended."""
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

    def _apply_record(self, record: Record) -> None:
        if record.value is None:
            return
        try:
            if record.key.startswith(_MEMBER_PREFIX):
                self._apply_member(_decode(record.value, Member))
            elif record.key.startswith(_CORES_PREFIX):
                vm = record.key.removeprefix(_CORES_PREFIX)
                self._cores[vm] = _decode_cores(record.value)
                if vm in self.members:
                    self._apply_member(self.members[vm])
            elif record.key == _CLAIM_PREFIX + const.CELL:
                claim = _decode(record.value, ClaimRecord)
                epoch = record.offset + 1
                if self.claim is None or epoch > self.claim.epoch:
                    self.claim = OwnerClaim(epoch, *claim[1:])
        except msgspec.DecodeError as error:
            note("record_unreadable", key=record.key, reason=str(error))

    def _apply_member(self, member: Member) -> None:
        cores = self._cores.get(member.vm, 0.0)
        self.members[member.vm] = member._replace(cores=cores)


def _decode(value: bytes, cls: type[_T]) -> _T:
    """Decodes a record of any version; later versions only append fields."""
    fields = _decode_fields(value)
    known = _MEMBER_FIELD_COUNT if cls is Member else len(cls._fields)
    record: _T = msgspec.convert(fields[:known], cls)
    return record


def member_record(
    vm: str, process: str, address: str, cores: float = 0.0
) -> Member:
    """Returns the member record of a process."""
    return Member(_RECORD_VERSION, vm, process, address, cores)


def claim_record(
    vm: str,
    process: str,
    address: str,
    formers: Sequence[FormerOwner] = (),
    confirming: Sequence[int] = (),
) -> ClaimRecord:
    """Returns the record of a claim.

    Args:
        vm: Name of the owner's VM.
        process: Id of the owner's process.
        address: Address of its peer listener.
        formers: Former owners, the newest first.
        confirming: Epochs of those that renew leases only while confirmed.
    """
    known = tuple(formers[: const.MAX_FORMER_OWNERS])
    return ClaimRecord(
        _RECORD_VERSION,
        vm,
        process,
        address,
        False,
        known,
        confirms=True,
        confirming=tuple(confirming[: const.MAX_FORMER_OWNERS]),
    )


def release_record(claim: OwnerClaim, *, quiet: bool) -> ClaimRecord:
    """Returns the record by which an owner releases the cell.

    Args:
        claim: The owner's claim.
        quiet: Whether no former owner can renew leases any more.
    """
    formers = tuple(
        former._replace(ended=former.ended or former.epoch == claim.epoch)
        for former in claim.owners[: const.MAX_FORMER_OWNERS]
    )
    return ClaimRecord(
        _RECORD_VERSION,
        claim.vm,
        "",
        "",
        quiet,
        formers,
        confirming=claim.confirming_owners[: const.MAX_FORMER_OWNERS],
    )
