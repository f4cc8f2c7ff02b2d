"""Records and folded state of idempotency keys.

A key is claimed in the log before its request is run. The first claim in the
order of the log wins. Later requests with the same key get the reply to the
first one, or "unknown" if the process that claimed the key is gone.
"""

from collections import OrderedDict
from typing import NamedTuple

import msgspec

from pimentocross.backing.log import RecordBody
from pimentocross.contracts.records import RecordKinds
from pimentocross.entry.const import MAX_KEYS


class KeyClaimed(NamedTuple):
    """Record: a process is about to run the request with this key.

    Attributes:
        key: Hash of tenant and key.
        process: Id of the process that runs the request.
        digest: Hash of the request, to detect another one with the same key.
        job: Id of the job that the request submits, or "".
    """

    key: str
    process: str
    digest: str
    job: str


class KeySettled(NamedTuple):
    """Record: how the request ended; `state` as in `messages.KeyAnswer`."""

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
    """A key's state; `settled` is None while its request runs."""

    claimed: KeyClaimed
    settled: KeySettled | None


class KeysState:
    """The newest keys, folded from the key stream."""

    def __init__(self) -> None:
        """Initializes an empty state."""
        self._entries: OrderedDict[str, KeyEntry] = OrderedDict()

    def get(self, key: str) -> KeyEntry | None:
        """Returns a key's entry, or None if the key is not known."""
        return self._entries.get(key)

    def apply(self, offset: int, body: RecordBody) -> str | None:
        """Applies one record; returns why it is rejected, or None."""
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
        """Replaces the state with a dumped one."""
        entries = msgspec.convert(dump["entries"], list[KeyEntry])
        self._entries = OrderedDict((e.claimed.key, e) for e in entries)

    def _apply_claimed(self, claimed: KeyClaimed) -> str | None:
        if claimed.key in self._entries:
            return "the key is claimed"
        self._entries[claimed.key] = KeyEntry(claimed, None)
        while len(self._entries) > MAX_KEYS:
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
