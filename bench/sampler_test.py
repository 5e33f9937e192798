"""Tests of the search for nodes that revert to an earlier version."""

import pytest

from bench.sampler import Sample, find_reverts


@pytest.mark.parametrize(
    ('versions', 'reverts'),
    [
        ([1, 1, 2], []),
        ([1, None, 2], []),
        ([2, None, 1], [1]),
        ([3, 1, 2, 3], [1, 2]),
    ],
)
def test_samples_below_an_earlier_version_are_found(versions, reverts):
    samples = [
        Sample(node='n', version=version, at=index)
        for index, version in enumerate(versions)
    ]
    assert [sample.version for sample in find_reverts(samples)] == reverts


def test_versions_of_different_nodes_are_not_compared():
    samples = [
        Sample(node='n', version=2, at=0),
        Sample(node='m', version=1, at=1),
    ]
    assert not find_reverts(samples)
