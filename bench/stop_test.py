"""Planned stops and kills of processes under load.

A planned stop cuts no request, and a request that a node refuses as not run
has not run at any target.
"""

import signal
import time

import pytest

from bench.conftest import await_targets, await_version, read_record
from bench.fleet import wait_until
from bench.load import PATHS, LoadPlan, start_load
from bench.operator import create_operator, put
from medlarhoist.core.resource import Route

RATE = 150
WORK_MS = 100
LOAD_SECONDS = 8
WAIT_SECONDS = 40


def send(mesh, nodes, *paths, method='GET', seconds=LOAD_SECONDS):
    """Start a load against the entry addresses of nodes."""
    plan = LoadPlan(
        nodes=tuple(nodes),
        rate=RATE,
        seconds=seconds,
        paths=paths or PATHS,
        method=method,
        work_ms=WORK_MS,
    )
    return start_load(mesh, plan)


def count_runs(records, sent):
    """Return how often targets started each of the sent requests, by id."""
    counts = {}
    for record in records:
        for request_id in sent & record['ran'].keys():
            times = record['ran'][request_id]
            counts[request_id] = counts.get(request_id, 0) + times
    return counts


def check_refusals(mesh, summary):
    """Check that requests refused as not run did not run; return runs by id.

    A refusal for lack of a free slot is allowed at any load, as cross-domain
    calls get a limited part of the slots. Only its truth is checked here.
    """
    running = [name for name in TARGETS if mesh.processes[name].poll() is None]
    records = [read_record(mesh, name) for name in running]
    counts = count_runs(records, summary.outcomes.keys())
    false_refusals = [
        request_id
        for request_id, outcome in summary.outcomes.items()
        if outcome == 'did-not-run' and counts.get(request_id)
    ]
    assert not false_refusals
    return counts


def check_nothing_cut(mesh, summary):
    """Check that each request got a complete response or a true refusal."""
    refused = summary.verdicts.get('did-not-run', 0)
    assert summary.cut == 0
    assert summary.crossed == 0
    assert summary.whole + refused == summary.sent, summary.verdicts
    check_refusals(mesh, summary)


TARGETS = ('a1-bookings-v1', 'b1-bookings-v1', 'c1-bookings-v1')


def test_a_planned_stop_of_a_node_cuts_no_request(mesh):
    await_targets(mesh, 3)
    load = send(mesh, ['a2', 'b2', 'c2'])
    time.sleep(1)
    assert mesh.stop('a1') == 0
    summary = load.finish()
    check_nothing_cut(mesh, summary)


def test_a_planned_stop_of_the_entry_node_cuts_no_request(mesh):
    await_targets(mesh, 3)
    load = send(mesh, ['a2'], seconds=4)
    time.sleep(1)
    assert mesh.stop('a2') == 0
    summary = load.finish()
    check_nothing_cut(mesh, summary)


def test_a_draining_target_gets_no_new_call_and_completes_the_others(mesh):
    await_targets(mesh, 3)
    load = send(mesh, ['a2', 'b2', 'c2'])
    time.sleep(1)
    mesh.signal('a1-bookings-v1', signal.SIGTERM)
    mesh.processes['a1-bookings-v1'].wait(timeout=WAIT_SECONDS)
    summary = load.finish()
    check_nothing_cut(mesh, summary)


def _has_load_begun(mesh):
    """Return whether a target has started a request of the load."""
    ran = [read_record(mesh, name)['ran'] for name in TARGETS]
    return any(one.startswith('load-') for ids in ran for one in ids)


@pytest.mark.parametrize('killed_node', ['a1', 'b1'])
def test_requests_that_are_not_idempotent_run_at_most_once(mesh, killed_node):
    """Kills the node of a target under load; the target keeps its record."""
    await_targets(mesh, 3)
    load = send(mesh, ['a2', 'b2', 'c2'], '/deposits', method='POST')
    assert wait_until(lambda: _has_load_begun(mesh), WAIT_SECONDS)
    time.sleep(2)
    mesh.kill(killed_node)
    time.sleep(1)
    mesh.start_node(killed_node)
    summary = load.finish()
    counts = check_refusals(mesh, summary)
    outcomes = summary.outcomes
    assert max(counts.values()) == 1
    assert set(outcomes.values()) != {'200'}, 'the kill affected no request'
    not_run = [
        request_id
        for request_id, outcome in outcomes.items()
        if outcome == '200' and not counts.get(request_id)
    ]
    assert not not_run


def test_a_rolling_restart_of_sources_and_nodes_cuts_no_request(mesh):
    await_targets(mesh, 3)
    load = send(mesh, ['a2'], seconds=25)
    version = 0
    client = create_operator(mesh)
    for number, name in enumerate(['s1', 'b1', 's2', 'c1', 's3', 'b2']):
        assert mesh.stop(name) == 0
        start = mesh.start_source if name[0] == 's' else mesh.start_node
        start(name)
        route = Route(
            name='seats',
            prefix='/seats',
            service='bookings',
            idempotent=True,
            timeout_ms=2000 + number,
        )
        version = put(client, f'rolling-{number}', route).version
    summary = load.finish()
    await_version(mesh, version)
    check_nothing_cut(mesh, summary)
