"""Tests of a fleet: a version comes in force at all nodes or at none."""

import asyncio

from bench.distribution_fleet import Fleet, run_fleet
from medlarhoist.core.compile import compile_snapshot
from medlarhoist.core.resource import Fault


def _create_fleet(nodes: int = 3) -> Fleet:
    fleet = Fleet(sources=1, keepers=3)
    for domain in ('a', 'b'):
        for number in range(nodes):
            fleet.add_node(domain, number)
    return fleet


def _refuse_version_2(snapshot):
    if snapshot.version == 2:
        return None, (Fault(source='route/version', message='is bad'),)
    return compile_snapshot(snapshot)


def test_version_comes_in_force_at_all_nodes():
    async def scenario(fleet):
        await fleet.wait_until_in_force(0)
        await fleet.activate(1)
        await fleet.wait_until_in_force(1)
        await fleet.activate(2)
        await fleet.wait_until_in_force(2)

    asyncio.run(run_fleet(_create_fleet(), scenario))


def test_version_refused_by_one_node_is_in_force_at_none():
    async def scenario(fleet):
        await fleet.wait_until_in_force(0)
        await fleet.activate(1)
        await fleet.wait_until_in_force(1)
        await fleet.activate(2)
        assert fleet.log.state.active.version == 1
        await fleet.activate(3)
        await fleet.wait_until_in_force(3)
        for node in fleet.nodes.values():
            assert 2 not in node.versions

    fleet = _create_fleet(nodes=5)
    fleet.add_node('b', 7, _refuse_version_2)
    asyncio.run(run_fleet(fleet, scenario))
