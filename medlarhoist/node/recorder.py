"""Recorder: counts what the calls of this node showed.

Counting a call is one dictionary look-up and a few increments. The counts are
cut into rows from time to time; rows of services that move go up the tree,
the totals of all are kept for the metrics.
"""

from collections.abc import Callable, Collection
from typing import Final

from msgspec import Struct

from medlarhoist.core.evidence import (
    NO_ROUTE,
    EvidenceKey,
    EvidenceRow,
    merge_rows,
)
from medlarhoist.core.histogram import BUCKETS, bucket_of, trim_counts
from medlarhoist.core.latency import Latencies

WINDOW_MS: Final = 1000
MAX_PENDING_ROWS: Final = 4000

Clock = Callable[[], int]
Route = tuple[str, str]


class Totals(Struct, frozen=True, order=True):
    """All calls since the start of the process, for the metrics."""

    service: str
    route: str
    label: str
    succeeded: int
    failed: int
    refused: int


class _Counter:
    """Counts since the last cut, and those before."""

    __slots__ = ('before', 'buckets', 'failed', 'refused', 'succeeded')

    def __init__(self) -> None:
        self.before = (0, 0, 0)
        self.clear()

    def clear(self) -> None:
        """Forget the counts since the last cut."""
        self.succeeded = 0
        self.failed = 0
        self.refused = 0
        self.buckets = [0] * BUCKETS

    def is_empty(self) -> bool:
        """Say whether no call was counted since the last cut."""
        return not (self.succeeded or self.failed or self.refused)

    def sums(self) -> tuple[int, int, int]:
        """Return succeeded, failed and refused calls since the start."""
        succeeded, failed, refused = self.before
        return (
            succeeded + self.succeeded,
            failed + self.failed,
            refused + self.refused,
        )


class Recorder:
    """Counts calls by route and version.

    Args:
        latencies: of the calls that were not refused, by service.
    """

    __slots__ = (
        '_clock',
        '_counters',
        '_domain',
        '_moving',
        '_pending',
        '_windows',
        'dropped_rows',
        'latencies',
    )

    def __init__(self, domain: str, clock: Clock) -> None:
        """Start with no calls; the clock gives milliseconds since 1970."""
        self._domain = domain
        self._clock = clock
        self._counters: dict[tuple[Route, str], _Counter] = {}
        self._moving: frozenset[str] = frozenset()
        self._pending: list[EvidenceRow] = []
        self._windows: dict[EvidenceKey, int] = {}
        self.dropped_rows = 0
        self.latencies: dict[str, Latencies] = {}

    def record(
        self,
        route: Route,
        label: str,
        *,
        succeeded: bool,
        refused: bool,
        latency_us: int,
    ) -> None:
        """Count one call, see ports.CallRecorder."""
        counter = self._counters.get((route, label))
        if counter is None:
            counter = _Counter()
            self._counters[(route, label)] = counter
        if not refused:
            self.latencies.setdefault(route[0], Latencies()).record(latency_us)
        if succeeded:
            counter.succeeded += 1
            counter.buckets[bucket_of(latency_us)] += 1
        elif refused:
            counter.refused += 1
        else:
            counter.failed += 1

    def follow(self, services: Collection[str]) -> None:
        """Say which services move; only their rows are kept for the tree."""
        self._moving = frozenset(services)

    def collect_rows(self) -> tuple[EvidenceRow, ...]:
        """Return the rows of services that move since the last cut.

        The calls are put into the window of the present time, so a cut is
        due every tenth of a second. The rows are also kept for `drain`.
        """
        window = self._clock() // WINDOW_MS
        rows = []
        for (route, label), counter in self._counters.items():
            if counter.is_empty():
                continue
            if route[0] in self._moving:
                key = EvidenceKey(self._domain, *route, label)
                rows.append(self._row(key, window, counter))
            counter.before = counter.sums()
            counter.clear()
        self._keep(rows)
        return tuple(rows)

    def tell_clamp(self, service: str, label: str) -> None:
        """Tell the tree, once a window, that this node is clamped."""
        window = self._clock() // WINDOW_MS
        key = EvidenceKey(self._domain, service, NO_ROUTE, label)
        if self._windows.get(key) != window:
            self._windows[key] = window
            row = EvidenceRow(key=key, window=window, nodes=0, clamped=1)
            self._keep([row])

    def drain(self) -> tuple[EvidenceRow, ...]:
        """Return and forget what was counted since the last drain.

        The window that still runs comes in parts, which are summed by key
        and window like any rows.
        """
        self.collect_rows()
        rows = merge_rows(self._pending)
        self._pending = []
        return rows

    def totals(self) -> tuple[Totals, ...]:
        """Return all calls since the start, sorted."""
        return tuple(
            sorted(
                Totals(*route, label, *counter.sums())
                for (route, label), counter in self._counters.items()
            ),
        )

    def dump(self) -> dict[str, object]:
        """Return the state for the dump of the process."""
        return {
            'moving': sorted(self._moving),
            'pending_rows': len(self._pending),
            'dropped_rows': self.dropped_rows,
            'totals': self.totals(),
        }

    def _row(
        self,
        key: EvidenceKey,
        window: int,
        counter: _Counter,
    ) -> EvidenceRow:
        is_first = self._windows.get(key) != window
        self._windows[key] = window
        return EvidenceRow(
            key=key,
            window=window,
            succeeded=counter.succeeded,
            failed=counter.failed,
            refused=counter.refused,
            latency=trim_counts(counter.buckets),
            nodes=int(is_first),
        )

    def _keep(self, rows: list[EvidenceRow]) -> None:
        self._pending.extend(rows)
        if len(self._pending) > MAX_PENDING_ROWS:
            self._pending = list(merge_rows(self._pending))
        surplus = len(self._pending) - MAX_PENDING_ROWS
        if surplus > 0:
            self._pending.sort(key=_window_of)
            self.dropped_rows += surplus
            self._pending = self._pending[surplus:]


def create_recorder(domain: str, clock: Clock) -> Recorder:
    """Return a recorder of the calls of a node.

    Args:
        domain: failure domain of the node.
        clock: returns milliseconds since 1970.
    """
    return Recorder(domain, clock)


def _window_of(row: EvidenceRow) -> int:
    return row.window
