"""Tests of the pools of ports."""

import socket

from bench.ports import LOOPBACK, PortPool


def test_pools_open_at_the_same_time_share_no_port():
    pools = [PortPool() for _ in range(5)]
    allocated = [pool.allocate() for pool in pools for _ in range(20)]
    for pool in pools:
        pool.close()
    assert len(set(allocated)) == len(allocated)


def test_a_port_whose_last_connection_is_closed_is_allocated_again():
    """Fleets in one process ran out of the ports of their block."""
    pool = PortPool()
    port = pool.allocate()
    pool.close()
    with socket.create_server((LOOPBACK, port)) as listener:
        with socket.create_connection((LOOPBACK, port)) as client:
            served, _ = listener.accept()
            served.close()
            assert client.recv(1) == b''
    pool = PortPool()
    again = pool.allocate()
    pool.close()
    assert again == port
