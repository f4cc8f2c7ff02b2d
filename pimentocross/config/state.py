"""The configuration in force, folded from the configuration stream."""

from typing import NamedTuple

from pimentocross.backing.log import RecordBody
from pimentocross.config.load import load_configuration
from pimentocross.config.schema import Configuration
from pimentocross.contracts.records import RecordKinds

NO_VERSION = 0
STREAM = "config"


class ConfigChanged(NamedTuple):
    """Files set and removed, against the version that was in force.

    Attributes:
        base: Version that the operator saw.
        files: Texts of new and changed files by name.
        removed: Names of files that are dropped.
    """

    base: int
    files: dict[str, str]
    removed: list[str]


KINDS: RecordKinds[ConfigChanged] = RecordKinds(
    {"config-changed": ConfigChanged}
)


class ConfigState:
    """Files and the configuration that they make.

    A change against another version than the newest, or one that does not
    check, is rejected by every reader alike.
    """

    def __init__(self) -> None:
        """Starts without a configuration."""
        self._version = NO_VERSION
        self._files: dict[str, str] = {}
        self._config: Configuration | None = None

    @property
    def version(self) -> int:
        """Offset plus one of the newest change, 0 for none."""
        return self._version

    @property
    def files(self) -> dict[str, str]:
        """Texts by file name."""
        return self._files

    @property
    def config(self) -> Configuration | None:
        """The configuration in force, if there is one."""
        return self._config

    def apply(self, offset: int, body: RecordBody) -> str | None:
        """Folds one record; returns why it is rejected, or None."""
        changed = KINDS.decode(body)
        if changed is None:
            return "unknown record"
        if changed.base != self._version:
            return f"version {self._version} is in force"
        files = {**self._files, **changed.files}
        for name in changed.removed:
            files.pop(name, None)
        loaded = load_configuration(files)
        if loaded.is_error():
            return "; ".join(str(finding) for finding in loaded.error)
        reason = find_unsafe_change(self._config, loaded.ok)
        if reason is None:
            self._files, self._config = files, loaded.ok
            self._version = offset + 1
        return reason

    def dump(self) -> RecordBody:
        """Returns the whole state as JSON values."""
        return {"version": self._version, "files": dict(self._files)}

    def load(self, dump: RecordBody) -> None:
        """Replaces the state by a dumped one."""
        self._version = int(dump["version"])
        self._files = dict(dump["files"])
        loaded = load_configuration(self._files)
        self._config = loaded.ok if loaded.is_ok() else None


def find_unsafe_change(
    old: Configuration | None, new: Configuration
) -> str | None:
    """Returns why a change could break a promise, or None.

    A watch that moved to another zone would be started by that zone's owner
    before the old one's has heard of the change.
    """
    if old is None:
        return None
    for name, watch in new.watches.items():
        before = old.watches.get(name)
        if before is not None and before.zone != watch.zone:
            return f"watch {name} can't move to another availability zone"
    return None
