"""Drains of failure domains in real processes, through kills and freezes.

Guards against a drain that is acknowledged and then lost, and against a node
that returns and sends calls to a drained domain.
"""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.conftest import READY_SECONDS, await_targets, read_record
from bench.fleet import wait_until
from bench.operator import find_leader, read_dump
from medlarhoist.ops.client import fetch
from medlarhoist.ops.exit_code import ExitCode

DRAINED_TARGET = 'a1-bookings-v1'
CALLS = 10
# Time in which nodes in touch have a version in force.
APPLY_SECONDS = 2.0


@pytest.fixture(name='served')
def _served(mesh):
    """Provide a mesh in which calls at every node are served."""
    await_targets(mesh, 3)
    return mesh


def _drain(mesh, *options):
    done = mesh.run_operator_tool('drain', 'a', *options)
    assert done.returncode == ExitCode.DONE, done.stderr


def _call_all(mesh, names=()):
    """Send calls to nodes; return the statuses."""
    return {
        fetch(mesh.nodes[node].entry, '/seats').status
        for _ in range(CALLS)
        for node in names or mesh.nodes
    }


def _count_runs(mesh):
    return sum(read_record(mesh, DRAINED_TARGET)['ran'].values())


def _assert_drained(mesh, names=()):
    before = _count_runs(mesh)
    assert _call_all(mesh, names) == {200}
    assert _count_runs(mesh) == before


def _knows_drain(mesh, node):
    proxy = read_dump(mesh.nodes[node].admin).get('proxy', {})
    return proxy.get('drained_domains') == ['a']


def _drain_through_loss_of_leader(mesh):
    """Kill the leader while it waits for a frozen node to stage the order."""
    leader = find_leader(mesh)
    mesh.signal('c2', signal.SIGSTOP)
    with ThreadPoolExecutor() as pool:
        order = pool.submit(_drain, mesh)
        assert wait_until(lambda: _has_staged(mesh, leader), READY_SECONDS)
        mesh.kill(leader)
        assert not order.done()
        mesh.signal('c2', signal.SIGCONT)
        order.result()
    mesh.start_source(leader)


def _has_staged(mesh, source):
    status = read_dump(mesh.sources[source].admin).get('status', {})
    return bool(status.get('staged'))


def test_a_drain_holds_through_the_loss_of_the_leader_and_of_everything(served):
    _drain_through_loss_of_leader(served)
    time.sleep(APPLY_SECONDS)
    _assert_drained(served)
    for name in (*served.sources, *served.nodes):
        served.kill(name)
    for source in served.sources:
        served.start_source(source)
    for node in served.nodes:
        served.start_node(node)
    assert wait_until(
        lambda: all(_knows_drain(served, node) for node in served.nodes),
        READY_SECONDS,
    )
    await_targets(served, 3)
    _assert_drained(served)
    _drain(served, '--end')
    before = _count_runs(served)
    assert wait_until(
        lambda: _call_all(served) == {200} and _count_runs(served) > before,
        READY_SECONDS,
    )


def test_a_node_that_did_not_hear_of_a_drain_sends_its_calls_elsewhere(served):
    """It is frozen when the order comes, and wakes with the older version."""
    served.signal('b1', signal.SIGSTOP)
    _drain(served)
    served.signal('b1', signal.SIGCONT)
    _assert_drained(served, ('b1',))
    _assert_drained(served)
