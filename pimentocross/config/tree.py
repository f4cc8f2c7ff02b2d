"""Merges YAML files into one tree of plain values with their locations."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple, TypeAlias

import yaml

from pimentocross.config.findings import Finding, SourceLocation

KeyPath: TypeAlias = tuple[str | int, ...]

_MAX_DEPTH: Final = 32
# The C loader is faster; both give the same nodes and locations.
_LOADER: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class Tree(NamedTuple):
    """Merged values, the source location of each path, and errors found."""

    values: dict[str, Any]
    locations: dict[KeyPath, SourceLocation]
    findings: list[Finding]


class _FileReader:
    """Converts one file's YAML nodes into values and locations."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.locations: dict[KeyPath, SourceLocation] = {}
        self.findings: list[Finding] = []
        self._seen: set[int] = set()
        self._constructor = yaml.constructor.SafeConstructor()

    def read(self, text: str) -> dict[str, Any]:
        """Returns the file's values, empty if they can't be parsed."""
        try:
            node = yaml.compose(text, Loader=_LOADER)
        except (yaml.YAMLError, RecursionError) as error:
            mark = getattr(error, "problem_mark", None)
            problem = getattr(error, "problem", None) or "nested too deeply"
            self.findings.append(Finding(self._location(mark), problem))
            return {}
        if node is None:
            return {}
        if not isinstance(node, yaml.MappingNode):
            self._add_finding(node, "expected keys with values")
            return {}
        return self._mapping(node, ())

    def _location(self, mark: Any) -> SourceLocation:
        if mark is None:
            return SourceLocation(self.file, 1, 1)
        return SourceLocation(self.file, mark.line + 1, mark.column + 1)

    def _add_finding(self, node: yaml.Node, message: str) -> None:
        self.findings.append(Finding(self._location(node.start_mark), message))

    def _value(self, node: yaml.Node, path: KeyPath) -> Any:
        self.locations[path] = self._location(node.start_mark)
        # An alias is the same node again; following it might never end.
        if id(node) in self._seen:
            self._add_finding(node, "aliases are not supported")
            return None
        self._seen.add(id(node))
        if len(path) > _MAX_DEPTH:
            self._add_finding(node, "nested too deeply")
            return None
        if isinstance(node, yaml.MappingNode):
            return self._mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            items = enumerate(node.value)
            return [self._value(item, (*path, i)) for i, item in items]
        return self._scalar(node)

    def _scalar(self, node: yaml.Node) -> Any:
        try:
            return self._constructor.construct_object(node)
        except (yaml.YAMLError, ValueError) as error:
            self._add_finding(node, f"not a plain value: {error}")
            return None

    def _mapping(self, node: yaml.MappingNode, path: KeyPath) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = key_node.value
            if not isinstance(key, str):
                self._add_finding(key_node, "expected a string as the key")
                continue
            if key in values:
                self._add_finding(key_node, f"duplicate key {key!r}")
                continue
            values[key] = self._value(value_node, (*path, key))
            self.locations[(*path, key)] = self._location(key_node.start_mark)
        return values


def read_tree(files: Mapping[str, str]) -> Tree:
    """Merges files in the order of their names.

    Keys of later files override those of earlier ones; null removes a key.

    Args:
        files: Text by file name.
    """
    tree = Tree({}, {}, [])
    for name in sorted(files):
        reader = _FileReader(name)
        values = reader.read(files[name])
        tree.findings.extend(reader.findings)
        _merge(tree, values, reader.locations, ())
    return tree


def _merge(
    tree: Tree,
    values: dict[str, Any],
    locations: dict[KeyPath, SourceLocation],
    path: KeyPath,
) -> None:
    target = _descend(tree.values, path)
    for key, value in values.items():
        key_path = (*path, key)
        if value is None:
            target.pop(key, None)
            continue
        tree.locations[key_path] = locations[key_path]
        if isinstance(value, dict):
            if not isinstance(target.get(key), dict):
                target[key] = {}
            _merge(tree, value, locations, key_path)
            continue
        target[key] = value
        if isinstance(value, list):
            _copy_locations_below(tree, locations, key_path)


def _copy_locations_below(
    tree: Tree, locations: dict[KeyPath, SourceLocation], key_path: KeyPath
) -> None:
    for nested_path, location in locations.items():
        if nested_path[: len(key_path)] == key_path:
            tree.locations[nested_path] = location


def _descend(values: dict[str, Any], path: KeyPath) -> dict[str, Any]:
    for key in path:
        values = values[str(key)]
    return values
