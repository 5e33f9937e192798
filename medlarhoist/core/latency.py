"""Latency: cumulative counts of the latencies of calls, for the metrics.

The bounds are coarse and few, since each is a line of the metrics page for
each service. Evidence on versions has finer ones, see core.histogram.
"""

from bisect import bisect_left
from collections.abc import Iterator
from itertools import accumulate
from typing import Final

BOUNDS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
_US_PER_SECOND: Final = 1_000_000
_BOUNDS_US: Final = tuple(round(one * _US_PER_SECOND) for one in BOUNDS_S)


class Latencies:
    """The latencies of the calls of one service since the start.

    Args:
        total_us: their sum, microseconds.
    """

    __slots__ = ('_counts', 'total_us')

    def __init__(self) -> None:
        """Start without a call."""
        self._counts = [0] * (len(BOUNDS_S) + 1)
        self.total_us = 0

    @property
    def calls(self) -> int:
        """Return how many calls there were."""
        return sum(self._counts)

    def record(self, latency_us: int) -> None:
        """Count one call."""
        self._counts[bisect_left(_BOUNDS_US, latency_us)] += 1
        self.total_us += latency_us

    def list_buckets(self) -> Iterator[tuple[str, int]]:
        """Yield each upper bound in seconds, and the calls up to it."""
        bounds = (*(f'{bound:g}' for bound in BOUNDS_S), '+Inf')
        yield from zip(bounds, accumulate(self._counts), strict=True)
