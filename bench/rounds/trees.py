"""Manages git work trees, one for each day that runs in parallel."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
import queue
import shutil
import subprocess
from typing import Final

_DEPLOY: Final = Path("deploy/system.toml")
_SCRIPT: Final = Path("bench/without.py")
_START_COMMAND: Final = "python3 -P -m pimentocross.platform"


def git(tree: Path, *arguments: str) -> str:
    """Runs git in a work tree and returns its output."""
    done = subprocess.run(
        ["git", *arguments],
        cwd=tree,
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout.strip()


def commit_of(repository: Path, name: str) -> str:
    """Returns the full id of a commit; "." is the current work tree."""
    if name != ".":
        return git(repository, "rev-parse", name)
    stash = git(repository, "stash", "create")
    return stash or git(repository, "rev-parse", "HEAD")


class Trees:
    """A pool of work trees."""

    def __init__(self, repository: Path, folder: Path, count: int) -> None:
        """Creates the work trees that do not exist yet."""
        self._repository = repository
        self._free_trees: queue.Queue[Path] = queue.Queue()
        folder.mkdir(parents=True, exist_ok=True)
        for number in range(count):
            tree = folder / f"tree-{number}"
            if not tree.exists():
                git(repository, "worktree", "add", "-f", "--detach", str(tree))
            self._free_trees.put(tree)

    @contextmanager
    def checked_out(self, commit: str, without: str) -> Iterator[Path]:
        """Yields a work tree at a commit, with a mechanism disabled or none."""
        tree = self._free_trees.get()
        try:
            git(tree, "checkout", "-q", "-f", "--detach", commit)
            if without:
                self._switch_off(tree, without)
            yield tree
            self._copy_journal(tree)
        finally:
            self._free_trees.put(tree)

    def _switch_off(self, tree: Path, without: str) -> None:
        shutil.copy(self._repository / _SCRIPT, tree / _SCRIPT)
        deploy = tree / _DEPLOY
        start = f"python3 -P {_SCRIPT} {without}"
        deploy.write_text(deploy.read_text().replace(_START_COMMAND, start))

    def _copy_journal(self, tree: Path) -> None:
        """Copies new journal entries to the repository."""
        for source in (tree / "journal").rglob("*"):
            target = self._repository / source.relative_to(tree)
            if source.is_file() and not target.exists():
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(source, target)
