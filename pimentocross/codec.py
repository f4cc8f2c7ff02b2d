"""Encodes typed messages as arrays: [tag, field, field, ...].

The arrays are sent as msgpack between entry VMs and as JSON to workers;
`msgspec` checks the type of each received field.
"""

from collections.abc import Mapping
from typing import Any, Generic, TypeVar

import msgspec

MessageT = TypeVar("MessageT", bound=tuple[Any, ...])


class MessageError(Exception):
    """A received message has an unknown tag or a field of a wrong type."""


class MessageTags(Generic[MessageT]):
    """The message types of one protocol, each with its tag."""

    def __init__(self, tags: Mapping[str, type[MessageT]]) -> None:
        """Initializes the table; the tags are part of the wire format."""
        self._types = dict(tags)
        self._tags = {cls: tag for tag, cls in tags.items()}

    def pack(self, message: MessageT) -> list[Any]:
        """Encodes a message as an array."""
        return [self._tags[type(message)], *message]

    def unpack(self, array: object) -> MessageT:
        """Decodes a message from an array.

        Raises:
            MessageError: The tag is unknown or a field has a wrong type.
        """
        if not isinstance(array, list) or not array:
            raise MessageError("message is not an array with a tag")
        cls = self._types.get(array[0]) if isinstance(array[0], str) else None
        if cls is None:
            raise MessageError(f"unknown message tag {array[0]!r:.40}")
        try:
            message: MessageT = msgspec.convert(array[1:], cls)
        except msgspec.ValidationError as error:
            raise MessageError(f"message {array[0]}: {error}") from error
        return message


def convert(value: object, cls: type[MessageT]) -> MessageT:
    """Converts decoded plain data to a typed tuple and checks its types.

    Raises:
        MessageError: The data does not match the type.
    """
    try:
        converted: MessageT = msgspec.convert(value, cls)
    except msgspec.ValidationError as error:
        raise MessageError(str(error)) from error
    return converted
