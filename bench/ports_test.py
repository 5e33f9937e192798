"""Tests of the pools of ports."""

from bench.ports import PortPool


def test_pools_open_at_the_same_time_share_no_port():
    pools = [PortPool() for _ in range(5)]
    allocated = [pool.allocate() for pool in pools for _ in range(20)]
    for pool in pools:
        pool.close()
    assert len(set(allocated)) == len(allocated)
