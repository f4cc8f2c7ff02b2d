"""The current configuration, folded from the configuration stream."""

from typing import NamedTuple

from pimentocross.backing.log import RecordBody
from pimentocross.config.load import load_configuration
from pimentocross.config.schema import Configuration
from pimentocross.contracts.records import RecordKinds

NO_VERSION = 0
STREAM = "config"


class ConfigChanged(NamedTuple):
    """Files set and removed, based on the version then in force.

    Attributes:
        base: Version that the operator's change is based on.
        files: Texts of new and changed files by name.
        removed: Names of removed files.
    """

    base: int
    files: dict[str, str]
    removed: list[str]


KINDS: RecordKinds[ConfigChanged] = RecordKinds(
    {"config-changed": ConfigChanged}
)


class ConfigState:
    """The configuration files and the configuration loaded from them.

    Every reader rejects the same changes: those based on another version than
    the newest, and those that do not pass the checks.
    """

    def __init__(self) -> None:
        """Initializes without files and without a configuration."""
        self._version = NO_VERSION
        self._files: dict[str, str] = {}
        self._config: Configuration | None = None

    @property
    def version(self) -> int:
        """Offset plus one of the newest accepted change, 0 for none."""
        return self._version

    @property
    def files(self) -> dict[str, str]:
        """File texts by file name."""
        return self._files

    @property
    def config(self) -> Configuration | None:
        """The configuration in force, if there is one."""
        return self._config

    def apply(self, offset: int, body: RecordBody) -> str | None:
        """Applies one record; returns why it is rejected, or None."""
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
        """Replaces the state with a dumped one."""
        self._version = int(dump["version"])
        self._files = dict(dump["files"])
        loaded = load_configuration(self._files)
        self._config = loaded.ok if loaded.is_ok() else None


def find_unsafe_change(
    old: Configuration | None, new: Configuration
) -> str | None:
    """Returns why a change could run a watch twice, or None.

    If a watch moved to another zone, that zone's owner could start it before
    the old zone's owner has read the change and stopped it.
    """
    if old is None:
        return None
    for name, watch in new.watches.items():
        before = old.watches.get(name)
        if before is not None and before.zone != watch.zone:
            return f"watch {name} can't move to another availability zone"
    return None
