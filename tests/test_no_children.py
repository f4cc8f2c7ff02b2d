"""No process of ours starts another, however short-lived."""

import os
from pathlib import Path
import subprocess
import sys

_ROOT = Path(__file__).parent.parent
_PROGRAM = _ROOT / "dist" / "pimentocross"
# Fields of the kernel's figures of a process, counted from its state on.
_FAULTS_OF_CHILDREN = 8


def _faults_of_children(*command: str) -> int:
    """Returns page faults of the children that a program waited for.

    The kernel adds them up as each child ends, so that one which lived for a
    millisecond is seen. The program has ended, and isn't reaped yet.
    """
    process = subprocess.Popen(
        command,
        env={"PATH": os.environ["PATH"]},
        cwd=_ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
    figures = Path(f"/proc/{process.pid}/stat").read_text()
    process.wait()
    return int(figures.rpartition(")")[2].split()[_FAULTS_OF_CHILDREN])


def test_a_child_of_a_millisecond_is_seen() -> None:
    script = "import subprocess; subprocess.run(['true'])"
    assert _faults_of_children(sys.executable, "-c", script)


def test_an_entry_vms_process_starts_no_other() -> None:
    # Without settings it ends as soon as it has imported everything.
    module = "pimentocross.platform"
    assert not _faults_of_children(sys.executable, "-m", module)


def test_the_program_starts_no_other() -> None:
    example = str(_ROOT / "examples" / "ostend")
    dev = ("dev", example, "--for=1s")
    assert not _faults_of_children(sys.executable, "-m", "pimentocross", *dev)


def test_the_one_binary_starts_no_other() -> None:
    example = str(_ROOT / "examples" / "ostend")
    assert not _faults_of_children(str(_PROGRAM), "dev", example, "--for=1s")
