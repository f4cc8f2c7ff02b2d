"""Keeps Python's collector of cycles out of work that makes what stays."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
import gc

_FULL = 2


class _Term:
    """Up to where full collections had come as an owner last ended here."""

    ended_at = -1


@contextmanager
def survivors_left_out() -> Iterator[None]:
    """Has full collections look only through what came since the last one.

    Load pattern: thousands of jobs, of which many are remembered after their
    end. Looking through all of them stopped an owner for longer than peers
    wait for a sign of it, and found nothing. What is left out is still freed
    by count of its references; cycles of it are found after the block.
    """
    gc.callbacks.append(_leave_out)
    try:
        yield
    finally:
        gc.callbacks.remove(_leave_out)
        gc.unfreeze()
        _Term.ended_at = _full_collections()


@contextmanager
def uncollected() -> Iterator[None]:
    """Has no cycles looked for within the block; for use in the one above.

    While a state is read almost nothing becomes garbage, but each fourth more
    of it has all of it looked through, with the whole process stopped: most of
    the time that reading 2,200 jobs took.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        # What was made counts as old from now on; else the next, small
        # collection would look through all of it at once.
        gc.freeze()
        if _full_collections() <= _Term.ended_at:
            # What the former owner in this process left is still there.
            gc.unfreeze()
        if was_enabled:
            gc.enable()


def _leave_out(phase: str, info: Mapping[str, int]) -> None:
    if phase == "stop" and info["generation"] == _FULL:
        gc.freeze()


def _full_collections() -> int:
    return int(gc.get_stats()[_FULL]["collections"])
