"""Tests that nodes can tell how old what they hold of keys may be.

They guard against a node that goes on with withdrawn keys while it is out of
touch, and against nodes in touch that refuse calls with keys.
"""

import asyncio
from math import inf

from bench.distribution_fleet import Fleet, run_fleet, wait_until
from bench.domain_fleet import KEEPERS, converge
from medlarhoist.core.confirmation import STALE_SHARE, lease_seconds
from medlarhoist.utils.clock import boot_seconds

REVOCATION_MS = 5000
# From here on the benefit of calls with keys is lost.
FRESH_S = REVOCATION_MS * STALE_SHARE / 1000
LEASE_S = lease_seconds(REVOCATION_MS)
NODES = 8
WATCHED_S = 4
POLL_S = 0.02


def _run(scenario, sources=1):
    fleet = Fleet(sources, KEEPERS)
    fleet.revocation_ms = REVOCATION_MS
    for number in range(NODES):
        fleet.add_node('a', number)

    async def main(running):
        await converge(running)
        await wait_until(lambda: _oldest(running) < FRESH_S)
        await scenario(running)

    asyncio.run(run_fleet(fleet, main))


def _age(node):
    confirmations = node.configuration.confirmations
    return confirmations.seconds_since(node.version or 0, boot_seconds())


def _oldest(fleet):
    return max(_age(node) for node in fleet.nodes.values())


async def _watch(fleet, seconds):
    """Return the greatest age at any node within some time."""
    oldest = 0
    until = boot_seconds() + seconds
    while boot_seconds() < until:
        oldest = max(oldest, _oldest(fleet))
        await asyncio.sleep(POLL_S)
    return oldest


def _cut(fleet, name):
    fleet.partition_from_sources(name)
    fleet.partition_from_nodes(name, set(fleet.nodes) - {name})
    for node in fleet.nodes.values():
        sessions = node.distribution._downlink.sessions
        for child, session in sessions.items():
            if name in {child, node.cfg.name}:
                session.closed.set()
    for source in fleet.sources:
        session = source.distributor._children._sessions.get(name)
        if session:
            session.closed.set()


def test_nodes_in_touch_stay_confirmed():
    async def scenario(fleet):
        assert await _watch(fleet, WATCHED_S) < FRESH_S
        await fleet.activate(2)
        await fleet.wait_until_in_force(2)
        assert await _watch(fleet, 1) < FRESH_S

    _run(scenario)


def test_a_node_out_of_touch_is_not_confirmed_and_others_are():
    async def scenario(fleet):
        _cut(fleet, 'a5')
        cut_at = boot_seconds()
        await fleet.activate(2)
        await asyncio.sleep(LEASE_S)
        others = [node for name, node in fleet.nodes.items() if name != 'a5']
        assert max(_age(node) for node in others) < FRESH_S
        assert _age(fleet.nodes['a5']) >= boot_seconds() - cut_at - 1
        for node in fleet.nodes.values():
            node.channels.heal()
        await wait_until(lambda: _oldest(fleet) < FRESH_S)
        assert fleet.nodes['a5'].version == 2

    _run(scenario)


def test_a_leader_that_no_majority_follows_confirms_nothing():
    """It may go on to send heartbeats while another one leads."""

    async def scenario(fleet):
        fleet.sources[0].ledger.is_followed = False
        stopped_at = boot_seconds()
        await asyncio.sleep(FRESH_S)
        youngest = min(_age(node) for node in fleet.nodes.values())
        assert youngest >= boot_seconds() - stopped_at
        receiver = fleet.nodes['a0'].distribution._receiver
        assert receiver.seconds_since_leader() < FRESH_S
        fleet.sources[0].ledger.is_followed = True
        await wait_until(lambda: _oldest(fleet) < FRESH_S)

    _run(scenario)


def test_a_new_leader_confirms_before_the_lease_ends():
    async def scenario(fleet):
        await fleet.sources[0].stop()
        fleet.log.leader = ''
        watch = asyncio.ensure_future(_watch(fleet, LEASE_S + 2))
        await asyncio.sleep(2)
        fleet.log.leader = 's1'
        assert await watch < LEASE_S
        assert _oldest(fleet) < FRESH_S

    _run(scenario, sources=3)


def test_a_node_that_restarts_does_not_take_a_version_for_a_contact():
    """The others still hold the version, and no leader confirms it."""

    async def scenario(fleet):
        await fleet.nodes['a5'].stop()
        fleet.sources[0].ledger.is_followed = False
        stopped_at = boot_seconds()
        await asyncio.sleep(1)
        node = fleet.replace_node('a5')
        assert _age(node) == inf
        await node.start()
        await wait_until(lambda: node.version == 1)
        assert _age(node) >= boot_seconds() - stopped_at

    _run(scenario)
