"""Runs the program from the archive that is appended to its executable.

Extension modules can't be loaded from an archive, so each is copied into an
anonymous file in memory first; nothing is written to disk.
"""

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import zipimport

_SUFFIXES = tuple(importlib.machinery.EXTENSION_SUFFIXES)


class ExtensionFinder(importlib.abc.MetaPathFinder):
    """Finds extension modules in the archive."""

    def __init__(self, archive: str) -> None:
        """Reads the list of extension modules from the archive at a path."""
        self._importer = zipimport.zipimporter(archive)
        # `zipimporter` has the archive's file list only in a private attribute.
        files = self._importer._files  # type: ignore[attr-defined]
        self._modules = {
            _module_name(name): name
            for name in files
            if name.endswith(_SUFFIXES)
        }

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Copies an extension module to memory; returns its spec, or None."""
        name = self._modules.get(fullname)
        if name is None:
            return None
        content = self._importer.get_data(name)
        handle = os.memfd_create(fullname)
        os.write(handle, content)
        location = f"/proc/self/fd/{handle}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(
            fullname, location, loader=loader
        )


def _module_name(file: str) -> str:
    for suffix in _SUFFIXES:
        if file.endswith(suffix):
            return file.removesuffix(suffix).replace("/", ".")
    return file


def main() -> None:
    """Runs the command line."""
    sys.frozen = True  # type: ignore[attr-defined]
    sys.meta_path.insert(0, ExtensionFinder(sys.executable))
    from pimentocross.cli.main import main as run

    run()
