"""Runs one benchmark by name; exits 1 if one of its bounds is missed."""

from collections.abc import Callable
import sys

from bench import (
    apply,
    capacity,
    idle,
    large_owner,
    owner,
    policy_report,
    rehearsal,
    request,
    target,
)
from bench.rounds import causes
from bench.rounds import command as rounds


def _print_capacity() -> int:
    """Prints the fitted slopes and the costs at the target size."""
    slopes = capacity.measure_slopes()
    capacity.print_slopes(slopes)
    print()
    target.print_lines(target.lines(slopes))
    return 0


_BENCHMARKS: dict[str, Callable[[], int]] = {
    "apply": apply.main,
    "causes": lambda: causes.main(sys.argv[2:]),
    "capacity": _print_capacity,
    "idle": idle.main,
    "large_owner": large_owner.main,
    "owner": owner.main,
    "policy": lambda: policy_report.main(sys.argv[2:]),
    "rehearsal": rehearsal.main,
    "request": request.main,
    "rounds": lambda: rounds.main(sys.argv[2:]),
}


def main() -> int:
    """Runs the benchmark that the first argument names."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    benchmark = _BENCHMARKS.get(name)
    if benchmark is None:
        print(f"usage: python -m bench {'|'.join(_BENCHMARKS)}")
        return 2
    return benchmark()


if __name__ == "__main__":
    sys.exit(main())
