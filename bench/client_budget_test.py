"""The memory that clients take of a node stays near the node's setting.

Guards against a bound for each connection without one for all of them. Nothing
here depends on the speed of the machine.
"""

import asyncio

import pytest

from bench.calls import read_peak_rss_kb
from bench.conftest import READY_SECONDS, serves_all_calls
from bench.crowd import Client, request_head, run_crowd
from bench.fleet import wait_until

pytestmark = pytest.mark.crowd

KILOBYTE = 1024
BUDGET_MB = 8
# Received bytes take more than their number in an allocator.
GROWTH_LIMIT_KB = 3 * BUDGET_MB * KILOBYTE
CROWD = 800
UNFINISHED = b'Content-Length: 65536'


@pytest.fixture
def node(fleet, start_nodes):
    """Provide a fleet of one node with a low budget, ready."""
    fleet.node_options['client_memory_mb'] = BUDGET_MB
    return start_nodes()


def test_unfinished_bodies_take_no_more_than_the_budget(node):
    process = node.processes['a1']
    rest_kb = read_peak_rss_kb(process.pid)
    payload = request_head(b'POST', b'', UNFINISHED) + b'b' * 60 * KILOBYTE
    asyncio.run(
        run_crowd(node.nodes['a1'].entry, map(Client, [payload] * CROWD))
    )
    assert process.poll() is None
    assert read_peak_rss_kb(process.pid) - rest_kb <= GROWTH_LIMIT_KB
    assert wait_until(lambda: serves_all_calls(node), READY_SECONDS)
