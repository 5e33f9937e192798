"""Strict validation of the heads of HTTP/1 messages.

The parser library accepts some malformed heads on which two parsers can
disagree about where a message ends (request smuggling). Every head is also
checked here, so that such a message is refused and its connection closed.
"""

import re
from collections.abc import Sequence
from typing import Final

from msgspec import Struct

from medlarhoist.core.headers import Header

HEAD_LIMIT_BYTES: Final = 16_384
REQUEST_LIMIT_BYTES: Final = 33_554_432
RESPONSE_LIMIT_BYTES: Final = 1_099_511_627_776
_LENGTH_DIGITS: Final = 15
_FRAMING_HEADERS: Final = frozenset(
    (b'content-length', b'transfer-encoding'),
)

# Possessive, as the matcher keeps a record for each line to go back to.
_FIELD: Final = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[\t\x20-\x7e\x80-\xff]*+\r\n"
_REQUEST_HEAD: Final = re.compile(
    rb'[A-Z]{1,24} [\x21-\x7e]+ HTTP/1\.[01]\r\n(?:%b)*+\r\n' % _FIELD,
)
_RESPONSE_HEAD: Final = re.compile(
    rb'HTTP/1\.[01] [1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n(?:%b)*+\r\n'
    % _FIELD,
)


class Framing(Struct, frozen=True):
    """How the body of a message is delimited.

    Args:
        length: length of the body in bytes, zero for a chunked body.
        chunked: whether the body uses the chunked transfer coding.
        declared: whether the head has a framing header.
        until_close: whether the body ends when the connection is closed.
    """

    length: int = 0
    chunked: bool = False
    declared: bool = False
    until_close: bool = False


class HeadFault(Struct, frozen=True):
    """Why a head is refused.

    Args:
        status: HTTP status of the refusal.
        reason: reason that is sent with it.
    """

    status: int
    reason: str


def check_request_head(raw: bytes) -> HeadFault | None:
    """Return the fault of a raw request head, None for a valid one."""
    if _REQUEST_HEAD.fullmatch(raw) is None:
        return HeadFault(400, 'malformed head')
    return None


def check_response_head(raw: bytes) -> HeadFault | None:
    """Return the fault of a raw response head, None for a valid one."""
    if _RESPONSE_HEAD.fullmatch(raw) is None:
        return HeadFault(502, 'malformed head')
    return None


def find_framing(
    headers: Sequence[Header],
    *,
    is_http10: bool,
    limit: int,
) -> Framing | HeadFault:
    """Return how the body is delimited, or the fault of an ambiguous head.

    Args:
        headers: all headers, names in lower case, values trimmed.
        is_http10: whether the message is HTTP/1.0.
        limit: maximum length of a declared body, bytes.
    """
    found = [header for header in headers if header[0] in _FRAMING_HEADERS]
    if not found:
        return Framing()
    name, value = found[0]
    if len(found) > 1:
        return HeadFault(400, 'ambiguous framing')
    if name == b'content-length':
        return _check_length(value, limit)
    if is_http10 or value.lower() != b'chunked':
        return HeadFault(400, 'unknown transfer-encoding')
    return Framing(0, chunked=True, declared=True)


def check_host(
    headers: Sequence[Header], *, is_http10: bool
) -> HeadFault | None:
    """Return a fault if Host is missing or repeated, None otherwise.

    HTTP/1.0 requests may have no Host header.
    """
    count = sum(header[0] == b'host' for header in headers)
    if count > 1 or (count == 0 and not is_http10):
        return HeadFault(400, 'one Host header is needed')
    return None


def _check_length(digits: bytes, limit: int) -> Framing | HeadFault:
    if not digits.isdigit():
        return HeadFault(400, 'malformed content-length')
    if len(digits) > _LENGTH_DIGITS or int(digits) > limit:
        return HeadFault(413, 'body too large')
    return Framing(int(digits), declared=True)
