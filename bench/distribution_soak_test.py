"""Tests of the distribution under random faults from a fixed seed."""

import asyncio

from bench.distribution_soak import run_soak

SEED = 5
SECONDS = 4


def test_no_node_returns_to_lower_version_and_all_converge():
    soak = asyncio.run(run_soak(SEED, SECONDS))
    assert soak.regressions == []
    assert soak.changes > 1
    assert soak.left
    assert not soak.returned
