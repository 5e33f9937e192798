"""Tests of the latency buckets."""

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from medlarhoist.core.histogram import (
    BUCKETS,
    UPPER_BOUNDS_US,
    add_counts,
    bucket_of,
    count_above,
    quantile_us,
    trim_counts,
)

COUNTS = st.lists(st.integers(0, 9), max_size=BUCKETS).map(tuple)


def test_bounds_are_ascending():
    assert len(UPPER_BOUNDS_US) == BUCKETS - 1
    assert all(left < right for left, right in pairwise(UPPER_BOUNDS_US))


@settings(derandomize=True)
@given(st.integers(0, 10**9))
def test_latency_is_within_the_bounds_of_its_bucket(latency_us):
    bucket = bucket_of(latency_us)
    bounds = (0, *UPPER_BOUNDS_US, 10**9)
    assert bounds[bucket] <= latency_us <= bounds[bucket + 1]


@settings(derandomize=True)
@given(COUNTS, COUNTS)
def test_sum_keeps_every_call(left, right):
    total = add_counts(trim_counts(left), right)
    assert sum(total) == sum(left) + sum(right)
    assert count_above(total, -1) == sum(total)


def test_quantile_is_the_upper_bound_of_its_bucket():
    counts = [0] * BUCKETS
    counts[bucket_of(900)] = 90
    counts[bucket_of(50_000)] = 10
    assert quantile_us(tuple(counts), 0.9) < 1300
    assert 50_000 <= quantile_us(tuple(counts), 0.95) < 71_000
    assert quantile_us((), 0.9) == UPPER_BOUNDS_US[0]
