"""Builds one executable: a launcher with Python linked in, and all modules."""

import compileall
from importlib.metadata import distribution
from pathlib import Path
import shutil
import subprocess
import sys
import tempfile
import zipfile

from packaging.requirements import Requirement

_ROOT = Path(__file__).parent.parent
_TARGET = _ROOT / "dist" / "pimentocross"
# Debian's Python, since its static library can be linked in as a whole.
_PYTHON = f"python{sys.version_info.major}.{sys.version_info.minor}"
_STDLIB = Path("/usr/lib") / _PYTHON
_EXCLUDED_FOLDERS = (
    "test",
    "tests",
    "idlelib",
    "tkinter",
    "turtledemo",
    "ensurepip",
    "lib2to3",
    "pydoc_data",
    "distutils",
    "__pycache__",
    "dist-packages",
    f"config-{sys.version_info.major}.{sys.version_info.minor}",
)
_EXCLUDED_MODULES = ("_test", "_ctypes_test", "xx", "_tkinter", "_dbm", "nis")


def runtime_distributions() -> list[str]:
    """Returns the project and its direct and indirect dependencies."""
    found: set[str] = set()
    pending = [Requirement("pimentocross")]
    while pending:
        wanted = pending.pop()
        found.add(wanted.name)
        for line in distribution(wanted.name).requires or []:
            requirement = Requirement(line)
            if requirement.name not in found and _applies(requirement, wanted):
                pending.append(requirement)
    return sorted(found)


def _applies(requirement: Requirement, wanted: Requirement) -> bool:
    marker = requirement.marker
    extras = wanted.extras or {""}
    return marker is None or any(marker.evaluate({"extra": e}) for e in extras)


def _copy_distribution(name: str, folder: Path) -> None:
    for file in distribution(name).files or []:
        parts = file.parts
        if ".." in parts or "__pycache__" in parts:
            continue
        metadata = file.name in ("METADATA", "entry_points.txt")
        if ".dist-info" in parts[0] and not metadata:
            continue
        target = folder.joinpath(*parts)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def _copy_stdlib(folder: Path) -> None:
    for path in _STDLIB.rglob("*"):
        parts = path.relative_to(_STDLIB).parts
        if any(part.startswith(_EXCLUDED_FOLDERS) for part in parts[:-1]):
            continue
        if path.is_dir() or path.name.startswith(_EXCLUDED_MODULES):
            continue
        if path.suffix not in (".py", ".so"):
            continue
        # Extension modules go to the top folder: they're imported by their
        # plain names, and Python has `lib-dynload` on its path.
        kept = parts[1:] if parts[0] == "lib-dynload" else parts
        target = folder.joinpath(*kept)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, target)


def _compile(folder: Path) -> None:
    """Replaces each source file by its compiled module in the same folder."""
    compileall.compile_dir(
        folder, quiet=2, legacy=True, optimize=0, stripdir=str(folder)
    )
    for source in folder.rglob("*.py"):
        if source.with_suffix(".pyc").exists():
            source.unlink()


def _archive(folder: Path, target: Path) -> None:
    with zipfile.ZipFile(target, "w", zipfile.ZIP_DEFLATED) as archive:
        # Namespace packages are found only if their folders have entries.
        for path in sorted(folder.rglob("*")):
            archive.write(path, path.relative_to(folder))


def _link(target: Path) -> None:
    """Links the launcher and Python statically, the C library dynamically."""
    library = f"/usr/lib/{_triplet()}/lib{_PYTHON}.a"
    command = [
        "gcc",
        "-O2",
        # Debian's static library isn't position-independent code.
        "-no-pie",
        f"-I/usr/include/{_PYTHON}",
        str(_ROOT / "onefile" / "launcher.c"),
        "-Wl,--whole-archive",
        library,
        "-Wl,--no-whole-archive",
        "-Wl,--export-dynamic",
        "-lexpat",
        "-lz",
        "-lm",
        "-ldl",
        "-lutil",
        "-o",
        str(target),
    ]
    subprocess.run(command, check=True)
    subprocess.run(["strip", str(target)], check=True)


def _triplet() -> str:
    command = ["gcc", "-print-multiarch"]
    return subprocess.run(
        command, check=True, capture_output=True, text=True
    ).stdout.strip()


def main() -> None:
    """Builds `dist/pimentocross`."""
    _TARGET.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name) / "modules"
        folder.mkdir()
        _copy_stdlib(folder)
        for distribution_name in runtime_distributions():
            if distribution_name != "pimentocross":
                _copy_distribution(distribution_name, folder)
        shutil.copytree(
            _ROOT / "pimentocross",
            folder / "pimentocross",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        shutil.copy(_ROOT / "onefile" / "onefile_boot.py", folder)
        _compile(folder)
        launcher, archive = Path(name) / "launcher", Path(name) / "modules.zip"
        _link(launcher)
        _archive(folder, archive)
        _TARGET.write_bytes(launcher.read_bytes() + archive.read_bytes())
        _TARGET.chmod(0o755)
    print(f"{_TARGET.name}: {_TARGET.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
