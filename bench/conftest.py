"""Fixtures: fleets of real processes on loopback."""

import json
import shutil

import pytest

from bench.fleet import create_fleet, wait_until
from bench.operator import (
    base_resources,
    create_operator,
    find_leader,
    is_in_force_everywhere,
    node_version,
    put,
    read_dump,
)
from medlarhoist.ops.client import fetch

READY_SECONDS = 40
DOMAINS = ('a', 'b', 'c')


@pytest.fixture
def fleet():
    """Provide an empty fleet; its processes stop with the test."""
    created = create_fleet()
    yield created
    created.close()
    shutil.rmtree(created.folder)


@pytest.fixture
def sources(fleet):
    """Provide a fleet of three sources that have elected a leader."""
    fleet.plan_sources(DOMAINS)
    for name in fleet.sources:
        fleet.start_source(name)
    assert wait_until(lambda: bool(find_leader(fleet)), READY_SECONDS)
    return fleet


@pytest.fixture
def mesh(sources):
    """Provide three sources and two nodes in each of three failure domains.

    A target of v1 runs beside the first node of each domain; tests start
    those of v2 themselves. The base resources are in force at every node.
    """
    for domain in DOMAINS:
        for index in (1, 2):
            sources.plan_node(f'{domain}{index}', domain)
    for node in sources.nodes:
        sources.start_node(node)
    for domain in DOMAINS:
        sources.start_target(f'{domain}1', 'bookings', 'v1')
    await_version(sources, 0)
    client = create_operator(sources)
    outcome = put(client, 'base-resources', *base_resources('v1', 'v2'))
    assert outcome is not None
    await_version(sources, outcome.version)
    return sources


@pytest.fixture
def start_nodes(fleet):
    """Return a function that starts a source, nodes and one target.

    The target runs beside the first node. The function returns the fleet once
    the resources given, besides the base resources, are in force and each node
    serves a call. Options of the nodes are set before. The processes are killed
    with the test, as a graceful stop would only take time.
    """

    def start(*resources, nodes=('a1',)):
        fleet.plan_sources(('a',))
        fleet.start_source('s1')
        assert wait_until(lambda: bool(find_leader(fleet)), READY_SECONDS)
        for name in nodes:
            fleet.plan_node(name, 'a')
        for name in nodes:
            fleet.start_node(name)
        fleet.start_target(nodes[0], 'bookings', 'v1')
        await_version(fleet, 0)
        outcome = put(
            create_operator(fleet),
            'base-resources',
            *resources,
            *base_resources('v1'),
        )
        await_version(fleet, outcome.version)
        assert wait_until(lambda: serves_all_calls(fleet), READY_SECONDS)
        return fleet

    yield start
    for name in tuple(fleet.processes):
        fleet.kill(name)


def await_version(fleet, version):
    """Wait until a version is in force at every node.

    A failure shows the nodes without it, their logs and the leader's dump.
    """
    if wait_until(
        lambda: is_in_force_everywhere(fleet, version), READY_SECONDS
    ):
        return
    behind = [
        node for node in fleet.nodes if node_version(fleet, node) != version
    ]
    dumps = {
        node: read_dump(fleet.nodes[node].admin).get('distribution')
        for node in behind
    }
    logs = {node: fleet.log_text(node) for node in behind}
    leader = find_leader(fleet)
    status = read_dump(fleet.sources[leader].admin) if leader else {}
    raise AssertionError(f'{behind}: {dumps}\n{logs}\n{leader}: {status}')


def target_port(mesh, name):
    """Return the port that a stand-in target printed at its start."""
    assert wait_until(lambda: bool(mesh.log_text(name).strip()), READY_SECONDS)
    return int(mesh.log_text(name).split()[0])


def read_record(mesh, name):
    """Return the record of a target; its `ran` holds runs by request id."""
    reply = fetch(f'127.0.0.1:{target_port(mesh, name)}', '/_record')
    return json.loads(reply.body)


def await_targets(mesh, count):
    """Wait until every node has other gossip members, then for served calls.

    Only the first wait fails the test when its time is over.
    """

    def has_members(node):
        gossip = read_dump(mesh.nodes[node].admin)['distribution']['gossip']
        return gossip['alive'] > 1

    assert wait_until(lambda: all(map(has_members, mesh.nodes)), READY_SECONDS)
    wait_until(lambda: serves_all_calls(mesh), READY_SECONDS)


def serves_all_calls(mesh):
    """Return whether each node serves an ordinary call."""
    return all(
        fetch(mesh.nodes[node].entry, '/seats').status == 200
        for node in mesh.nodes
    )
