"""Parses durations, sizes and rates with units in the configuration."""

import re
from typing import Annotated, Final

from pydantic import BeforeValidator

_QUANTITY: Final = re.compile(r"^\s*(\d+(?:\.\d+)?)\s*([a-zA-Z/]+)\s*$")

_DURATIONS: Final = {
    "ms": 0.001,
    "s": 1.0,
    "m": 60.0,
    "min": 60.0,
    "h": 3600.0,
    "d": 86400.0,
}
_SIZES: Final = {
    "B": 1,
    "KB": 1000,
    "MB": 1000**2,
    "GB": 1000**3,
    "TB": 1000**4,
    "KiB": 1024,
    "MiB": 1024**2,
    "GiB": 1024**3,
}
_RATES: Final = {"/s": 1.0, "/m": 1 / 60, "/min": 1 / 60, "/h": 1 / 3600}


def _parse(value: object, units: dict[str, float], example: str) -> float:
    match = _QUANTITY.match(value) if isinstance(value, str) else None
    if match is None or match[2] not in units:
        known = ", ".join(units)
        raise ValueError(
            f"expected a number with a unit ({known}), such as {example}"
        )
    return float(match[1]) * units[match[2]]


def parse_duration(value: object) -> float:
    """Parses a duration such as 250ms and returns seconds.

    Raises:
        ValueError: The value is not a number with a unit of time.
    """
    return _parse(value, _DURATIONS, "250ms")


def parse_size(value: object) -> int:
    """Parses a size such as 4GB and returns bytes.

    Raises:
        ValueError: The value is not a number with a unit of size.
    """
    sizes = {unit: float(factor) for unit, factor in _SIZES.items()}
    return int(_parse(value, sizes, "4GB"))


def parse_rate(value: object) -> float:
    """Parses a rate such as 50/s and returns events per second.

    Raises:
        ValueError: The value is not a number with a unit of rate.
    """
    return _parse(value, _RATES, "50/s")


Duration = Annotated[float, BeforeValidator(parse_duration)]
Size = Annotated[int, BeforeValidator(parse_size)]
Rate = Annotated[float, BeforeValidator(parse_rate)]
