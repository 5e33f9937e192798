"""Headers of requests and responses between caller, node and target.

Header names are lower-case bytes. Headers with the reserved prefix are set by
nodes only: they are removed from requests of callers and responses of targets.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import Final, overload

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


_LINE_END: Final = b'\r\n'
# A parsed line takes some 150 bytes besides its text.
_LIST_LIMIT: Final = 64


class PackedHeaders(Sequence[Header]):
    """Many headers, kept as text: lines may be far shorter than a record.

    Each iteration parses the lines again.
    """

    __slots__ = ('_text', '_count')

    def __init__(self, headers: Sequence[Header]) -> None:
        """Write headers as text; their values have no line ends."""
        self._text = b''.join(
            b'%b:%b%b' % (*header, _LINE_END) for header in headers
        )
        self._count = len(headers)

    def __iter__(self) -> Iterator[Header]:
        """Yield the headers in their order."""
        for line in self._text.split(_LINE_END)[:-1]:
            name, _, value = line.partition(b':')
            yield name, value

    def __len__(self) -> int:
        """Return the number of headers."""
        return self._count

    @overload
    def __getitem__(self, index: int) -> Header: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[Header]: ...

    def __getitem__(self, index: int | slice) -> Header | Sequence[Header]:
        """Return headers by their position."""
        return list(self)[index]


def pack_headers(headers: list[Header]) -> Sequence[Header]:
    """Return headers to keep for the time of a call, packed if many."""
    return headers if len(headers) <= _LIST_LIMIT else PackedHeaders(headers)


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
