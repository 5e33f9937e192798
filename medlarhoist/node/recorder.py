"""Recorder: counts the calls of this node by route and target version.

Counting a call is one dictionary look-up and a few increments. The counts are
collected into evidence rows periodically. Rows of selected services are sent
up the distribution tree to the sources; totals of all services are kept for
the metrics.
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
    """Calls of one route and version since the start of the process.

    Args:
        service: name of the service.
        route: name of the route.
        label: target version.
        succeeded: calls with a complete response whose status is below 500.
        failed: calls that ended otherwise after they may have run.
        refused: calls that certainly did not run.
    """

    service: str
    route: str
    label: str
    succeeded: int
    failed: int
    refused: int


class _Counter:
    """Counts of the calls of one route and version.

    Args:
        collected: succeeded, failed and refused calls up to the last
            collection.
        succeeded: succeeded calls since the last collection.
        failed: failed calls since then.
        refused: refused calls since then.
        buckets: succeeded calls since then, by latency bucket.
    """

    __slots__ = ('buckets', 'collected', 'failed', 'refused', 'succeeded')

    def __init__(self) -> None:
        self.collected = (0, 0, 0)
        self.clear()

    def clear(self) -> None:
        """Reset the counts since the last collection."""
        self.succeeded = 0
        self.failed = 0
        self.refused = 0
        self.buckets = [0] * BUCKETS

    def is_empty(self) -> bool:
        """Return whether no call was counted since the last collection."""
        return not (self.succeeded or self.failed or self.refused)

    def sums(self) -> tuple[int, int, int]:
        """Return succeeded, failed and refused calls since the start."""
        succeeded, failed, refused = self.collected
        return (
            succeeded + self.succeeded,
            failed + self.failed,
            refused + self.refused,
        )


class Recorder:
    """Counts calls by route and version.

    Args:
        dropped_rows: rows dropped because more than `MAX_PENDING_ROWS` were
            pending.
        latencies: latencies of the calls that were not refused, by service.
    """

    __slots__ = (
        '_clock',
        '_counters',
        '_domain',
        '_last_windows',
        '_pending',
        '_selected',
        'dropped_rows',
        'latencies',
    )

    def __init__(self, domain: str, clock: Clock) -> None:
        """Start without calls; see create_recorder for the arguments."""
        self._domain = domain
        self._clock = clock
        self._counters: dict[tuple[Route, str], _Counter] = {}
        self._selected: frozenset[str] = frozenset()
        self._pending: list[EvidenceRow] = []
        self._last_windows: dict[EvidenceKey, int] = {}
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
        """Count one call; see interfaces.CallRecorder."""
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

    def select_services(self, services: Collection[str]) -> None:
        """Set the services whose rows are kept for the distribution tree.

        Calls of other services only count in the totals and the latencies.

        Args:
            services: names of the services that move or that name no current
                version.
        """
        self._selected = frozenset(services)

    def collect_rows(self) -> tuple[EvidenceRow, ...]:
        """Return the rows of the selected services since the last collection.

        All calls since then are assigned to the current window, so it must be
        called about every 0.1 s. The rows are also kept for `drain`.
        """
        window = self._clock() // WINDOW_MS
        rows = []
        for (route, label), counter in self._counters.items():
            if counter.is_empty():
                continue
            if route[0] in self._selected:
                key = EvidenceKey(self._domain, *route, label)
                rows.append(self._create_row(key, window, counter))
            counter.collected = counter.sums()
            counter.clear()
        self._add_pending(rows)
        return tuple(rows)

    def record_clamp(self, service: str, label: str) -> None:
        """Add a row that reports a clamp of this node, at most once a window.

        Args:
            service: name of the service.
            label: the version that is clamped.
        """
        window = self._clock() // WINDOW_MS
        key = EvidenceKey(self._domain, service, NO_ROUTE, label)
        if self._last_windows.get(key) != window:
            self._last_windows[key] = window
            row = EvidenceRow(key=key, window=window, nodes=0, clamped=1)
            self._add_pending([row])

    def drain(self) -> tuple[EvidenceRow, ...]:
        """Return the rows since the last drain, and discard them.

        The rows of the current window may come in several parts; the receiver
        sums them by key and window as it does with rows of several nodes.
        """
        self.collect_rows()
        rows = merge_rows(self._pending)
        self._pending = []
        return rows

    def totals(self) -> tuple[Totals, ...]:
        """Return the calls since the start of the process, sorted."""
        return tuple(
            sorted(
                Totals(*route, label, *counter.sums())
                for (route, label), counter in self._counters.items()
            ),
        )

    def dump(self) -> dict[str, object]:
        """Return the state for the dump of the process."""
        return {
            'moving': sorted(self._selected),
            'pending_rows': len(self._pending),
            'dropped_rows': self.dropped_rows,
            'totals': self.totals(),
        }

    def _create_row(
        self,
        key: EvidenceKey,
        window: int,
        counter: _Counter,
    ) -> EvidenceRow:
        """Return the row of a counter, which counts this node once a window."""
        is_first = self._last_windows.get(key) != window
        self._last_windows[key] = window
        return EvidenceRow(
            key=key,
            window=window,
            succeeded=counter.succeeded,
            failed=counter.failed,
            refused=counter.refused,
            latency=trim_counts(counter.buckets),
            nodes=int(is_first),
        )

    def _add_pending(self, rows: list[EvidenceRow]) -> None:
        """Keep rows for `drain`; drop the oldest past `MAX_PENDING_ROWS`."""
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
