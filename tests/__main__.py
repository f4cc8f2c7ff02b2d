"""Runs every test, or those whose names hold the given words."""

import sys
import time
import unittest

import tests

_SLOW_SECONDS = 5.0


class _Result(unittest.TextTestResult):
    """Prints a line for each test that is slow or does not pass."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Notes when the test began."""
        super().startTest(test)
        self._began = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Names a slow test."""
        super().stopTest(test)
        took = time.monotonic() - self._began
        if took > _SLOW_SECONDS:
            print(f"slow: {test.shortDescription()} {took:.1f} s")


def main() -> int:
    """Runs the tests; returns the exit code."""
    suite = tests.load_tests(
        unittest.defaultTestLoader, unittest.TestSuite(), None
    )
    words = sys.argv[1:]
    chosen = unittest.TestSuite(
        case
        for case in suite
        if not words or any(w in str(case.shortDescription()) for w in words)  # type: ignore[union-attr]
    )
    runner = unittest.TextTestRunner(resultclass=_Result)  # type: ignore[arg-type]
    result = runner.run(chosen)
    failed = len(result.failures) + len(result.errors)
    print(f"{result.testsRun - failed} passed, {failed} failed")
    return 1 if failed or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
