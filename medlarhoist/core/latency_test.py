"""Tests of the latencies on the metrics page."""

from medlarhoist.core.latency import Latencies


def test_buckets_are_cumulative():
    latencies = Latencies()
    for latency_us in (9_000, 10_000, 60_000, 9_000_000):
        latencies.record(latency_us)
    buckets = dict(latencies.list_buckets())
    assert buckets['0.01'] == 2
    assert buckets['0.1'] == 3
    assert buckets['2.5'] == 3
    assert buckets['+Inf'] == latencies.calls == 4
    assert latencies.total_us == 9_079_000
