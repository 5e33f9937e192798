"""Tests of the distribution with failed nodes, links and sources."""

import asyncio

import pytest

from bench.distribution_fleet import Fleet, run_fleet, wait_until
from bench.ports import open_unresponsive_address
from medlarhoist.core import keeper_plan, tree
from medlarhoist.node.uplink import Uplink


def _create_fleet(nodes: int, domains: str = 'a', sources: int = 1) -> Fleet:
    fleet = Fleet(sources=sources, keepers=3)
    for domain in domains:
        for number in range(nodes):
            fleet.add_node(domain, number)
    return fleet


async def _converge(fleet: Fleet) -> None:
    await fleet.wait_until_in_force(0)
    await wait_until(
        lambda: all(
            len(keepers.members) == 3
            for keepers in fleet.log.state.keepers.values()
        )
    )
    await fleet.activate(1)
    await fleet.wait_until_in_force(1)


def _keepers(fleet: Fleet, domain: str = 'a') -> list[str]:
    return sorted(fleet.log.state.keepers[domain].members)


def _non_keepers(fleet: Fleet, domain: str = 'a') -> list[str]:
    return sorted(
        name
        for name, node in fleet.nodes.items()
        if node.cfg.domain == domain and name not in _keepers(fleet, domain)
    )


def test_restarted_node_below_outdated_parent_serves_no_old_version(
    monkeypatch,
):
    monkeypatch.setattr(keeper_plan, 'UNAVAILABLE_SECONDS', 3600)

    async def scenario(fleet):
        await _converge(fleet)
        outdated = _keepers(fleet)[0]
        restarted = _non_keepers(fleet)[0]
        fleet.partition_from_sources(outdated)
        fleet.partition_from_nodes(outdated, set(_keepers(fleet)) - {outdated})
        fleet.nodes[outdated].channels.block(
            [node.cfg.control for node in fleet.nodes.values()]
        )
        await fleet.activate(2)
        await wait_until(lambda: fleet.nodes[restarted].version == 2)
        await fleet.nodes[restarted].stop()
        node = fleet.replace_node(restarted)
        node.distribution._uplink._hint = fleet.nodes[outdated].cfg.control
        await node.start()
        await wait_until(lambda: node.version is not None)
        assert fleet.nodes[outdated].version == 1
        assert node.versions == [2]

    asyncio.run(run_fleet(_create_fleet(5), scenario))


def test_restarted_node_serves_nothing_without_majority_of_keepers():
    async def scenario(fleet):
        await _converge(fleet)
        restarted = _non_keepers(fleet)[0]
        await fleet.sources[0].stop()
        for name in _keepers(fleet)[:2]:
            await fleet.nodes[name].stop()
        await fleet.nodes[restarted].stop()
        node = fleet.replace_node(restarted)
        node.distribution.directory.adopt(fleet.log.state.keepers.values())
        await node.start()
        await asyncio.sleep(1)
        assert node.version is None
        assert 'floor' in node.distribution.dump().waiting_for
        survivor = fleet.nodes[_keepers(fleet)[2]]
        assert survivor.version == 1

    asyncio.run(run_fleet(_create_fleet(4), scenario))


def test_keeper_is_replaced_while_version_is_staged(monkeypatch):
    monkeypatch.setattr(keeper_plan, 'UNAVAILABLE_SECONDS', 0.5)

    async def scenario(fleet):
        await _converge(fleet)
        before = _keepers(fleet)
        await fleet.nodes[before[0]].stop()
        fleet.nodes.pop(before[0])
        fleet.stage(2)
        await wait_until(lambda: _keepers(fleet) != before)
        await wait_until(lambda: fleet.log.state.staged is None)
        await fleet.wait_until_in_force(2)
        restarted = next(iter(fleet.nodes))
        await fleet.nodes[restarted].stop()
        node = fleet.replace_node(restarted)
        await node.start()
        await wait_until(lambda: node.version is not None)
        assert node.versions == [2]

    asyncio.run(run_fleet(_create_fleet(4), scenario))


def test_children_of_failed_parent_attach_to_another():
    async def scenario(fleet):
        await _converge(fleet)
        # The parent of the lowest rank is always a keeper.
        child = fleet.nodes[min(_non_keepers(fleet), key=tree.rank_of)]
        parents: list[str] = []

        def has_parent():
            matching = [
                name
                for name in _keepers(fleet)
                if fleet.nodes[name].cfg.control
                == child.distribution.dump().uplink.parent
            ]
            parents.extend(matching)
            return bool(matching)

        await wait_until(has_parent)
        parent = parents[0]
        await fleet.nodes[parent].stop()
        fleet.nodes.pop(parent)
        await fleet.activate(2)
        await fleet.wait_until_in_force(2)

    asyncio.run(run_fleet(_create_fleet(5), scenario))


def test_nodes_restarted_together_recover_while_source_is_unavailable():
    async def scenario(fleet):
        await _converge(fleet)
        restarted = _non_keepers(fleet)
        await fleet.sources[0].stop()
        for name in restarted:
            await fleet.nodes[name].stop()
            fleet.replace_node(name)
        await asyncio.gather(*(fleet.nodes[each].start() for each in restarted))
        await fleet.wait_until_in_force(1)
        assert {tuple(fleet.nodes[each].versions) for each in restarted} == {
            (1,)
        }

    asyncio.run(run_fleet(_create_fleet(9), scenario))


def test_domain_restarted_without_state_waits_for_source():
    async def scenario(fleet):
        await _converge(fleet)
        names = list(fleet.nodes)
        await fleet.sources[0].stop()
        for name in names:
            await fleet.nodes[name].stop()
        for name in names:
            node = fleet.replace_node(name)
            node.distribution.directory.adopt(fleet.log.state.keepers.values())
            await node.start()
        await asyncio.sleep(1)
        assert set(fleet.versions().values()) == {None}
        await fleet.sources[0].start()
        await fleet.wait_until_in_force(1)
        for node in fleet.nodes.values():
            assert node.versions == [1]

    asyncio.run(run_fleet(_create_fleet(4), scenario))


def test_partitioned_domain_receives_only_newest_version():
    async def scenario(fleet):
        await _converge(fleet)
        partitioned = [name for name in fleet.nodes if name.startswith('b')]
        for name in partitioned:
            fleet.partition_from_sources(name)
        for version in (2, 3, 4, 5):
            await fleet.activate(version)
        assert {fleet.nodes[name].version for name in partitioned} == {1}
        for name in partitioned:
            fleet.nodes[name].channels.heal()
        await fleet.wait_until_in_force(5)
        for name in partitioned:
            assert fleet.nodes[name].versions == [0, 1, 5]

    asyncio.run(run_fleet(_create_fleet(4, 'ab'), scenario))


def test_new_leader_activates_version_staged_under_old_one():
    async def scenario(fleet):
        await _converge(fleet)
        fleet.log.leader = ''
        await wait_until(
            lambda: not fleet.sources[0].distributor.status()[0].keepers
        )
        fleet.stage(2)
        fleet.log.leader = 's1'
        await wait_until(lambda: fleet.log.state.staged is None)
        assert fleet.sources[0].ledger.commands[-1].at_ms
        await fleet.wait_until_in_force(2)
        assert fleet.sources[1].ledger.commands

    asyncio.run(run_fleet(_create_fleet(4, sources=3), scenario))


@pytest.mark.parametrize('kind', ['Stage', 'CatchUpReply'])
def test_many_missed_changes_are_sent_as_one_snapshot(kind, monkeypatch):
    """By the tree, or by a member where no parent can be found."""
    missed = 200

    async def scenario(fleet):
        await _converge(fleet)
        outdated = fleet.nodes[_non_keepers(fleet)[0]]
        outdated.channels.block(
            [node.cfg.control for node in fleet.nodes.values()],
        )
        for version in range(2, missed + 2):
            await fleet.activate(version)
        if kind == 'Stage':
            outdated.distribution._gossip.on_version = lambda *_: None
        else:
            monkeypatch.setattr(Uplink, '_choose_parent', lambda _: '')
        # Members that still lack the last version would give an earlier one.
        others = [node for node in fleet.nodes.values() if node != outdated]
        await wait_until(
            lambda: all(node.version == missed + 1 for node in others)
        )
        before = _received(outdated, kind)
        outdated.channels.heal()
        await fleet.wait_until_in_force(missed + 1)
        assert _received(outdated, kind) - before == 1
        assert outdated.versions == [0, 1, missed + 1]

    asyncio.run(run_fleet(_create_fleet(4), scenario))


def _received(node, kind) -> int:
    received = node.distribution.dump().traffic.received
    return sum(volume.messages for volume in received if volume.kind == kind)


def test_deep_tree_keeps_fan_out_bound_and_reattaches_orphans(monkeypatch):
    monkeypatch.setattr(tree, 'FANOUT', 2)
    monkeypatch.setattr(tree, 'MAX_CHILDREN', 3)

    async def scenario(fleet):
        await _converge(fleet)
        parents = [
            name for name in _non_keepers(fleet) if _children(fleet, name)
        ]
        assert parents
        for name in parents[:2]:
            await fleet.nodes.pop(name).stop()
        await fleet.activate(2)
        await fleet.wait_until_in_force(2)
        for name in fleet.nodes:
            assert len(_children(fleet, name)) <= 3

    asyncio.run(run_fleet(_create_fleet(18), scenario))


def _children(fleet: Fleet, name: str) -> tuple[str, ...]:
    return fleet.nodes[name].distribution.dump().children


def test_two_nodes_restarted_in_turn_receive_next_version():
    """A node must receive its keeper role from a source, not its parent."""

    async def scenario(fleet):
        await fleet.wait_until_in_force(0)
        for version in (1, 2, 3, 4):
            for name in tuple(fleet.nodes):
                await fleet.nodes[name].stop()
                await wait_until(lambda: _keepers(fleet) != [name])
                node = fleet.replace_node(name)
                await node.start()
                await wait_until(lambda: node.version is not None)
            await fleet.activate(version)
            await fleet.wait_until_in_force(version)

    asyncio.run(run_fleet(_create_fleet(2), scenario))


def test_node_leaves_parent_that_accepts_no_connection():
    """A newly started source may name a keeper whose VM is unavailable.

    Connections to such an address hang instead of being refused.
    """

    async def scenario(fleet):
        await _converge(fleet)
        name = _non_keepers(fleet)[0]
        await fleet.nodes[name].stop()
        node = fleet.replace_node(name)
        with open_unresponsive_address() as address:
            node.distribution._uplink._hint = address
            await node.start()
            await wait_until(lambda: node.version == 1)

    asyncio.run(run_fleet(_create_fleet(4), scenario))
