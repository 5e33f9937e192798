"""Cumulative latency histograms for the metrics endpoint.

The buckets are few and coarse, since each adds a line to the metrics for each
service. Evidence on versions uses the finer buckets of core.histogram.
"""

from bisect import bisect_left
from collections.abc import Iterator
from itertools import accumulate
from typing import Final

BOUNDS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
_US_PER_SECOND: Final = 1_000_000
_BOUNDS_US: Final = tuple(round(bound * _US_PER_SECOND) for bound in BOUNDS_S)


class Latencies:
    """Latency histogram of the calls of one service since the node's start.

    Args:
        total_us: sum of all latencies, microseconds.
    """

    __slots__ = ('_counts', 'total_us')

    def __init__(self) -> None:
        """Start without recorded calls."""
        self._counts = [0] * (len(BOUNDS_S) + 1)
        self.total_us = 0

    @property
    def calls(self) -> int:
        """Return the number of recorded calls."""
        return sum(self._counts)

    def record(self, latency_us: int) -> None:
        """Record the latency of one call, microseconds."""
        self._counts[bisect_left(_BOUNDS_US, latency_us)] += 1
        self.total_us += latency_us

    def list_buckets(self) -> Iterator[tuple[str, int]]:
        """Yield each upper bound in seconds with the number of calls up to it.

        The last bound is '+Inf', as the metrics format requires.
        """
        bounds = (*(f'{bound:g}' for bound in BOUNDS_S), '+Inf')
        yield from zip(bounds, accumulate(self._counts), strict=True)
