"""Typed messages to and from plain arrays: [tag, field, field, ...].

The arrays travel as msgpack between our processes and as JSON to workers;
`msgspec` checks each field's type on the way in.
"""

from collections.abc import Mapping
from typing import Any, Generic, TypeVar

import msgspec

MessageT = TypeVar("MessageT", bound=tuple[Any, ...])


class MessageError(Exception):
    """A message of unknown tag or wrong shape came in."""


class MessageTags(Generic[MessageT]):
    """The message types of one link, each under its tag."""

    def __init__(self, tags: Mapping[str, type[MessageT]]) -> None:
        """Registers the types; the tags are part of the wire form."""
        self._types = dict(tags)
        self._tags = {cls: tag for tag, cls in tags.items()}

    def pack(self, message: MessageT) -> list[Any]:
        """Returns the array form of a message."""
        return [self._tags[type(message)], *message]

    def unpack(self, array: object) -> MessageT:
        """Returns the message of an array form.

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
    """Returns a value of plain arrays as a typed one.

    Raises:
        MessageError: The value has another shape.
    """
    try:
        converted: MessageT = msgspec.convert(value, cls)
    except msgspec.ValidationError as error:
        raise MessageError(str(error)) from error
    return converted
