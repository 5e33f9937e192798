"""Headers of requests and responses between caller, node and target.

Header names are lower-case bytes. Headers with the reserved prefix are set by
nodes only: they are removed from requests of callers and responses of targets.
"""

from collections.abc import Iterable, Sequence
from typing import Final

Header = tuple[bytes, bytes]

RESERVED_PREFIX: Final = b'x-medlarhoist-'
REQUEST_HEADER: Final = b'x-medlarhoist-request'
DEADLINE_HEADER: Final = b'x-medlarhoist-deadline-ms'
SERVICE_HEADER: Final = b'x-medlarhoist-service'
LABEL_HEADER: Final = b'x-medlarhoist-label'
DOMAIN_HEADER: Final = b'x-medlarhoist-domain'
TOKEN_HEADER: Final = b'x-medlarhoist-token'
VERDICT_HEADER: Final = b'x-medlarhoist-verdict'
LOAD_HEADER: Final = b'x-medlarhoist-load'
CONDITION_HEADER: Final = b'x-medlarhoist-condition'
REQUIREMENTS_HEADER: Final = b'x-medlarhoist-need'
ACCOUNT_HEADER: Final = b'x-medlarhoist-account'
SUSPICION_HEADER: Final = b'x-medlarhoist-suspicion'
ARRIVED_HEADER: Final = b'x-medlarhoist-arrived'
RETRY_AFTER_HEADER: Final = b'retry-after'
REASON_HEADER: Final = b'x-medlarhoist-reason'

_HOP_BY_HOP_HEADERS: Final = frozenset(
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
    """Return the first value of a header, trimmed; None if it is missing."""
    for key, value in headers:
        if key == name:
            return value.strip()
    return None


def forward_headers(headers: Sequence[Header]) -> list[Header]:
    """Return the end-to-end headers, which are sent on to the next hop.

    Removes hop-by-hop headers, those listed in `Connection`, the framing
    headers and those with the reserved prefix.
    """
    dropped = _HOP_BY_HOP_HEADERS | _named_by_connection(headers)
    return [
        header
        for header in headers
        if header[0] not in dropped
        and not header[0].startswith(RESERVED_PREFIX)
    ]


def _named_by_connection(headers: Sequence[Header]) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b'connection'
        for token in value.split(b',')
    )
