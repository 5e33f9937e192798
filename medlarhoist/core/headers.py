"""Hop: the headers that travel between caller, node and target.

Header names are lower-case bytes. Headers of the system's own prefix never
cross from a caller to a node, nor from a target to a caller.
"""

from collections.abc import Iterable, Sequence
from typing import Final

Header = tuple[bytes, bytes]

OWN_PREFIX: Final = b'x-medlarhoist-'
REQUEST_HEADER: Final = b'x-medlarhoist-request'
DEADLINE_HEADER: Final = b'x-medlarhoist-deadline-ms'
SERVICE_HEADER: Final = b'x-medlarhoist-service'
LABEL_HEADER: Final = b'x-medlarhoist-label'
DOMAIN_HEADER: Final = b'x-medlarhoist-domain'
TOKEN_HEADER: Final = b'x-medlarhoist-token'
VERDICT: Final = b'x-medlarhoist-verdict'
LOAD_HEADER: Final = b'x-medlarhoist-load'
NEED_HEADER: Final = b'x-medlarhoist-need'
ARRIVED_HEADER: Final = b'x-medlarhoist-arrived'
RETRY_AFTER: Final = b'retry-after'
REASON_HEADER: Final = b'x-medlarhoist-reason'

_CONNECTION_HEADERS: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value.strip()
    return None


def forward_headers(headers: Sequence[Header]) -> list[Header]:
    """Return the headers that the next hop shall see.

    Headers of one connection, those that `Connection` names, the framing
    and the system's own headers are left out.
    """
    dropped = _CONNECTION_HEADERS | _named_by_connection(headers)
    return [
        header
        for header in headers
        if header[0] not in dropped and not header[0].startswith(OWN_PREFIX)
    ]


def _named_by_connection(headers: Sequence[Header]) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b'connection'
        for token in value.split(b',')
    )
