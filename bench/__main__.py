"""Runs one benchmark by name; exits 1 if one of its bounds is missed."""

import sys

from bench import apply, idle, rehearsal, request

_BENCHMARKS = {
    "apply": apply.main,
    "idle": idle.main,
    "rehearsal": rehearsal.main,
    "request": request.main,
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
