"""Tests the single binary: no child processes, no files, a quick start."""

import contextlib
import os
from pathlib import Path
import subprocess
import sys
import time

_ROOT = Path(__file__).parent.parent
_PROGRAM = _ROOT / "dist" / "pimentocross"
_MAX_MEMORY = 256_000_000
# Start time relative to the same program in an installed environment.
_MAX_START_RATIO = 3.0
_WRITE_FLAGS = os.O_WRONLY | os.O_RDWR


def _children(pid: int) -> list[str]:
    found: list[str] = []
    for task in Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            found += (task / "children").read_text().split()
    return found


def _written_files(pid: int) -> list[str]:
    """Returns files on a disk that are open for writing."""
    found = []
    for link in Path(f"/proc/{pid}/fd").iterdir():
        # A file may be closed after it has been listed.
        with contextlib.suppress(FileNotFoundError):
            info = Path(f"/proc/{pid}/fdinfo/{link.name}").read_text()
            flags = int(info.split("flags:")[1].split()[0], 8)
            path = os.readlink(link)
            on_disk = path.startswith("/") and not path.startswith("/dev/")
            # Extension modules are in anonymous files in memory.
            if on_disk and "memfd:" not in path and flags & _WRITE_FLAGS:
                found.append(path)
    return found


def _peak_memory(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError(pid)


def _start_seconds(*command: str) -> float:
    best = float("inf")
    for _ in range(3):
        began = time.monotonic()
        subprocess.run(
            [*command, "version"], check=True, env={}, capture_output=True
        )
        best = min(best, time.monotonic() - began)
    return best


def test_one_binary_runs_alone_without_children_or_files() -> None:
    process = subprocess.Popen(
        [str(_PROGRAM), "dev", str(_ROOT / "examples" / "ostend"), "--for=5s"],
        env={},
        cwd="/",
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    children: list[str] = []
    files: set[str] = set()
    memory = 0
    ends_at = time.monotonic() + 4.0
    while time.monotonic() < ends_at:
        children += _children(process.pid)
        files |= set(_written_files(process.pid))
        memory = max(memory, _peak_memory(process.pid))
        time.sleep(0.1)
    linked = Path(f"/proc/{process.pid}/maps").read_text()
    output, _ = process.communicate(timeout=60)
    assert process.returncode == 0, output
    assert not children
    assert not files
    assert "libc.so" in linked
    assert "python" not in linked.replace(str(_PROGRAM), "")
    assert memory < _MAX_MEMORY, memory


def test_one_binary_starts_about_as_fast_as_installed() -> None:
    alone = _start_seconds(str(_PROGRAM))
    prepared = _start_seconds(sys.executable, "-m", "pimentocross")
    assert alone < prepared * _MAX_START_RATIO, (alone, prepared)
