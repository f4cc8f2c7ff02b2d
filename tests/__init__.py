"""Tests: functions, gathered into one suite; fixtures are in `fixtures`."""

from collections.abc import Awaitable, Callable
import importlib
import inspect
import pkgutil
import random
from types import FunctionType, ModuleType
import unittest

import trio
from trio._core import _run as trio_run
from trio.testing import MockClock

_PREFIX = "test_"


def load_tests(
    loader: unittest.TestLoader,
    standard_tests: unittest.TestSuite,
    pattern: str | None,
) -> unittest.TestSuite:
    """Gathers every test function of this package; see `unittest`."""
    suite = unittest.TestSuite()
    for info in pkgutil.walk_packages(__path__, f"{__name__}."):
        if info.name.rpartition(".")[2].startswith(_PREFIX):
            module = importlib.import_module(info.name)
            suite.addTests(_test_cases(module))
    return suite


def run_virtual(function: Callable[[], Awaitable[None]], seed: int = 0) -> None:
    """Runs a test in virtual time, tasks in an order drawn from a seed."""
    seed_tasks(seed)
    # The clock jumps whenever every task waits.
    trio.run(function, clock=MockClock(autojump_threshold=0))


def seed_tasks(seed: int) -> None:
    """Makes the order of tasks and random pauses in a run repeat itself."""
    random.seed(seed)
    # trio shuffles runnable tasks by a generator of its own.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined,misc,unused-ignore]
    trio_run._r = random.Random(seed)  # type: ignore[attr-defined,misc,unused-ignore]


def _test_cases(module: ModuleType) -> list[unittest.TestCase]:
    return [
        _make_case(function)
        for name, function in vars(module).items()
        if name.startswith(_PREFIX)
        and isinstance(function, FunctionType)
        and function.__module__ == module.__name__
    ]


def _make_case(function: FunctionType) -> unittest.TestCase:
    def run() -> None:
        if not inspect.iscoroutinefunction(function):
            function()
        elif getattr(function, "real_time", False):
            trio.run(function)
        else:
            run_virtual(function)

    run.__name__ = function.__name__
    description = f"{function.__module__}.{function.__name__}"
    return unittest.FunctionTestCase(run, description=description)
