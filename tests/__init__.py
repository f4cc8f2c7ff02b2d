"""Collects test functions into one suite; fixtures are in `fixtures`."""

from collections.abc import Awaitable, Callable
import importlib
import inspect
import pkgutil
import random
from types import FunctionType, ModuleType
import unittest
from unittest import mock

import trio
from trio._core import _run as trio_run
from trio.testing import MockClock

from pimentocross.owner import boot_clock

_PREFIX = "test_"


def load_tests(
    loader: unittest.TestLoader,
    standard_tests: unittest.TestSuite,
    pattern: str | None,
) -> unittest.TestSuite:
    """Returns a suite of all test functions; see unittest's `load_tests`."""
    suite = unittest.TestSuite()
    for info in pkgutil.walk_packages(__path__, f"{__name__}."):
        if info.name.rpartition(".")[2].startswith(_PREFIX):
            module = importlib.import_module(info.name)
            suite.addTests(_test_cases(module))
    return suite


def run_virtual(function: Callable[[], Awaitable[None]], seed: int = 0) -> None:
    """Runs a test in virtual time, scheduling tasks in a seeded order."""
    seed_tasks(seed)
    with mock.patch.object(boot_clock, "now", trio.current_time):
        # The clock jumps to the next deadline whenever all tasks wait.
        trio.run(function, clock=MockClock(autojump_threshold=0))


def seed_tasks(seed: int) -> None:
    """Seeds the order of tasks and random pauses, to make runs repeatable."""
    random.seed(seed)
    # trio shuffles runnable tasks with its own generator.
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
