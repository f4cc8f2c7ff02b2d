"""Tests that no process of the software starts a child process.

Children that end within milliseconds are detected too, by the page faults that
the kernel adds to their parent.
"""

import os
from pathlib import Path
import subprocess
import sys

_ROOT = Path(__file__).parent.parent
_PROGRAM = _ROOT / "dist" / "pimentocross"
# Index in /proc/PID/stat, counted from the state field (proc(5): cminflt).
_CHILD_MINOR_FAULTS_FIELD = 8


def _child_page_faults(*command: str) -> int:
    """Returns the page faults of the children that a program waited for.

    The kernel adds them when the program reaps a child, so that even a child
    that ran for a millisecond counts. They are read after the program has
    ended and before it is reaped.
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
    stat = Path(f"/proc/{process.pid}/stat").read_text()
    process.wait()
    return int(stat.rpartition(")")[2].split()[_CHILD_MINOR_FAULTS_FIELD])


def test_a_child_of_a_millisecond_is_seen() -> None:
    script = "import subprocess; subprocess.run(['true'])"
    assert _child_page_faults(sys.executable, "-c", script)


def test_an_entry_vms_process_starts_no_other() -> None:
    # Without settings the process exits after its imports.
    module = "pimentocross.platform"
    assert not _child_page_faults(sys.executable, "-m", module)


def test_the_program_starts_no_other() -> None:
    example = str(_ROOT / "examples" / "ostend")
    dev = ("dev", example, "--for=1s")
    assert not _child_page_faults(sys.executable, "-m", "pimentocross", *dev)


def test_the_one_binary_starts_no_other() -> None:
    example = str(_ROOT / "examples" / "ostend")
    assert not _child_page_faults(str(_PROGRAM), "dev", example, "--for=1s")
