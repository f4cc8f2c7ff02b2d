"""Decoders for bytes that other processes wrote.

Whatever the bytes are, a decoder returns a value of its type or raises
`msgspec.DecodeError`. The decoders of msgspec raise `RecursionError` for a
value that is nested deeply, also within a field that the type doesn't have;
uncaught, it ends the process of each reader in turn.
"""

from collections.abc import Callable
from typing import Annotated, Final, TypeAlias, TypeVar

import msgspec

_T = TypeVar("_T")

# Whole numbers that JSON readers represent exactly. Far within the range of
# msgpack, so that sums of accepted numbers can be encoded again.
MAX_NUMBER: Final = 2**53
Number: TypeAlias = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# Excludes infinity, which isn't a number, and NaN.
FiniteNumber: TypeAlias = Annotated[
    float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)
]


def json_decoder(
    cls: type[_T], *, strict: bool = True
) -> Callable[[bytes], _T]:
    """Returns a function that decodes JSON to a type.

    Args:
        cls: The type.
        strict: Whether numbers in strings are rejected.
    """
    return _checked(msgspec.json.Decoder(cls, strict=strict).decode)


def msgpack_decoder(cls: type[_T]) -> Callable[[bytes], _T]:
    """Returns a function that decodes msgpack to a type."""
    return _checked(msgspec.msgpack.Decoder(cls).decode)


def whole_number(value: str | int | float) -> int:
    """Converts a number of any type to an integer.

    Raises:
        ValueError: It isn't a number, or not within `MAX_NUMBER`.
    """
    number = float(value)
    if not -MAX_NUMBER <= number <= MAX_NUMBER:
        raise ValueError(f"{value!r:.40} is out of range")
    return int(value)


def _checked(decode: Callable[[bytes], _T]) -> Callable[[bytes], _T]:
    def decode_checked(value: bytes) -> _T:
        try:
            return decode(value)
        except RecursionError as error:
            raise msgspec.DecodeError("nested too deeply") from error
        except UnicodeDecodeError as error:
            raise msgspec.DecodeError(str(error)) from error

    return decode_checked
