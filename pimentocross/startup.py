"""Imports trio without starting subprocesses.

On import trio looks for the C library's pthread functions, with which it names
its threads. `ctypes.util.find_library` runs compiler and linker tools to find a
library, but pimentocross processes start no subprocesses.
"""

from collections.abc import Iterator
from contextlib import contextmanager
import ctypes.util
from typing import Final

# Names on Linux; on systems without this library threads have no names.
_LIBRARIES: Final = {"pthread": "libc.so.6", "c": "libc.so.6"}


@contextmanager
def _libraries_by_name() -> Iterator[None]:
    """Makes `find_library` look up names in a table instead of searching."""
    original = ctypes.util.find_library
    ctypes.util.find_library = _LIBRARIES.get  # type: ignore[assignment]
    try:
        yield
    finally:
        ctypes.util.find_library = original


def import_trio() -> None:
    """Imports trio; must be called before any other import of trio."""
    with _libraries_by_name():
        import trio  # noqa: F401
