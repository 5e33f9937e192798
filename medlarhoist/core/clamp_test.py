"""Tests of clamps, by which a node stops using a faulty version itself."""

from random import Random

from bench.synthetic import (
    NEW,
    OLD,
    SERVICE,
    Health,
    SampleInterval,
    Traffic,
    sample_rows,
)
from medlarhoist.core.clamp import find_clamp, is_same_share
from medlarhoist.core.snapshot import Share

SHARE = Share(service=SERVICE, move='m', old=OLD, new=NEW, basis_points=500)
NODE_TRAFFIC = Traffic(calls_per_s=141, domains=('a',))


def sample_node_rows(seed, health):
    def health_of(moment):
        return health if moment.label == NEW else Health()

    random = Random(seed)
    rows = []
    for second in range(20):
        span = SampleInterval(at_s=second, length_s=1, window=second)
        rows.extend(
            sample_rows(random, NODE_TRAFFIC, health_of, span, 500),
        )
    return rows


def test_faulty_version_is_clamped():
    found = [
        find_clamp(SHARE, sample_node_rows(seed, Health(0.8)), frozenset())
        for seed in range(5)
    ]
    assert None not in found


def test_healthy_version_is_not_clamped():
    found = [
        find_clamp(SHARE, sample_node_rows(seed, Health()), frozenset())
        for seed in range(10)
    ]
    assert found == [None] * 10


def test_share_of_another_move_is_not_the_same():
    other = Share(service=SERVICE, move='n', old=OLD, new=NEW, basis_points=1)
    raised = Share(service=SERVICE, move='m', old=OLD, new=NEW, basis_points=9)
    assert is_same_share(SHARE, raised)
    assert not is_same_share(SHARE, other)
    assert not is_same_share(SHARE, None)
