"""Imports trio without starting other programs.

Trio names its threads, and looks for the C library's threads as it is imported.
Python searches for a library by running the programs that link and list them;
a process of ours starts no other.
"""

from collections.abc import Iterator
from contextlib import contextmanager
import ctypes.util
from typing import Final

# Both on Linux; where there is neither, threads go without names.
_LIBRARIES: Final = {"pthread": "libc.so.6", "c": "libc.so.6"}


@contextmanager
def _libraries_by_name() -> Iterator[None]:
    """Has a library's name answered from a table, without a search."""
    search = ctypes.util.find_library
    ctypes.util.find_library = _LIBRARIES.get  # type: ignore[assignment]
    try:
        yield
    finally:
        ctypes.util.find_library = search


def import_trio() -> None:
    """Imports trio; has to come before any other import of it."""
    with _libraries_by_name():
        import trio  # noqa: F401
