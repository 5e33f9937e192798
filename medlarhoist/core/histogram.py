"""Latency histograms with fixed, logarithmically spaced buckets.

Every process uses the same buckets, so histograms are added bucket by bucket.
A histogram is a tuple of counts; empty buckets at its end may be left out, and
the empty tuple holds no calls.
"""

from bisect import bisect_left
from collections.abc import Sequence
from operator import add
from typing import Final

Counts = tuple[int, ...]

EMPTY: Final[Counts] = ()

BUCKETS: Final = 40
LOWEST_US: Final = 100
HIGHEST_US: Final = 60_000_000
_RATIO: Final = (HIGHEST_US / LOWEST_US) ** (1 / (BUCKETS - 2))
UPPER_BOUNDS_US: Final = tuple(
    round(LOWEST_US * _RATIO**index) for index in range(BUCKETS - 1)
)


def bucket_of(latency_us: int) -> int:
    """Return the bucket index of a latency; the last bucket is unbounded."""
    return bisect_left(UPPER_BOUNDS_US, latency_us)


def add_counts(left: Counts, right: Counts) -> Counts:
    """Return the sum of two histograms, which may differ in length."""
    if not left or not right:
        return left or right
    size = min(len(left), len(right))
    rest = left[size:] or right[size:]
    return tuple(map(add, left, right)) + rest


def trim_counts(counts: Sequence[int]) -> Counts:
    """Return the histogram without the empty buckets at its end."""
    size = len(counts)
    while size and not counts[size - 1]:
        size -= 1
    return tuple(counts[:size])


def quantile_bucket(counts: Counts, fraction: float) -> int:
    """Return the bucket index of a quantile; zero without calls.

    Args:
        counts: the histogram.
        fraction: the quantile, 0 to 1.
    """
    rank = fraction * sum(counts)
    cumulative = 0
    for bucket, count in enumerate(counts):
        cumulative += count
        if cumulative and cumulative >= rank:
            return bucket
    return 0


def quantile_us(counts: Counts, fraction: float) -> int:
    """Return the upper bound of the bucket of a quantile, microseconds.

    For the unbounded bucket it is the highest bound that there is.

    Args:
        counts: the histogram.
        fraction: the quantile, 0 to 1.
    """
    bucket = min(quantile_bucket(counts, fraction), BUCKETS - 2)
    return UPPER_BOUNDS_US[bucket]


def count_above(counts: Counts, bucket: int) -> int:
    """Return the number of calls in the buckets after the given one."""
    return sum(counts[bucket + 1 :])
