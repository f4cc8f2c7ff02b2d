"""YAML files into one tree of plain values that knows where each came from."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple, TypeAlias

import yaml

from pimentocross.config.findings import Finding, Place

KeyPath: TypeAlias = tuple[str | int, ...]

_DEPTH_MOST: Final = 32
# The one in C is quicker; both give the same nodes and places.
_LOADER: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class Tree(NamedTuple):
    """Merged values, the place of each path, and what was wrong."""

    values: dict[str, Any]
    places: dict[KeyPath, Place]
    findings: list[Finding]


class _FileReader:
    """Turns one file's nodes into values and places."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.places: dict[KeyPath, Place] = {}
        self.findings: list[Finding] = []
        self._seen: set[int] = set()
        self._constructor = yaml.constructor.SafeConstructor()

    def read(self, text: str) -> dict[str, Any]:
        """Returns the file's values, empty if it can't be read."""
        try:
            node = yaml.compose(text, Loader=_LOADER)
        except (yaml.YAMLError, RecursionError) as error:
            mark = getattr(error, "problem_mark", None)
            problem = getattr(error, "problem", None) or "nested too deeply"
            self.findings.append(Finding(self._place(mark), problem))
            return {}
        if node is None:
            return {}
        if not isinstance(node, yaml.MappingNode):
            self._find(node, "expected keys with values")
            return {}
        return self._mapping(node, ())

    def _place(self, mark: Any) -> Place:
        if mark is None:
            return Place(self.file, 1, 1)
        return Place(self.file, mark.line + 1, mark.column + 1)

    def _find(self, node: yaml.Node, message: str) -> None:
        self.findings.append(Finding(self._place(node.start_mark), message))

    def _value(self, node: yaml.Node, path: KeyPath) -> Any:
        self.places[path] = self._place(node.start_mark)
        # An alias is the same node again; following it could be endless.
        if id(node) in self._seen:
            self._find(node, "aliases are not supported")
            return None
        self._seen.add(id(node))
        if len(path) > _DEPTH_MOST:
            self._find(node, "nested too deeply")
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
            self._find(node, f"not a plain value: {error}")
            return None

    def _mapping(self, node: yaml.MappingNode, path: KeyPath) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = key_node.value
            if not isinstance(key, str):
                self._find(key_node, "expected a name as the key")
                continue
            if key in values:
                self._find(key_node, f"{key!r} is here twice")
                continue
            values[key] = self._value(value_node, (*path, key))
            self.places[(*path, key)] = self._place(key_node.start_mark)
        return values


def read_tree(files: Mapping[str, str]) -> Tree:
    """Merges files in the order of their names.

    A later file's keys go over an earlier one's; a null removes a key.

    Args:
        files: Text by file name.
    """
    tree = Tree({}, {}, [])
    for name in sorted(files):
        reader = _FileReader(name)
        values = reader.read(files[name])
        tree.findings.extend(reader.findings)
        _merge(tree, values, reader.places, ())
    return tree


def _merge(
    tree: Tree,
    values: dict[str, Any],
    places: dict[KeyPath, Place],
    path: KeyPath,
) -> None:
    target = _descend(tree.values, path)
    for key, value in values.items():
        here = (*path, key)
        if value is None:
            target.pop(key, None)
            continue
        tree.places[here] = places[here]
        if isinstance(value, dict):
            if not isinstance(target.get(key), dict):
                target[key] = {}
            _merge(tree, value, places, here)
            continue
        target[key] = value
        if isinstance(value, list):
            _keep_places_below(tree, places, here)


def _keep_places_below(
    tree: Tree, places: dict[KeyPath, Place], here: KeyPath
) -> None:
    for below, place in places.items():
        if below[: len(here)] == here:
            tree.places[below] = place


def _descend(values: dict[str, Any], path: KeyPath) -> dict[str, Any]:
    for key in path:
        values = values[str(key)]
    return values
