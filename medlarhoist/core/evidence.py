"""Evidence: counts of calls by target version, by which moves are decided.

Nodes send rows of evidence up the distribution tree. Rows with the same key
and window are summed on the way, so a node may send a window in several parts.
"""

from collections.abc import Iterable
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.histogram import Counts, add_counts


class EvidenceKey(Struct, frozen=True, order=True):
    """Key of a row of evidence.

    Args:
        domain: failure domain of the nodes that counted the calls.
        service: service that was called.
        route: route of the calls, NO_ROUTE in rows that only report clamps.
        label: label of the target version.
    """

    domain: str
    service: str
    route: str
    label: str


class EvidenceRow(Struct, frozen=True, kw_only=True):
    """Counts of one window of about one second.

    Args:
        key: domain, service, route and target version.
        window: number of the window, seconds since 1970.
        succeeded: calls with a complete response below status 500.
        failed: other calls that may have run.
        refused: calls that did not run; they are not evidence of a fault.
        latency: histogram of the succeeded calls, see core.histogram.
        nodes: number of nodes whose calls are counted.
        clamped: number of nodes that have clamped the version; only in rows
            of NO_ROUTE.
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
        succeeded: calls with a complete response below status 500.
        failed: other calls that may have run.
        latency: histogram of the succeeded calls.
    """

    succeeded: int = 0
    failed: int = 0
    latency: Counts = ()

    @property
    def calls(self) -> int:
        """Return the number of calls that may have run."""
        return self.succeeded + self.failed


class Pair(Struct, frozen=True):
    """Counts of both versions of a move in one window."""

    window: int
    old: Tally
    new: Tally


class Series(Struct, frozen=True):
    """Counts of one route in one failure domain, by ascending window."""

    domain: str
    route: str
    pairs: tuple[Pair, ...]


NO_CALLS: Final = Tally()
NO_ROUTE: Final = ''
CLAMP_WINDOWS: Final = 3

_Windows = dict[int, dict[str, Tally]]


def merge_rows(rows: Iterable[EvidenceRow]) -> tuple[EvidenceRow, ...]:
    """Return the rows with those of the same key and window summed.

    Args:
        rows: rows of any number of nodes, in any order.

    Returns:
        One row for each key and window, sorted by key, then window.
    """
    merged: dict[tuple[EvidenceKey, int], EvidenceRow] = {}
    for row in rows:
        row_id = (row.key, row.window)
        before = merged.get(row_id)
        merged[row_id] = row if before is None else _add_rows(before, row)
    return tuple(merged[row_id] for row_id in sorted(merged))


def compact_rows(
    rows: Iterable[EvidenceRow],
    oldest_kept: int,
    new: str,
) -> tuple[EvidenceRow, ...]:
    """Return the rows with those of old windows summed into one window.

    The latency of the new version in old windows is dropped: it was evaluated
    when it was recent, and in the summed window the calls to cold targets can
    no longer be excluded.

    Args:
        rows: rows of one service.
        oldest_kept: first window that is kept unchanged; older ones are
            summed into the window before it.
        new: label of the new version.
    """
    return merge_rows(_move_old_row(row, oldest_kept, new) for row in rows)


def summarize(
    rows: Iterable[EvidenceRow],
    old: str,
    new: str,
) -> tuple[Series, ...]:
    """Return the counts of two versions of one service, paired by window.

    Args:
        rows: rows of one service; rows of other versions are ignored.
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
    """Return the failure domains that have clamped the new version.

    Args:
        rows: rows of one service.
        new: label of the new version.
        window: the present window; only the last CLAMP_WINDOWS are used.

    Returns:
        The domains where more than half of the nodes have a clamp, sorted.
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
    """Return the counts of one row that are evidence."""
    return Tally(row.succeeded, row.failed, row.latency)


def add_tallies(left: Tally, right: Tally) -> Tally:
    """Return the sum of two tallies."""
    return Tally(
        left.succeeded + right.succeeded,
        left.failed + right.failed,
        add_counts(left.latency, right.latency),
    )


def _move_old_row(row: EvidenceRow, oldest_kept: int, new: str) -> EvidenceRow:
    if row.window >= oldest_kept:
        return row
    latency = () if row.key.label == new else row.latency
    return replace(row, window=oldest_kept - 1, latency=latency)


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
