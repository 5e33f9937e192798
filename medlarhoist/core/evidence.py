"""Evidence: what the calls of one window showed about a target version.

Rows with the same key and window are summed on their way up the tree, so a
node may send a window in several parts.
"""

from collections.abc import Iterable
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.histogram import Counts, add_counts


class EvidenceKey(Struct, frozen=True, order=True):
    """What one row of evidence is about."""

    domain: str
    service: str
    route: str
    label: str


class EvidenceRow(Struct, frozen=True, kw_only=True):
    """Counts of one window of about one second.

    Args:
        key: domain, service, route and target version.
        window: number of the window, seconds since 1970.
        succeeded: calls that ended with a whole answer below status 500.
        failed: calls that ended otherwise after they may have run.
        refused: calls that did not run; they are no evidence of a fault.
        latency: succeeded calls by latency bucket, see core.histogram.
        nodes: nodes that contributed.
        clamped: nodes that stopped sending to the version by themselves, in
            a row of no route.
    """

    key: EvidenceKey
    window: int
    succeeded: int = 0
    failed: int = 0
    refused: int = 0
    latency: tuple[int, ...] = ()
    nodes: int = 1
    clamped: int = 0


class Tally(Struct, frozen=True):
    """Counts of the calls of one version.

    Args:
        succeeded: calls with a whole answer below status 500.
        failed: calls that ended otherwise after they may have run.
        latency: succeeded calls by latency bucket.
    """

    succeeded: int = 0
    failed: int = 0
    latency: Counts = ()

    @property
    def calls(self) -> int:
        """Return the calls that are evidence."""
        return self.succeeded + self.failed


class Pair(Struct, frozen=True):
    """What both versions of a move showed in one window."""

    window: int
    old: Tally
    new: Tally


class Series(Struct, frozen=True):
    """The windows of one route in one failure domain, in order."""

    domain: str
    route: str
    pairs: tuple[Pair, ...]


NO_CALLS: Final = Tally()
NO_ROUTE: Final = ''
CLAMP_WINDOWS: Final = 3

_Windows = dict[int, dict[str, Tally]]


def merge_rows(rows: Iterable[EvidenceRow]) -> tuple[EvidenceRow, ...]:
    """Sum the rows that have the same key and window.

    Args:
        rows: rows of any number of nodes, in any order.

    Returns:
        One row for each key and window, sorted by key, then window.
    """
    merged: dict[tuple[EvidenceKey, int], EvidenceRow] = {}
    for row in rows:
        place = (row.key, row.window)
        before = merged.get(place)
        merged[place] = row if before is None else _add_rows(before, row)
    return tuple(merged[place] for place in sorted(merged))


def compact_rows(
    rows: Iterable[EvidenceRow],
    oldest_kept: int,
    new: str,
) -> tuple[EvidenceRow, ...]:
    """Sum the rows of windows long gone into one window.

    The past latency of the new version is dropped: it was judged when it was
    recent, and the windows in which targets were cold are no longer known.

    Args:
        rows: rows of one service.
        oldest: first window that is kept as it is.
        new: label of the new version.
    """
    return merge_rows(_age_row(row, oldest_kept, new) for row in rows)


def summarize(
    rows: Iterable[EvidenceRow],
    old: str,
    new: str,
) -> tuple[Series, ...]:
    """Put the rows of two versions of one service side by side.

    Args:
        rows: rows of one service; rows of other versions are left out.
        old: label of the old version.
        new: label of the new version.

    Returns:
        One series for each route and failure domain, sorted by both.
    """
    tallies: dict[tuple[str, str], _Windows] = {}
    for row in rows:
        if row.clamped or row.key.label not in {old, new}:
            continue
        windows = tallies.setdefault((row.key.domain, row.key.route), {})
        window = windows.setdefault(row.window, {})
        before = window.get(row.key.label, NO_CALLS)
        window[row.key.label] = add_tallies(before, tally_of(row))
    return tuple(
        Series(domain, route, _pair_windows(windows, old, new))
        for (domain, route), windows in sorted(tallies.items())
    )


def clamped_domains(
    rows: Iterable[EvidenceRow],
    new: str,
    window: int,
) -> tuple[str, ...]:
    """Return the failure domains that stopped sending by themselves.

    Args:
        rows: rows of one service.
        new: label of the new version.
        window: the present window; only the latest windows count.

    Returns:
        The domains of whose nodes more than half are clamped, sorted.
    """
    clamped: dict[str, int] = {}
    nodes: dict[str, int] = {}
    for row in rows:
        if row.window <= window - CLAMP_WINDOWS:
            continue
        domain = row.key.domain
        nodes[domain] = max(nodes.get(domain, 0), row.nodes)
        if row.key.label == new:
            clamped[domain] = max(clamped.get(domain, 0), row.clamped)
    return tuple(
        domain
        for domain in sorted(clamped)
        if 2 * clamped[domain] > nodes[domain]
    )


def tally_of(row: EvidenceRow) -> Tally:
    """Return the counts of one row."""
    return Tally(row.succeeded, row.failed, row.latency)


def add_tallies(left: Tally, right: Tally) -> Tally:
    """Return the sum of two tallies."""
    return Tally(
        left.succeeded + right.succeeded,
        left.failed + right.failed,
        add_counts(left.latency, right.latency),
    )


def _age_row(row: EvidenceRow, oldest: int, new: str) -> EvidenceRow:
    if row.window >= oldest:
        return row
    latency = () if row.key.label == new else row.latency
    return replace(row, window=oldest - 1, latency=latency)


def _add_rows(left: EvidenceRow, right: EvidenceRow) -> EvidenceRow:
    return replace(
        left,
        succeeded=left.succeeded + right.succeeded,
        failed=left.failed + right.failed,
        refused=left.refused + right.refused,
        latency=add_counts(left.latency, right.latency),
        nodes=left.nodes + right.nodes,
        clamped=left.clamped + right.clamped,
    )


def _pair_windows(
    windows: _Windows,
    old: str,
    new: str,
) -> tuple[Pair, ...]:
    return tuple(
        Pair(
            window,
            tallies.get(old, NO_CALLS),
            tallies.get(new, NO_CALLS),
        )
        for window, tallies in sorted(windows.items())
    )
