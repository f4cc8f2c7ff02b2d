"""Fast encoder and parser for heads of simple HTTP/1.1 messages.

Nearly all messages have a head and a body of the given content length. `h11`
builds and checks headers one by one, which takes most of the time of such an
exchange; here one regular expression checks a whole head. Messages of any other
form, such as chunked ones, are left to `h11`.
"""

import re
from typing import Final, NamedTuple

from pimentocross.links.asgi import Headers

HEAD_END: Final = b"\r\n\r\n"
# Beyond this size the end of a head isn't searched; the same limit as `h11`'s.
MAX_HEAD_BYTES: Final = 16 * 1024

# Hop-by-hop headers, which a proxy does not forward (RFC 9110, 7.6.1).
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
# part can match the start of the next one, so a match takes linear time.
_HEADER_LINES: Final = (
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*"
)
_REQUEST: Final = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ [\x21-\x7e]+ HTTP/1\.1\r\n" + _HEADER_LINES
)
_HEADER_NAMES: Final = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z ]*")
_ANSWER: Final = re.compile(
    rb"HTTP/1\.1 ([2-5][0-9][0-9])(?: [^\x00\r\n]*)?\r\n("
    + _HEADER_LINES
    + rb")\r\n"
)
_CONTENT_LENGTH: Final = re.compile(rb"[0-9]{1,12}")
# Answers with these statuses have no body, whatever their content length.
_STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})


class PlainHead(NamedTuple):
    """The parsed head of an answer with a content length.

    Attributes:
        status: HTTP status code.
        headers: Headers without hop-by-hop ones; names are in lower case.
        body_start: Offset of the body in the received bytes.
        body_length: Size of the body in bytes.
    """

    status: int
    headers: Headers
    body_start: int
    body_length: int


def write_head(
    method: str, target: str, host: bytes, headers: Headers
) -> bytes | None:
    """Returns the encoded head of a request, or None if a part is invalid."""
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
    # Prevents header injection: no name or value may add a line or a header.
    names = b" ".join([name for name, _ in headers])
    if (
        not _HEADER_NAMES.fullmatch(names)
        or head.count(b"\n") != len(headers) + 2
    ):
        return None
    if not _REQUEST.fullmatch(head):
        return None
    return head + b"\r\n"


def read_head(received: bytes) -> PlainHead | None:
    """Parses the head of an answer.

    Returns None if the head is incomplete or invalid, or if the answer has no
    plain body of a given content length.
    """
    head_match = _ANSWER.match(received)
    if head_match is None or int(head_match[1]) in _STATUSES_WITHOUT_BODY:
        return None
    body_length = -1
    headers: Headers = []
    for line in head_match[2].split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        if name == b"content-length":
            if body_length >= 0 or not _CONTENT_LENGTH.fullmatch(value):
                return None
            body_length = int(value)
        elif name in HOP_HEADERS:
            if not _keeps_open(name, value):
                return None
            continue
        headers.append((name, value))
    if body_length < 0:
        return None
    return PlainHead(int(head_match[1]), headers, head_match.end(), body_length)


def _keeps_open(name: bytes, value: bytes) -> bool:
    """Returns whether a hop-by-hop header only asks for a kept connection."""
    if name == b"connection":
        return value.lower() == b"keep-alive"
    return name == b"keep-alive"
