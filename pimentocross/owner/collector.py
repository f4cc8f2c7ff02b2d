"""Limits the cyclic garbage collector's pauses in an owner of many jobs."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
import gc

_OLDEST_GENERATION = 2


class _PreviousOwner:
    """Number of full collections when the last owner in this process ended."""

    full_collections = -1


@contextmanager
def freeze_survivors() -> Iterator[None]:
    """Makes full collections examine only objects made since the last one.

    Load pattern: thousands of jobs, of which many are kept after their end.
    Examining all of them paused an owner for longer than the peers' heartbeat
    timeout, and found no garbage. Frozen objects are still freed by their
    reference count; cycles among them are collected after the block.
    """
    gc.callbacks.append(_freeze_after_full_collection)
    try:
        yield
    finally:
        gc.callbacks.remove(_freeze_after_full_collection)
        gc.unfreeze()
        _PreviousOwner.full_collections = _full_collections()


@contextmanager
def collection_paused() -> Iterator[None]:
    """Pauses the collector within the block; for use in `freeze_survivors`.

    While an owner loads its state almost nothing becomes garbage, but each
    growth by a quarter triggers a full collection that pauses the whole
    process. These took most of the time of loading 2,200 jobs.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        # Otherwise the next collection of the youngest generation would examine
        # all objects made in the block at once.
        gc.freeze()
        if _full_collections() <= _PreviousOwner.full_collections:
            # No full collection has run since the former owner in this process
            # ended: its garbage must not stay frozen.
            gc.unfreeze()
        if was_enabled:
            gc.enable()


def _freeze_after_full_collection(phase: str, info: Mapping[str, int]) -> None:
    if phase == "stop" and info["generation"] == _OLDEST_GENERATION:
        gc.freeze()


def _full_collections() -> int:
    return int(gc.get_stats()[_OLDEST_GENERATION]["collections"])
