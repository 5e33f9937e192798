"""Configuration versions of real processes through restarts and outages.

All nodes restart at once, all sources stop, or a failure domain is
partitioned.
"""

import signal
import time

import pytest

from bench.conftest import await_version
from bench.fleet import wait_until
from bench.operator import (
    create_operator,
    find_leader,
    node_version,
    put,
)
from bench.sampler import Sampler, find_reverts
from medlarhoist.core.command import Status
from medlarhoist.core.resource import Route

WAIT_SECONDS = 40


def route(timeout_ms):
    return Route(
        name='seats',
        prefix='/seats',
        service='bookings',
        idempotent=True,
        timeout_ms=timeout_ms,
    )


def change(fleet, number):
    """Change the timeout of a route and return the configuration version."""
    client = create_operator(fleet)
    outcome = put(client, f'change-{number}', route(1000 + number))
    assert outcome is not None
    assert outcome.status is Status.ACCEPTED, outcome
    return outcome.version


def restart(fleet, name):
    fleet.kill(name)
    fleet.start_node(name)


def test_no_node_reverts_through_kills_and_changes(mesh):
    sampler = Sampler(mesh)
    names = sorted(mesh.nodes)
    version = 0
    for number in range(12):
        restart(mesh, names[number % len(names)])
        version = change(mesh, number)
    await_version(mesh, version)
    samples = sampler.stop()
    assert len(samples) > len(names)
    assert not find_reverts(samples)


def test_nodes_that_restart_at_once_return_to_the_version_in_force(mesh):
    version = change(mesh, 1)
    await_version(mesh, version)
    sampler = Sampler(mesh)
    for name in sorted(mesh.nodes):
        mesh.kill(name)
    for name in sorted(mesh.nodes):
        mesh.start_node(name)
    await_version(mesh, version)
    later = change(mesh, 2)
    await_version(mesh, later)
    samples = sampler.stop()
    assert not find_reverts(samples)
    assert {sample.version for sample in samples} <= {None, version, later}


def test_a_node_starts_while_all_sources_are_unavailable(mesh):
    version = change(mesh, 1)
    await_version(mesh, version)
    for name in sorted(mesh.sources):
        mesh.kill(name)
    mesh.plan_node('a3', 'a')
    mesh.start_node('a3')
    assert wait_until(lambda: node_version(mesh, 'a3') == version, WAIT_SECONDS)
    for name in sorted(mesh.sources):
        mesh.start_source(name)
    assert wait_until(lambda: bool(find_leader(mesh)), WAIT_SECONDS)
    later = change(mesh, 2)
    await_version(mesh, later)


def test_a_partitioned_domain_is_absent_and_goes_to_the_newest_version(mesh):
    """Freezes the nodes of one domain, as a partition stops their replies."""
    names = [name for name in sorted(mesh.nodes) if name.startswith('c')]
    version = change(mesh, 1)
    await_version(mesh, version)
    for name in names:
        mesh.signal(name, signal.SIGSTOP)
    client = create_operator(mesh)
    outcome = put(client, 'during-the-cut', route(1500))
    assert outcome.status is Status.ACCEPTED
    assert outcome.absent == ('c',)
    later = change(mesh, 2)
    sampler = Sampler(mesh)
    for name in names:
        mesh.signal(name, signal.SIGCONT)
    await_version(mesh, later)
    samples = sampler.stop()
    observed = {sample.version for sample in samples if sample.node in names}
    assert observed <= {version, later}


@pytest.mark.parametrize('graceful', [True, False])
def test_a_rolling_restart_of_the_sources_keeps_every_change(mesh, graceful):
    version = 0
    for number, name in enumerate(sorted(mesh.sources)):
        if graceful:
            assert mesh.stop(name) == 0
        else:
            mesh.kill(name)
        version = change(mesh, number)
        mesh.start_source(name)
        time.sleep(1)
    await_version(mesh, version)
