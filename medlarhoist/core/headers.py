"""Headers of requests and responses between caller, node and target.

Header names are lower-case bytes. Headers with the reserved prefix are set by
nodes only: they are removed from requests of callers and responses of targets.
"""

from collections.abc import Iterable, Iterator, Sequence, Set
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

_CONNECTION: Final = frozenset((b'connection',))
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
_LIST_LIMIT: Final = 24
# Names above which one pass over the lines is cheaper than a search for each.
_SEARCH_LIMIT: Final = 32


class PackedHeaders(Sequence[Header]):
    """Many headers, kept as text: lines may be far shorter than a record.

    Searches don't parse the lines, which would take more time than all else
    that a node does for a request. An iteration parses them.

    Args:
        text: the lines as received, each after a line end.
    """

    __slots__ = ('text',)

    def __init__(self, text: bytes) -> None:
        """Keep valid lines, each after a line end."""
        self.text = text

    def __iter__(self) -> Iterator[Header]:
        """Yield the headers in their order."""
        for line in self.text.split(_LINE_END)[1:]:
            yield _parse_line(line)

    def __len__(self) -> int:
        """Return the number of headers."""
        return self.text.count(_LINE_END)

    @overload
    def __getitem__(self, index: int) -> Header: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[Header]: ...

    def __getitem__(self, index: int | slice) -> Header | Sequence[Header]:
        """Return headers by their position."""
        return list(self)[index]

    def pick(self, names: Iterable[bytes]) -> list[Header]:
        """Return the headers of these names, in their order."""
        spans = self._find_lines(b'%b:' % name for name in names)
        return [_parse_line(self.text[start + 2 : end]) for start, end in spans]

    def drop(self, names: Set[bytes], prefix: bytes = b'') -> 'PackedHeaders':
        """Return the headers without some.

        Args:
            names: names that are left out.
            prefix: beginning of further names, empty for none.
        """
        if len(names) > _SEARCH_LIMIT:
            return self._filter(names).drop(frozenset(), prefix)
        starts = [b'%b:' % name for name in names]
        if prefix:
            starts.append(prefix)
        kept = []
        position = 0
        for start, end in self._find_lines(starts):
            kept.append(self.text[position:start])
            position = end
        kept.append(self.text[position:])
        return PackedHeaders(b''.join(kept))

    def add(self, headers: Iterable[Header]) -> 'PackedHeaders':
        """Return the headers with others behind them."""
        lines = b''.join(b'\r\n%b: %b' % header for header in headers)
        return PackedHeaders(self.text + lines)

    def _filter(self, names: Set[bytes]) -> 'PackedHeaders':
        lines = self.text.split(_LINE_END)[1:]
        return PackedHeaders(
            b''.join(
                b'%b%b' % (_LINE_END, line)
                for line in lines
                if line.partition(b':')[0].lower() not in names
            )
        )

    def _find_lines(self, starts: Iterable[bytes]) -> list[tuple[int, int]]:
        """Return where lines begin and end that start in one of these ways.

        Args:
            starts: first bytes of the lines, in lower case.
        """
        lowered = self.text.lower()
        spans = []
        for start in starts:
            wanted = b'%b%b' % (_LINE_END, start)
            position = lowered.find(wanted)
            while position >= 0:
                end = lowered.find(_LINE_END, position + len(_LINE_END))
                spans.append((position, len(lowered) if end < 0 else end))
                position = -1 if end < 0 else lowered.find(wanted, end)
        return sorted(spans)


def pack_fields(raw: bytes) -> PackedHeaders | None:
    """Return the headers of a valid head, None if they are few.

    Args:
        raw: the head, including its empty line.
    """
    lines = raw.count(_LINE_END) - 2
    if lines <= _LIST_LIMIT:
        return None
    return PackedHeaders(raw[raw.find(_LINE_END) : -2 * len(_LINE_END)])


def pick_headers(
    headers: Sequence[Header], names: Set[bytes]
) -> Sequence[Header]:
    """Return the headers of these names, in their order."""
    if isinstance(headers, PackedHeaders):
        return headers.pick(names)
    return [header for header in headers if header[0] in names]


def drop_headers(
    headers: Sequence[Header], names: Set[bytes], prefix: bytes = b''
) -> Sequence[Header]:
    """Return the headers without some.

    Args:
        headers: the headers.
        names: names that are left out; an empty one stands for none.
        prefix: beginning of further names, empty for none.
    """
    if isinstance(headers, PackedHeaders):
        return headers.drop(names - {b''}, prefix)
    return [
        header
        for header in headers
        if header[0] not in names
        and not (prefix and header[0].startswith(prefix))
    ]


def add_headers(
    headers: Sequence[Header], added: Iterable[Header]
) -> Sequence[Header]:
    """Return the headers with others behind them."""
    if isinstance(headers, PackedHeaders):
        return headers.add(added)
    return [*headers, *added]


def find_header(headers: Sequence[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, trimmed; None if it is missing."""
    if isinstance(headers, PackedHeaders):
        headers = headers.pick((name,))
    for key, value in headers:
        if key == name:
            return value.strip()
    return None


def forward_headers(headers: Sequence[Header]) -> Sequence[Header]:
    """Return the end-to-end headers, which are sent on to the next hop.

    Removes hop-by-hop headers, those listed in `Connection`, the framing
    headers and those with the reserved prefix.
    """
    dropped = _HOP_BY_HOP_HEADERS | _named_by_connection(headers)
    return drop_headers(headers, dropped, RESERVED_PREFIX)


def _named_by_connection(headers: Sequence[Header]) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for _, value in pick_headers(headers, _CONNECTION)
        for token in value.split(b',')
    )


def _parse_line(line: bytes) -> Header:
    name, _, value = line.partition(b':')
    return name.lower(), value.strip()
