"""The memory that clients take of a node stays near the node's setting.

Guards against a bound for each connection without one for all of them. Nothing
here depends on the speed of the machine.
"""

import asyncio
from pathlib import Path

import pytest

from bench.conftest import READY_SECONDS, await_version
from bench.crowd import request_head, run_crowd
from bench.fleet import wait_until
from bench.operator import base_resources, create_operator, find_leader, put
from medlarhoist.ops.client import fetch

pytestmark = pytest.mark.crowd

KILOBYTE = 1024
BUDGET_MB = 8
# Received bytes take more than their number in an allocator.
GROWTH_LIMIT_KB = 3 * BUDGET_MB * KILOBYTE
CROWD = 800
UNFINISHED = b'Content-Length: 65536'


def read_peak_kb(process):
    text = Path(f'/proc/{process.pid}/status').read_text()
    line = next(line for line in text.splitlines() if 'VmHWM' in line)
    return int(line.split()[1])


@pytest.fixture
def node(fleet):
    """Provide a fleet of a source, one node and its target, all ready."""
    fleet.plan_sources(('a',))
    fleet.start_source('s1')
    assert wait_until(lambda: bool(find_leader(fleet)), READY_SECONDS)
    fleet.plan_node('a1', 'a')
    fleet.node_options['client_memory_mb'] = BUDGET_MB
    fleet.start_node('a1')
    fleet.start_target('a1', 'bookings', 'v1')
    await_version(fleet, 0)
    resources = base_resources('v1')
    outcome = put(create_operator(fleet), 'base-resources', *resources)
    await_version(fleet, outcome.version)
    assert wait_until(lambda: is_served(fleet), READY_SECONDS)
    return fleet


def is_served(fleet):
    return fetch(fleet.nodes['a1'].entry, '/seats').status == 200


def test_unfinished_bodies_take_no_more_than_the_budget(node):
    process = node.processes['a1']
    rest_kb = read_peak_kb(process)
    payload = request_head(b'POST', b'', UNFINISHED) + b'b' * 60 * KILOBYTE
    asyncio.run(run_crowd(node.nodes['a1'].entry, [payload] * CROWD))
    assert process.poll() is None
    assert read_peak_kb(process) - rest_kb <= GROWTH_LIMIT_KB
    assert wait_until(lambda: is_served(node), READY_SECONDS)
