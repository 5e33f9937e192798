"""Tests that a node does not stay at an older version while others go on.

The tree may fail a node in many ways; each of these nodes is still in touch
with other members of its domain.
"""

import asyncio
import time

import pytest

from bench.distribution_fleet import Fleet, run_fleet, wait_until
from bench.domain_fleet import KEEPERS, converge
from medlarhoist.core.compile import compile_snapshot
from medlarhoist.core.newer_versions import NewerVersions
from medlarhoist.core.resource import Fault
from medlarhoist.core.tree import rank_of
from medlarhoist.node.catch_up import CatchUp
from medlarhoist.node.downlink import Downlink
from medlarhoist.wire.message import Redirect
from medlarhoist.wire.snapshot_history import MAX_SNAPSHOTS

# Time in which a version that is accepted must be in force.
APPLY_SECONDS = 2.0
NODES = 7
LONG_SECONDS = 3600


@pytest.fixture(name='refused')
def _refused(monkeypatch):
    """Return a set of names; no node admits these as children."""
    refused = set()
    admit = Downlink._open

    def open_session(downlink, session):
        if session.name in refused:
            session.send(Redirect(address='', reason='not admitted'))
            return False
        return admit(downlink, session)

    monkeypatch.setattr(Downlink, '_open', open_session)
    return refused


def _run(scenario, compile_function=None):
    """Run a scenario; one node may compile with a function of its own."""
    fleet = Fleet(sources=1, keepers=KEEPERS)
    for number in range(NODES):
        fleet.add_node('a', number)
    if compile_function is not None:
        fleet.add_node('b', 0, compile_function)

    async def main(running):
        await converge(running)
        await wait_until(lambda: _has_members(running))
        await scenario(running)

    asyncio.run(run_fleet(fleet, main))


def _keepers(fleet):
    return sorted(fleet.log.state.keepers['a'].members)


def _has_members(fleet):
    return all(
        node.distribution.dump().gossip.alive == NODES
        for node in fleet.nodes.values()
        if node.cfg.domain == 'a'
    )


def _others(fleet):
    """Return the names of the nodes that are no keepers, by rank."""
    others = {name for name in fleet.nodes if name.startswith('a')}
    others -= set(_keepers(fleet))
    return sorted(others, key=rank_of)


def _parent(node):
    return node.distribution.dump().uplink.parent


def _detach(fleet, name):
    for node in fleet.nodes.values():
        session = node.distribution._downlink.sessions.get(name)
        if session:
            session.closed.set()


async def _attach(fleet, name, parent):
    """Move a node below another one."""
    address = fleet.nodes[parent].cfg.control
    child = fleet.nodes[name]
    while _parent(child) != address:
        child.distribution._uplink._hint = address
        _detach(fleet, name)
        await asyncio.sleep(0.2)


async def _accept(fleet, names):
    """Accept a version and assert that nodes have it in force in time."""
    await fleet.activate(2)
    await _await_in_time(fleet, names)


async def _await_in_time(fleet, names):
    began = time.monotonic()
    await wait_until(
        lambda: all(fleet.nodes[name].version == 2 for name in names),
        fleet.versions,
    )
    assert time.monotonic() - began < APPLY_SECONDS


def test_a_version_reaches_a_node_that_no_parent_admits(refused):
    """A node between two parents is in nobody's count."""

    async def scenario(fleet):
        child = _others(fleet)[0]
        refused.add(child)
        _detach(fleet, child)
        await wait_until(lambda: not _parent(fleet.nodes[child]))
        await _accept(fleet, [child])

    _run(scenario)


def test_a_version_reaches_all_nodes_that_no_parent_admits(refused):
    async def scenario(fleet):
        children = _others(fleet)
        refused.update(children)
        for child in children:
            _detach(fleet, child)
        await _accept(fleet, children)

    _run(scenario)


def test_a_version_reaches_the_child_of_a_parent_without_parent():
    """The parent keeps its children while it looks for a parent."""

    async def scenario(fleet):
        parent, *_, child = _others(fleet)
        await _attach(fleet, child, parent)
        fleet.partition_from_nodes(parent, _keepers(fleet))
        await _accept(fleet, [child])

    _run(scenario)


def test_a_version_reaches_the_child_of_a_keeper_that_is_cut_off():
    async def scenario(fleet):
        keeper, *others = _keepers(fleet)
        child = _others(fleet)[-1]
        await _attach(fleet, child, keeper)
        fleet.partition_from_sources(keeper)
        fleet.partition_from_nodes(keeper, others)
        await _accept(fleet, [child])

    _run(scenario)


def test_members_that_do_not_answer_do_not_hold_up_a_version(
    refused, monkeypatch
):
    """Each of them cost a second, as where a link is full."""
    silent = set()
    serve = CatchUp._serve
    pop_teller = NewerVersions.pop_teller

    async def serve_unless_silent(catch_up, stream):
        if catch_up._cfg.control in silent:
            await asyncio.sleep(LONG_SECONDS)
        await serve(catch_up, stream)

    def pop_silent_teller_first(newer, established, asked=()):
        told = silent & newer._tellers.keys() - set(asked)
        if told:
            address = min(told)
            newer._tellers.pop(address)
            return address
        return pop_teller(newer, established, asked)

    monkeypatch.setattr(CatchUp, '_serve', serve_unless_silent)
    monkeypatch.setattr(NewerVersions, 'pop_teller', pop_silent_teller_first)

    async def scenario(fleet):
        child = _others(fleet)[0]
        members = [node for name, node in fleet.nodes.items() if name != child]
        silent.update(node.cfg.control for node in members[:2])
        refused.add(child)
        _detach(fleet, child)
        outdated = fleet.nodes[child].distribution._catch_up
        await fleet.activate(2)
        for node in members:
            outdated._record(2, node.distribution._membership.local_member)
        await _await_in_time(fleet, [child])

    _run(scenario)


def test_a_new_child_is_told_how_old_the_contact_of_its_parent_is(refused):
    """It would stay below parents without contact, 4 s at each of them."""

    async def scenario(fleet):
        parent, *_, child = _others(fleet)
        refused.add(child)
        _detach(fleet, child)
        fleet.partition_from_nodes(parent, _keepers(fleet))
        others = set(fleet.nodes) - {parent, child}
        fleet.partition_from_nodes(child, others)
        await asyncio.sleep(APPLY_SECONDS)
        refused.clear()
        await _attach(fleet, child, parent)
        receiver = fleet.nodes[child].distribution._receiver
        assert receiver.seconds_since_leader() > APPLY_SECONDS / 2

    _run(scenario)


def test_a_restarted_node_gets_a_version_older_than_many_refused_ones():
    """Refused versions took the place of the one in force."""

    async def scenario(fleet):
        for version in range(2, 2 + MAX_SNAPSHOTS + 1):
            await fleet.activate(version)
        assert fleet.log.state.active.version == 1
        name = _others(fleet)[0]
        await fleet.nodes[name].stop()
        node = fleet.replace_node(name)
        await node.start()
        await wait_until(lambda: node.version == 1, fleet.versions, 5.0)

    _run(scenario, _refuse_after_version_1)


def _refuse_after_version_1(snapshot):
    if snapshot.version > 1:
        return None, (Fault(source='route/version', message='is bad'),)
    return compile_snapshot(snapshot)
