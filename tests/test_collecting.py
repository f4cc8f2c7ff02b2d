"""An entry VM's process looks for cycles seldom.

An owner of 246 workers and some hundred jobs takes in so many runs that Python,
by its own settings, looked for cycles thirty times a second, and once in four
seconds through all that it holds: 0.23 of the 1.95 ms that a run cost it, and
0.1 s at once in which nothing else was done.
"""

from collections.abc import Iterator
from contextlib import contextmanager
import gc
from pathlib import Path
import tempfile
from unittest import mock

import trio

from pimentocross.platform import __main__ as process
from tests.platform_fixtures import write_settings

_MADE = 100_000


@contextmanager
def _settings_kept() -> Iterator[None]:
    thresholds = gc.get_threshold()
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)


def _collections() -> int:
    return sum(generation["collections"] for generation in gc.get_stats())


def test_an_entry_vm_looks_for_cycles_seldom() -> None:
    seen: list[int] = []

    def run(*_: object) -> None:
        gc.collect()
        before = _collections()
        kept = [[number] for number in range(_MADE)]
        seen.append(_collections() - before)
        assert len(kept) == _MADE

    with tempfile.TemporaryDirectory() as folder, _settings_kept():
        path = Path(folder) / "settings"
        write_settings(path, "a", "127.0.0.1:1")
        with (
            mock.patch.object(process, "settings_path", lambda: path),
            mock.patch.object(process, "enable"),
            mock.patch.object(trio, "run", run),
        ):
            assert process.main() == 0
    assert seen
    assert seen[0] <= 12, seen
