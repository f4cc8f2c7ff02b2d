"""Tests merging, checks with source locations, and versions."""

from pathlib import Path

from pimentocross.config.load import load_configuration, read_folder
from pimentocross.config.state import KINDS, ConfigChanged, ConfigState

_EXAMPLES = Path(__file__).parent.parent / "examples"


def _findings(files: dict[str, str]) -> list[str]:
    loaded = load_configuration(files)
    return [] if loaded.is_ok() else [str(f) for f in loaded.error]


def test_examples_check_also_with_their_rehearsal() -> None:
    for name in ("quetzal", "ostend"):
        files = read_folder(_EXAMPLES / name)
        assert _findings(files) == []
        rehearsal = read_folder(_EXAMPLES / name / "rehearsals")
        assert rehearsal
        assert _findings({**files, **rehearsal}) == []


def test_later_file_goes_over_earlier_and_null_removes() -> None:
    files = read_folder(_EXAMPLES / "quetzal")
    files["90.yaml"] = (
        "services:\n  juguetes-stock: {replicas: 5}\nsharing: null\n"
    )
    config = load_configuration(files).ok
    assert config.services["juguetes-stock"].replicas == 5
    assert config.services["juguetes-stock"].concurrency == 4
    assert config.sharing == {}


def test_all_findings_come_at_once_with_their_place() -> None:
    files = read_folder(_EXAMPLES / "quetzal")
    files["95.yaml"] = """\
bogus: 1
services:
  kites:
    tenant: nobody
    replicas: two
    size: {processors: 2, memory: 4}
    size: {processors: 2, memory: 4GB}
"""
    found = _findings(files)
    assert "95.yaml:1:1: bogus: unknown key" in found
    assert any(f.startswith("95.yaml:5:5: services.kites.r") for f in found)
    assert any(f.startswith("95.yaml:6:27: services.kites.s") for f in found)
    assert "95.yaml:7:5: duplicate key 'size'" in found


def test_references_and_sums_are_checked() -> None:
    files = read_folder(_EXAMPLES / "quetzal")
    files["95.yaml"] = """\
batch:
  huge: {tenant: nobody, size: {processors: 99, memory: 1GB}, run_time: 1s}
tenants:
  planning: {quota: {processors: 9000, memory: 1GB}}
watches:
  price-labels: {zone: nowhere}
"""
    found = _findings(files)
    assert any("no tenant 'nobody'" in f for f in found)
    assert any("99.0 processors fit on no VM" in f for f in found)
    assert any("exceed the 384 there are" in f for f in found)
    assert "95.yaml:6:18: watches.price-labels.zone: no availability" in str(
        found
    )


def test_hostile_yaml_is_a_finding() -> None:
    bomb = "a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n"
    deep = "[" * 5000
    for text in (bomb, deep, "a: !!python/object:os.system x", "a: {b", "- 1"):
        assert _findings({"x.yaml": text})


def test_change_against_an_old_version_is_rejected() -> None:
    files = read_folder(_EXAMPLES / "quetzal")
    state = ConfigState()
    first = KINDS.encode(ConfigChanged(0, files, []))
    assert state.apply(4, first) is None
    assert state.version == 5
    assert state.apply(5, first) == "version 5 is in force"
    broken = KINDS.encode(ConfigChanged(5, {"99.yaml": "x: 1"}, []))
    assert "99.yaml:1:1" in str(state.apply(6, broken))
    moved = "watches:\n  price-labels: {zone: zona-norte}\n"
    move = KINDS.encode(ConfigChanged(5, {"99.yaml": moved}, []))
    assert "can't move" in str(state.apply(7, move))
    assert state.version == 5
