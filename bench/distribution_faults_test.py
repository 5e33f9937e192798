"""Tests of the distribution under failures of nodes, links and sources."""

import asyncio

from bench.distribution_fleet import Fleet, run_fleet, wait_until
from bench.ports import open_unresponsive_address
from medlarhoist.core import keeper_plan, tree


def _create_fleet(nodes: int, domains: str = 'a', sources: int = 1) -> Fleet:
    fleet = Fleet(sources=sources, keepers=3)
    for domain in domains:
        for number in range(nodes):
            fleet.add_node(domain, number)
    return fleet


async def _settle(fleet: Fleet) -> None:
    await fleet.until_everywhere(0)
    await wait_until(
        lambda: all(
            len(keepers.members) == 3
            for keepers in fleet.log.state.keepers.values()
        )
    )
    await fleet.activate(1)
    await fleet.until_everywhere(1)


def _keepers(fleet: Fleet, domain: str = 'a') -> list[str]:
    return sorted(fleet.log.state.keepers[domain].members)


def _others(fleet: Fleet, domain: str = 'a') -> list[str]:
    return sorted(
        name
        for name, node in fleet.nodes.items()
        if node.cfg.domain == domain and name not in _keepers(fleet, domain)
    )


def test_a_restarted_node_under_a_parent_that_is_behind_serves_no_old_one(
    monkeypatch,
):
    monkeypatch.setattr(keeper_plan, 'UNAVAILABLE_SECONDS', 3600)

    async def scenario(fleet):
        await _settle(fleet)
        behind = _keepers(fleet)[0]
        restarted = _others(fleet)[0]
        fleet.cut_from_sources(behind)
        fleet.cut_from_nodes(behind, set(_keepers(fleet)) - {behind})
        await fleet.activate(2)
        await wait_until(lambda: fleet.nodes[restarted].version == 2)
        await fleet.nodes[restarted].stop()
        node = fleet.renew_node(restarted)
        node.distribution._uplink._hint = fleet.nodes[behind].cfg.control
        await node.start()
        await wait_until(lambda: node.version is not None)
        assert fleet.nodes[behind].version == 1
        assert node.versions == [2]

    asyncio.run(run_fleet(_create_fleet(5), scenario))


def test_without_a_majority_of_keepers_a_restarted_node_serves_nothing():
    async def scenario(fleet):
        await _settle(fleet)
        restarted = _others(fleet)[0]
        await fleet.sources[0].stop()
        for name in _keepers(fleet)[:2]:
            await fleet.nodes[name].stop()
        await fleet.nodes[restarted].stop()
        node = fleet.renew_node(restarted)
        node.distribution.directory.adopt(fleet.log.state.keepers.values())
        await node.start()
        await asyncio.sleep(1)
        assert node.version is None
        assert 'floor' in node.distribution.dump().waiting_for
        survivor = fleet.nodes[_keepers(fleet)[2]]
        assert survivor.version == 1

    asyncio.run(run_fleet(_create_fleet(4), scenario))


def test_a_keeper_is_replaced_while_a_version_is_staged(monkeypatch):
    monkeypatch.setattr(keeper_plan, 'UNAVAILABLE_SECONDS', 0.5)

    async def scenario(fleet):
        await _settle(fleet)
        before = _keepers(fleet)
        await fleet.nodes[before[0]].stop()
        fleet.nodes.pop(before[0])
        fleet.stage(2)
        await wait_until(lambda: _keepers(fleet) != before)
        await wait_until(lambda: fleet.log.state.staged is None)
        await fleet.until_everywhere(2)
        restarted = next(iter(fleet.nodes))
        await fleet.nodes[restarted].stop()
        node = fleet.renew_node(restarted)
        await node.start()
        await wait_until(lambda: node.version is not None)
        assert node.versions == [2]

    asyncio.run(run_fleet(_create_fleet(4), scenario))


def test_children_of_a_dead_parent_find_another():
    async def scenario(fleet):
        await _settle(fleet)
        child = fleet.nodes[_others(fleet)[0]]
        parents: list[str] = []

        def has_parent():
            found = [
                name
                for name in _keepers(fleet)
                if fleet.nodes[name].cfg.control
                == child.distribution.dump().uplink.parent
            ]
            parents.extend(found)
            return bool(found)

        await wait_until(has_parent)
        parent = parents[0]
        await fleet.nodes[parent].stop()
        fleet.nodes.pop(parent)
        await fleet.activate(2)
        await fleet.until_everywhere(2)

    asyncio.run(run_fleet(_create_fleet(5), scenario))


def test_a_herd_of_restarts_comes_back_while_the_source_is_away():
    async def scenario(fleet):
        await _settle(fleet)
        herd = _others(fleet)
        await fleet.sources[0].stop()
        for name in herd:
            await fleet.nodes[name].stop()
            fleet.renew_node(name)
        await asyncio.gather(*(fleet.nodes[one].start() for one in herd))
        await fleet.until_everywhere(1)
        assert {tuple(fleet.nodes[one].versions) for one in herd} == {(1,)}

    asyncio.run(run_fleet(_create_fleet(9), scenario))


def test_a_whole_domain_without_memory_waits_for_the_source():
    async def scenario(fleet):
        await _settle(fleet)
        names = list(fleet.nodes)
        await fleet.sources[0].stop()
        for name in names:
            await fleet.nodes[name].stop()
        for name in names:
            node = fleet.renew_node(name)
            node.distribution.directory.adopt(fleet.log.state.keepers.values())
            await node.start()
        await asyncio.sleep(1)
        assert set(fleet.versions().values()) == {None}
        await fleet.sources[0].start()
        await fleet.until_everywhere(1)
        for node in fleet.nodes.values():
            assert node.versions == [1]

    asyncio.run(run_fleet(_create_fleet(4), scenario))


def test_a_domain_that_was_cut_off_gets_the_newest_version_only():
    async def scenario(fleet):
        await _settle(fleet)
        cut = [name for name in fleet.nodes if name.startswith('b')]
        for name in cut:
            fleet.cut_from_sources(name)
        for version in (2, 3, 4, 5):
            await fleet.activate(version)
        assert {fleet.nodes[name].version for name in cut} == {1}
        for name in cut:
            fleet.nodes[name].channels.heal()
        await fleet.until_everywhere(5)
        for name in cut:
            assert fleet.nodes[name].versions == [0, 1, 5]

    asyncio.run(run_fleet(_create_fleet(4, 'ab'), scenario))


def test_a_new_leader_settles_what_the_old_one_staged():
    async def scenario(fleet):
        await _settle(fleet)
        fleet.log.leader = ''
        await wait_until(
            lambda: not fleet.sources[0].distributor.status()[0].keepers
        )
        fleet.stage(2)
        fleet.log.leader = 's1'
        await wait_until(lambda: fleet.log.state.staged is None)
        assert fleet.sources[0].ledger.commands[-1].at_ms
        await fleet.until_everywhere(2)
        assert fleet.sources[1].ledger.commands

    asyncio.run(run_fleet(_create_fleet(4, sources=3), scenario))


def test_many_missed_changes_come_as_one_snapshot():
    missed = 200

    async def scenario(fleet):
        await _settle(fleet)
        late = fleet.nodes[_others(fleet)[0]]
        late.channels.cut(
            [node.cfg.control for node in fleet.nodes.values()],
        )
        for version in range(2, missed + 2):
            await fleet.activate(version)
        before = _received_stages(late)
        late.channels.heal()
        await fleet.until_everywhere(missed + 1)
        assert _received_stages(late) - before == 1
        assert late.versions == [0, 1, missed + 1]

    asyncio.run(run_fleet(_create_fleet(4), scenario))


def _received_stages(node) -> int:
    received = node.distribution.dump().traffic.received
    return sum(each.messages for each in received if each.kind == 'Stage')


def test_a_deep_tree_keeps_its_bounds_and_repairs_itself(monkeypatch):
    monkeypatch.setattr(tree, 'FANOUT', 2)
    monkeypatch.setattr(tree, 'MAX_CHILDREN', 3)

    async def scenario(fleet):
        await _settle(fleet)
        parents = [name for name in _others(fleet) if _children(fleet, name)]
        assert parents
        for name in parents[:2]:
            await fleet.nodes.pop(name).stop()
        await fleet.activate(2)
        await fleet.until_everywhere(2)
        for name in fleet.nodes:
            assert len(_children(fleet, name)) <= 3

    asyncio.run(run_fleet(_create_fleet(18), scenario))


def _children(fleet: Fleet, name: str) -> tuple[str, ...]:
    return fleet.nodes[name].distribution.dump().children


def test_two_nodes_that_restart_in_turn_get_the_next_version():
    """Each learns from a source, not from its parent, that it is a keeper."""

    async def scenario(fleet):
        await fleet.until_everywhere(0)
        for version in (1, 2, 3, 4):
            for name in tuple(fleet.nodes):
                await fleet.nodes[name].stop()
                await wait_until(lambda: _keepers(fleet) != [name])
                node = fleet.renew_node(name)
                await node.start()
                await wait_until(lambda: node.version is not None)
            await fleet.activate(version)
            await fleet.until_everywhere(version)

    asyncio.run(run_fleet(_create_fleet(2), scenario))


def test_a_parent_that_takes_no_connection_is_left():
    """A source that had just started told of a keeper whose VM was gone."""

    async def scenario(fleet):
        await _settle(fleet)
        name = _others(fleet)[0]
        await fleet.nodes[name].stop()
        node = fleet.renew_node(name)
        with open_unresponsive_address() as address:
            node.distribution._uplink._hint = address
            await node.start()
            await wait_until(lambda: node.version == 1)

    asyncio.run(run_fleet(_create_fleet(4), scenario))
