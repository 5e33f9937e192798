"""Tests of targets: spread in their domain, summaries in the others."""

import asyncio
import socket

from bench.distribution_fleet import Fleet, run_fleet, wait_until
from medlarhoist.core import summary
from medlarhoist.core.target import Target, TargetPhase


def _create_fleet() -> Fleet:
    fleet = Fleet(sources=1, keepers=3)
    for domain in ('a', 'b'):
        for number in range(4):
            fleet.add_node(domain, number)
    return fleet


def _create_target(node, phase=TargetPhase.READY):
    return Target(
        node=node.cfg.name,
        domain=node.cfg.domain,
        service='bookings',
        label='v1',
        address=node.cfg.peer,
        slots=20,
        phase=phase,
        since_ms=1,
    )


def _known(fleet, domain, phase=TargetPhase.READY):
    counts = set()
    for node in fleet.nodes.values():
        if node.cfg.domain == domain:
            targets = node.registry.targets('bookings', 'v1')
            counts.add(sum(target.phase is phase for target in targets))
    return counts


async def _announce(fleet):
    await fleet.until_everywhere(0)
    for node in fleet.nodes.values():
        node.registry.announce(_create_target(node))
    await wait_until(lambda: _known(fleet, 'a') == {len(fleet.nodes)})
    await wait_until(lambda: _known(fleet, 'b') == {len(fleet.nodes)})


def test_targets_are_known_in_their_domain_and_in_the_others():
    async def scenario(fleet):
        await _announce(fleet)
        first = fleet.nodes['a0'].registry.targets('bookings', 'v1')
        assert {target.domain for target in first[:4]} == {'a'}

    asyncio.run(run_fleet(_create_fleet(), scenario))


def test_a_draining_target_and_a_leaving_node_are_noticed():
    async def scenario(fleet):
        await _announce(fleet)
        draining = fleet.nodes['a3']
        phase = TargetPhase.DRAINING
        draining.registry.announce(_create_target(draining, phase))
        await wait_until(lambda: _known(fleet, 'a', phase) == {1})
        await fleet.nodes.pop('a3').stop()
        await wait_until(lambda: _known(fleet, 'a', phase) == {0})
        await wait_until(lambda: _known(fleet, 'b') == {7})

    asyncio.run(run_fleet(_create_fleet(), scenario))


def test_a_cut_off_domain_keeps_the_targets_of_the_other():
    async def scenario(fleet):
        await _announce(fleet)
        other = [name for name in fleet.nodes if name.startswith('b')]
        for name in ('a0', 'a1', 'a2', 'a3'):
            fleet.cut_from_nodes(name, other)
        await fleet.nodes.pop('b3').stop()
        await wait_until(lambda: _known(fleet, 'b') == {7})
        assert _known(fleet, 'a') == {8}

    asyncio.run(run_fleet(_create_fleet(), scenario))


def test_packets_without_the_key_are_counted_and_dropped():
    async def scenario(fleet):
        await fleet.until_everywhere(0)
        host, _, port = fleet.nodes['a0'].cfg.gossip.rpartition(':')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b'\xff' * 64, (host, int(port)))
        gossip = fleet.nodes['a0'].distribution
        await wait_until(lambda: gossip.dump().gossip.dropped_packets == 1)

    asyncio.run(run_fleet(_create_fleet(), scenario))


def test_an_unconfirmed_domain_comes_after_a_confirmed_one(monkeypatch):
    monkeypatch.setattr(summary, 'FRESH_MS', 2000)

    async def scenario(fleet):
        fleet.add_node('c', 0)
        await fleet.nodes['c0'].start()
        await _announce(fleet)
        node = fleet.nodes['c0'].registry
        await wait_until(lambda: len(node.targets('bookings', 'v1')) == 9)
        assert _domains(node) == ['c', 'a', 'b']
        others = [name for name in fleet.nodes if name.startswith('a')]
        fleet.cut_from_nodes('c0', others)
        await wait_until(lambda: _domains(node) == ['c', 'b', 'a'])
        for each in fleet.nodes.values():
            each.channels.heal()
        await wait_until(lambda: _domains(node) == ['c', 'a', 'b'])

    asyncio.run(run_fleet(_create_fleet(), scenario))


def _domains(registry):
    targets = registry.targets('bookings', 'v1')
    return list(dict.fromkeys(target.domain for target in targets))
