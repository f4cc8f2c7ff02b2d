"""Requests and answers of HTTP/1.1 in their plain form.

Nearly all that is sent and received here has one form: a head, then as many
bytes as it says. `h11` builds and checks headers one by one, which takes most
of the time of such an exchange; here one regular expression checks a whole
head. What has any other form is left to `h11`.
"""

import re
from typing import Final, NamedTuple

from pimentocross.links.asgi import Headers

HEAD_END: Final = b"\r\n\r\n"
# Longest head that is looked for, as in `h11`.
HEAD_MOST: Final = 16 * 1024

# Headers of one hop, which a forwarder does not pass on (RFC 9110, 7.6.1).
HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# RFC 9110, 5.1 and 5.5: a token, and a value without control characters. No
# part can match what the next one does, so that a check takes linear time.
_FIELDS: Final = (
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*"
)
_REQUEST: Final = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ [\x21-\x7e]+ HTTP/1\.1\r\n" + _FIELDS
)
_NAMES: Final = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z ]*")
_ANSWER: Final = re.compile(
    rb"HTTP/1\.1 ([2-5][0-9][0-9])(?: [^\x00\r\n]*)?\r\n(" + _FIELDS + rb")\r\n"
)
_LENGTH: Final = re.compile(rb"[0-9]{1,12}")
# Answers without a body, whatever their head says.
_NO_BODY: Final = frozenset({204, 304})


class PlainHead(NamedTuple):
    """The head of an answer.

    Attributes:
        status: Its status.
        headers: Its headers but those of one hop, names in lower case.
        start: Where the body begins.
        length: Bytes of the body.
    """

    status: int
    headers: Headers
    start: int
    length: int


def write_head(
    method: str, target: str, host: bytes, headers: Headers
) -> bytes | None:
    """Returns the head of a request, or None if it can't be written."""
    lines = [
        b"%b %b HTTP/1.1\r\nhost: %b\r\n"
        % (
            method.encode("latin-1"),
            target.encode("latin-1"),
            host,
        )
    ]
    lines += [b"%b: %b\r\n" % header for header in headers]
    head = b"".join(lines)
    # Each name is one, each line is ours, and each is well formed.
    names = b" ".join([name for name, _ in headers])
    if not _NAMES.fullmatch(names) or head.count(b"\n") != len(headers) + 2:
        return None
    if not _REQUEST.fullmatch(head):
        return None
    return head + b"\r\n"


def read_head(received: bytes) -> PlainHead | None:
    """Returns the head of an answer, or None if it isn't whole and plain."""
    found = _ANSWER.match(received)
    if found is None or int(found[1]) in _NO_BODY:
        return None
    length = -1
    headers: Headers = []
    for line in found[2].split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        if name == b"content-length":
            if length >= 0 or not _LENGTH.fullmatch(value):
                return None
            length = int(value)
        elif name in HOP_HEADERS:
            if not _keeps_open(name, value):
                return None
            continue
        headers.append((name, value))
    if length < 0:
        return None
    return PlainHead(int(found[1]), headers, found.end(), length)


def _keeps_open(name: bytes, value: bytes) -> bool:
    """True for a header of one hop that changes nothing."""
    if name == b"connection":
        return value.lower() == b"keep-alive"
    return name == b"keep-alive"
