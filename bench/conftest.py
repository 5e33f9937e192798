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
    """Give an empty fleet; its processes end with the test."""
    made = create_fleet()
    yield made
    made.close()
    shutil.rmtree(made.folder)


@pytest.fixture
def sources(fleet):
    """Give a fleet of three sources that has a leader."""
    fleet.plan_sources(DOMAINS)
    for name in fleet.sources:
        fleet.start_source(name)
    assert wait_until(lambda: bool(find_leader(fleet)), READY_SECONDS)
    return fleet


@pytest.fixture
def mesh(sources):
    """Give three sources and two nodes in each of three failure domains.

    The first node of each domain has a target of v1, the second one of v2.
    The base resources are in force at every node.
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


def await_version(fleet, version):
    """Wait until a version is in force at every node, or show who lacks it."""
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
    """Return the port that a stand-in target printed."""
    assert wait_until(lambda: bool(mesh.log_text(name).strip()), READY_SECONDS)
    return int(mesh.log_text(name).split()[0])


def read_record(mesh, name):
    """Return what a target has run."""
    reply = fetch(f'127.0.0.1:{target_port(mesh, name)}', '/_record')
    return json.loads(reply.body)


def await_targets(mesh, count):
    """Wait until every node knows some targets."""

    def knows(node):
        gossip = read_dump(mesh.nodes[node].admin)['distribution']['gossip']
        return gossip['alive'] > 1

    assert wait_until(lambda: all(map(knows, mesh.nodes)), READY_SECONDS)
    wait_until(lambda: _is_served(mesh), READY_SECONDS)


def _is_served(mesh):
    return all(
        fetch(mesh.nodes[node].entry, '/seats').status == 200
        for node in mesh.nodes
    )
