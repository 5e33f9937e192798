"""Tests of the limit of an account over several nodes.

They guard against nodes that each admit the whole limit, and against shares
that outlast the excess.
"""

import asyncio
import time

from msgspec.structs import replace

from bench.distribution_fleet import Fleet, run_fleet, wait_until
from medlarhoist.core.resource import Account
from medlarhoist.node import uplink_receiver
from medlarhoist.node.downlink import Downlink
from medlarhoist.wire.message import Established

SHOP = Account(name='shop', rate=20, burst=5)
LOAD_S = 5.0
STEP_S = 0.05


def _create_fleet():
    fleet = Fleet(sources=1, keepers=1)
    for domain in ('a', 'b'):
        for number in range(3):
            fleet.add_node(domain, number)
    return fleet


def _limits(fleet):
    return [node.distribution.account_limits for node in fleet.nodes.values()]


async def _offer(fleet, seconds):
    """Offer the limit at each of the nodes; return what they admitted."""
    started_at = time.monotonic()
    admitted = 0
    offered = 0
    while time.monotonic() < started_at + seconds:
        due = int((time.monotonic() - started_at) * SHOP.rate)
        for _ in range(due - offered):
            delays = [limits.admit(SHOP) for limits in _limits(fleet)]
            admitted += delays.count(0)
        offered = due
        await asyncio.sleep(STEP_S)
    return admitted


async def _activate(fleet, account=SHOP):
    await fleet.wait_until_in_force(0)
    await fleet.activate(1)
    await fleet.wait_until_in_force(1)
    active = replace(fleet.log.state.active, accounts=(account,))
    fleet.log.state = replace(fleet.log.state, active=active)


def test_nodes_keep_the_limit_together_and_share_it():
    async def scenario(fleet):
        await _activate(fleet)
        admitted = await _offer(fleet, LOAD_S)
        bound = (SHOP.rate * LOAD_S + SHOP.burst) * 1.1 + 20
        assert SHOP.rate * LOAD_S / 2 < admitted < bound
        shares = [limits.view().shares['shop'] for limits in _limits(fleet)]
        assert all(shares)
        assert sum(shares) < 2
        await wait_until(
            lambda: not any(limits.view().shares for limits in _limits(fleet))
        )

    asyncio.run(run_fleet(_create_fleet(), scenario))


def test_a_node_that_is_cut_off_keeps_its_share():
    async def scenario(fleet):
        await _activate(fleet)
        await _offer(fleet, 2)
        node = fleet.nodes['a2']
        share = node.distribution.account_limits.view().shares['shop']
        node.channels.block(
            [other.cfg.control for other in fleet.nodes.values()]
        )
        fleet.partition_from_sources('a2')
        await _offer(fleet, 2)
        limits = node.distribution.account_limits
        assert limits.view().shares['shop'] <= 2 * share

    asyncio.run(run_fleet(_create_fleet(), scenario))


def test_nothing_is_exchanged_without_accounts_with_a_rate():
    async def scenario(fleet):
        free = replace(SHOP, rate=0)
        await _activate(fleet, free)
        assert not any(limits.admit(free) for limits in _limits(fleet))
        await asyncio.sleep(1)
        for node in fleet.nodes.values():
            kinds = {
                volume.kind for volume in node.channels.traffic.view().received
            }
            assert 'Shares' not in kinds

    asyncio.run(run_fleet(_create_fleet(), scenario))


def test_a_contact_is_passed_on_at_once_where_limits_are_used(monkeypatch):
    """Below several parents its age would pass the bound of a healthy node."""
    times = iter(range(10, 100))
    monkeypatch.setattr(uplink_receiver, 'boot_seconds', lambda: next(times))
    sent = []
    monkeypatch.setattr(
        Downlink, 'send_established', lambda downlink: sent.append(downlink)
    )
    node = Fleet(sources=1, keepers=1).add_node('a', 0)
    receiver = node.distribution._receiver
    receiver.receive(Established(version=0, epoch=0))
    assert not sent
    node.distribution.account_limits.admit(SHOP)
    receiver.receive(Established(version=0, epoch=0))
    assert len(sent) == 1
    # This one has the contact that is known.
    receiver.receive(Established(version=0, epoch=0, age_ms=20_000))
    assert len(sent) == 1
