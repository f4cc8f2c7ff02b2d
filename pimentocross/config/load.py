"""Loads files into a checked configuration, or lists all their errors."""

from collections.abc import Mapping
from functools import cache
from pathlib import Path
from typing import Final

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

from pimentocross.config.checks import check_configuration
from pimentocross.config.findings import Finding, SourceLocation
from pimentocross.config.schema import Configuration
from pimentocross.config.tree import KeyPath, Tree, read_tree

SUFFIX: Final = ".yaml"
MAX_FILE_BYTES: Final = 1_000_000

_MESSAGES: Final = {
    "extra_forbidden": "unknown key",
    "missing": "this key is missing",
}


@cache
def _adapter() -> TypeAdapter[Configuration]:
    return TypeAdapter(Configuration)


def read_folder(folder: Path) -> dict[str, str]:
    """Returns the text of the folder's YAML files by name.

    Raises:
        OSError: The folder or a file can't be read.
        UnicodeDecodeError: A file is not UTF-8.
    """
    paths = sorted(p for p in folder.iterdir() if p.suffix == SUFFIX)
    return {path.name: path.read_text("utf-8") for path in paths}


def load_configuration(
    files: Mapping[str, str],
) -> Result[Configuration, list[Finding]]:
    """Merges and checks files.

    Returns:
        The configuration, or all findings in the order of their locations.
    """
    tree = read_tree(files)
    findings = list(tree.findings)
    config: Configuration | None = None
    try:
        config = _adapter().validate_python(tree.values)
    except ValidationError as error:
        for detail in error.errors(include_url=False):
            findings.append(_to_finding(tree, detail))
    if config is not None:
        for violation in check_configuration(config):
            location = _find_location(tree, violation.path)
            path = ".".join(str(part) for part in violation.path)
            findings.append(Finding(location, f"{path}: {violation.message}"))
    if findings or config is None:
        return Error(sorted(set(findings)))
    return Ok(config)


def _to_finding(tree: Tree, detail: ErrorDetails) -> Finding:
    path = tuple(part for part in detail["loc"] if part != "[key]")
    message = _MESSAGES.get(detail["type"], detail["msg"])
    message = message.removeprefix("Value error, ")
    name = ".".join(str(part) for part in path)
    return Finding(_find_location(tree, path), f"{name}: {message}")


def _find_location(tree: Tree, path: KeyPath) -> SourceLocation:
    while path and path not in tree.locations:
        path = path[:-1]
    return tree.locations.get(path, SourceLocation("(folder)", 1, 1))
