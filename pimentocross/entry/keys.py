"""Idempotency keys: claimed in the log before a request is run.

The first claim of a key that the log orders wins; whoever repeats the key
is given the winner's answer, or "unknown" if the winner is gone.
"""

from collections import OrderedDict
from typing import NamedTuple

import msgspec

from pimentocross.backing.log import RecordBody
from pimentocross.contracts.records import RecordKinds
from pimentocross.entry.const import KEYS_KEPT


class KeyClaimed(NamedTuple):
    """A process is about to run the request with this key.

    Attributes:
        key: Tenant and key, hashed.
        process: Who runs it.
        digest: Hash of the request, so that another one is told apart.
        job: Id of the job that it submits, or "".
    """

    key: str
    process: str
    digest: str
    job: str


class KeySettled(NamedTuple):
    """How the request ended; `state` as in `messages.KeyAnswer`."""

    key: str
    process: str
    state: str
    status: int
    content_type: str
    body: str


KeyRecord = KeyClaimed | KeySettled

KINDS: RecordKinds[KeyRecord] = RecordKinds(
    {"key-claimed": KeyClaimed, "key-settled": KeySettled}
)


class KeyEntry(NamedTuple):
    """A key as folded; `settled` is None while it runs."""

    claimed: KeyClaimed
    settled: KeySettled | None


class KeysState:
    """The newest keys, folded from the key stream."""

    def __init__(self) -> None:
        """Starts empty."""
        self._entries: OrderedDict[str, KeyEntry] = OrderedDict()

    def get(self, key: str) -> KeyEntry | None:
        """Returns what is known of a key."""
        return self._entries.get(key)

    def apply(self, offset: int, body: RecordBody) -> str | None:
        """Folds one record; returns why it is rejected, or None."""
        match KINDS.decode(body):
            case KeyClaimed() as claimed:
                return self._apply_claimed(claimed)
            case KeySettled() as settled:
                return self._apply_settled(settled)
            case _:
                return "unknown record"

    def dump(self) -> RecordBody:
        """Returns the whole state as JSON values."""
        entries = [msgspec.to_builtins(e) for e in self._entries.values()]
        return {"entries": entries}

    def load(self, dump: RecordBody) -> None:
        """Replaces the state by a dumped one."""
        entries = msgspec.convert(dump["entries"], list[KeyEntry])
        self._entries = OrderedDict((e.claimed.key, e) for e in entries)

    def _apply_claimed(self, claimed: KeyClaimed) -> str | None:
        if claimed.key in self._entries:
            return "the key is claimed"
        self._entries[claimed.key] = KeyEntry(claimed, None)
        while len(self._entries) > KEYS_KEPT:
            self._entries.popitem(last=False)
        return None

    def _apply_settled(self, settled: KeySettled) -> str | None:
        entry = self._entries.get(settled.key)
        if entry is None or entry.claimed.process != settled.process:
            return "the key is not claimed by this process"
        if entry.settled is not None:
            return "the key is settled"
        if settled.state == "released":
            del self._entries[settled.key]
            return None
        self._entries[settled.key] = KeyEntry(entry.claimed, settled)
        return None
