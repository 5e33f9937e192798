"""Tests that a run that has left is not used again after a restart."""

import asyncio
from functools import partial

import pytest
from msgspec.structs import replace

from bench.calls_static import create_notice
from bench.domain_fleet import run_domains
from medlarhoist.core.target import TargetPhase
from medlarhoist.utils.clock import monotonic_seconds

NODES_PER_DOMAIN = 3
# In steady state the users' rules count requests from this time on.
CONTACT_S = 3.0
NOTICE = create_notice(born_ms=1_700_000_000_000, sequence=4)


@pytest.fixture(name='run_fleet_of_domains')
def _run_fleet_of_domains():
    """Return a function that runs a scenario with a fleet that has joined."""
    return partial(run_domains, NODES_PER_DOMAIN)


async def _restart(fleet, names):
    await asyncio.gather(*(fleet.nodes[name].stop() for name in names))
    for name in names:
        fleet.replace_node(name)
    await asyncio.gather(*(fleet.nodes[name].start() for name in names))


def _ready_targets(fleet):
    """Return the names of the nodes that announce a ready target."""
    return [
        name
        for name, node in fleet.nodes.items()
        for target in node.registry.local_targets()
        if target.phase is TargetPhase.READY
    ]


async def _leave(fleet):
    registration = fleet.nodes['a0'].registration
    await registration.accept(NOTICE)
    await registration.accept_leave(NOTICE.run_id, NOTICE.born_ms)


async def _drain(fleet):
    registration = fleet.nodes['a0'].registration
    await registration.accept(NOTICE)
    draining = replace(NOTICE, phase=TargetPhase.DRAINING, sequence=6)
    await registration.accept(draining)


@pytest.mark.parametrize('say', [_leave, _drain])
@pytest.mark.parametrize('names', [('a0',), ('a0', 'a1', 'a2')])
@pytest.mark.parametrize('late_s', [0, CONTACT_S])
def test_a_late_notice_does_not_bring_back_a_run(
    run_fleet_of_domains, say, names, late_s
):
    """A node restarts, and a notice that was sent before the leave is late.

    Its whole domain may restart with it, and the notice may come before the
    node has heard from any other.
    """

    async def scenario(fleet):
        await say(fleet)
        await _restart(fleet, names)
        await asyncio.sleep(late_s)
        await fleet.nodes['a0'].registration.accept(NOTICE)
        await asyncio.sleep(CONTACT_S - late_s)
        assert not _ready_targets(fleet)

    run_fleet_of_domains(scenario)


def test_the_next_run_is_used_at_once(run_fleet_of_domains):
    async def scenario(fleet):
        await _leave(fleet)
        await _restart(fleet, ('a0',))
        await asyncio.sleep(CONTACT_S)
        born_ms = NOTICE.born_ms + 1
        late = replace(NOTICE, born_ms=born_ms, sequence=1)
        await fleet.nodes['a0'].registration.accept(late)
        assert _ready_targets(fleet) == ['a0']

    run_fleet_of_domains(scenario)


@pytest.mark.parametrize('say', [_leave, _drain])
def test_a_leave_is_held_elsewhere_once_it_is_acknowledged(
    run_fleet_of_domains, say
):
    """The node, or its domain, may lose power right after it.

    Only one keeper of each other domain held it: whether a domain that
    restarted got it back in time depended on whom its keepers asked first.
    """

    async def scenario(fleet):
        await say(fleet)
        held = [
            name
            for name, node in fleet.nodes.items()
            if node.withdrawals.export('a', monotonic_seconds())
        ]
        assert held == list(fleet.nodes)

    run_fleet_of_domains(scenario)


def test_a_leave_is_acknowledged_by_a_node_without_others(run_fleet_of_domains):
    """A domain that is cut off still confirms within a second."""

    async def scenario(fleet):
        others = [name for name in fleet.nodes if name != 'a0']
        fleet.partition_from_nodes('a0', others)
        async with asyncio.timeout(1):
            await _leave(fleet)

    run_fleet_of_domains(scenario)
