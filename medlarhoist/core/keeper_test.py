"""Tests of keepers: no reader of a floor is told less than was served.

A run is a list of steps drawn by hypothesis over a handful of nodes, with
restarts that forget everything, changes of the set, readers with an old set
and answers that arrive late.
"""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from medlarhoist.core import keeper as keeper_module
from medlarhoist.core.command import KeeperSet
from medlarhoist.core.floor import FloorReply, read_floor
from medlarhoist.core.keeper import (
    KeeperState,
    adopt_set,
    establish,
    floor_reply,
    hold_version,
    is_fenced,
    is_recovered,
    record_reply,
    recover_from_source,
)

NODES = ('a', 'b', 'c', 'd', 'e')


def _create_set(epoch, names, previous=()):
    return KeeperSet(
        domain='a',
        epoch=epoch,
        members=dict.fromkeys(names, '127.0.0.1:1'),
        previous=dict.fromkeys(previous, '127.0.0.1:1'),
    )


class World:
    """The sources, the nodes and what was served so far."""

    __slots__ = ('active', 'late', 'nodes', 'random', 'served', 'sets')

    def __init__(self, seed):
        self.active = 1
        self.late = []
        self.nodes = {name: KeeperState(node=name) for name in NODES}
        self.random = Random(seed)
        self.served = 0
        self.sets = [_create_set(1, NODES[:3])]


def _source_answer(world):
    keepers = world.sets[-1]
    return FloorReply(
        node='s0',
        held=world.active,
        recovered=keepers.epoch,
        keepers=keepers,
        leads=True,
    )


def _establish(world, name):
    state = establish(world.nodes[name])
    world.nodes[name] = state
    world.served = max(world.served, state.established)


def _step(world, kind):
    STEPS[kind](world, world.random.choice(NODES))


def _activate(world, name):
    world.active += 1


def _tell(world, name):
    state = adopt_set(world.nodes[name], world.sets[-1])
    world.nodes[name] = hold_version(state, world.active)


def _recover_from_source(world, name):
    answer = _source_answer(world)
    world.nodes[name] = recover_from_source(world.nodes[name], answer)


def _ask_any(world, name):
    _ask(world, name, world.random.choice(NODES))


def _ask(world, name, other):
    if name == other:
        return
    asked = adopt_set(world.nodes[other], world.nodes[name].keepers)
    world.nodes[other] = asked
    answer = floor_reply(asked)
    if world.random.randrange(10) < 3:
        world.late.append((name, answer))
        return
    world.nodes[name] = record_reply(world.nodes[name], answer)
    _establish(world, name)


def _deliver_late(world, name):
    if world.late:
        receiver, answer = world.late.pop(0)
        world.nodes[receiver] = record_reply(world.nodes[receiver], answer)
        _establish(world, receiver)


def _restart(world, name):
    world.nodes[name] = KeeperState(node=name)
    world.late = [pair for pair in world.late if pair[0] != name]


def _replace(world, name):
    current = world.sets[-1]
    ready = [
        member
        for member in current.members
        if _is_ready(world.nodes[member], current.epoch)
    ]
    if len(ready) < 2:
        return
    names = sorted(current.members)
    spare = sorted(set(NODES) - set(names))
    names[world.random.randrange(3)] = world.random.choice(spare)
    world.sets.append(_create_set(current.epoch + 1, names, current.members))


def _is_ready(state, epoch):
    if not is_recovered(state) or not is_fenced(state):
        return False
    return state.recovered == epoch


def _read_newest(world, name):
    _read(world, world.sets[-1])


def _read_any(world, name):
    _read(world, world.random.choice(world.sets))


def _read(world, keepers):
    answers = []
    for name in keepers.members:
        if world.random.randrange(10) < 8:
            asked = adopt_set(world.nodes[name], keepers)
            world.nodes[name] = asked
            answers.append(floor_reply(asked))
    floor = read_floor(keepers, answers)
    assert floor is None or floor >= world.served


STEPS = {
    'activate': _activate,
    'tell': _tell,
    'ask': _ask_any,
    'late': _deliver_late,
    'restart': _restart,
    'source': _recover_from_source,
    'replace': _replace,
    'read': _read_newest,
    'read-old': _read_any,
}


def _run(seed, kinds):
    world = World(seed)
    for kind in kinds:
        _step(world, kind)
    return world


RUNS = st.tuples(
    st.integers(min_value=0, max_value=1_000_000),
    st.lists(st.sampled_from(tuple(STEPS)), min_size=40, max_size=160),
)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(RUNS)
def test_no_reader_is_told_less_than_was_served(run):
    _run(*run)


def _count_lower_reads():
    lower = 0
    for seed in range(1500):
        random = Random(seed)
        kinds = random.choices(tuple(STEPS), k=160)
        try:
            _run(seed, kinds)
        except AssertionError:
            lower += 1
    return lower


def test_seeded_runs_serve_and_read():
    served = 0
    for seed in range(1500):
        world = _run(seed, Random(seed).choices(tuple(STEPS), k=160))
        served += world.served > 1
    assert served > 300


def test_a_restart_without_recovery_would_be_caught(monkeypatch):
    monkeypatch.setattr(
        keeper_module,
        'is_counted',
        lambda keepers, answer: answer.node in keepers.members,
    )
    monkeypatch.setattr(
        'medlarhoist.core.floor.is_counted',
        lambda keepers, answer: answer.node in keepers.members,
    )
    assert _count_lower_reads() > 0


def _serve_by_new_set_and_read_by_old():
    """Return the version served by a new set, and a floor of the old one.

    The old set is a, b, c and the new one b, d, e. Neither a nor c has heard
    of the new set.
    """
    old = _create_set(1, ('a', 'b', 'c'))
    new = _create_set(2, ('b', 'd', 'e'), ('a', 'b', 'c'))
    told = FloorReply(node='s0', held=1, recovered=1, keepers=old, leads=True)
    before = {
        name: recover_from_source(KeeperState(node=name), told)
        for name in old.members
    }
    told = FloorReply(node='s0', held=2, recovered=2, keepers=new, leads=True)
    after = {
        name: recover_from_source(KeeperState(node=name), told)
        for name in new.members
    }
    for name in new.members:
        after['d'] = record_reply(after['d'], floor_reply(after[name]))
    served = establish(after['d']).established
    answers = [floor_reply(before['a']), floor_reply(before['c'])]
    return served, read_floor(old, answers)


def test_a_new_set_serves_nothing_before_the_old_one_is_fenced():
    served, floor = _serve_by_new_set_and_read_by_old()
    assert (served, floor) == (0, 1)


def test_a_set_without_a_fence_would_be_caught(monkeypatch):
    monkeypatch.setattr(keeper_module, 'is_fenced', lambda state: True)
    served, floor = _serve_by_new_set_and_read_by_old()
    assert served > floor


def test_recovery_from_a_single_peer_would_be_caught(monkeypatch):
    monkeypatch.setattr(keeper_module, 'majority', lambda count: 1)
    assert _count_lower_reads() > 0


@pytest.mark.parametrize('present', [1, 2])
def test_a_floor_needs_a_majority(present):
    keepers = _create_set(1, NODES[:3])
    answers = [
        FloorReply(node=name, held=4, recovered=1, keepers=keepers)
        for name in NODES[:present]
    ]
    assert read_floor(keepers, answers) == (4 if present == 2 else None)


def test_an_answer_with_a_newer_set_stops_the_read():
    old = _create_set(1, NODES[:3])
    newer = _create_set(2, NODES[1:4], NODES[:3])
    answers = [
        FloorReply(node='a', held=4, recovered=1, keepers=old),
        FloorReply(node='b', held=4, recovered=1, keepers=newer),
    ]
    assert read_floor(old, answers) is None


def _restore_by_peers(state, answers):
    """Restore a keeper by its peers, as no keeper does."""
    held = max(answer.held for answer in answers)
    return replace(state, held=held, recovered=1)


def _restore_by_source(state, answers):
    keepers = _create_set(1, NODES[:3])
    answer = FloorReply(
        node='s0', held=2, recovered=1, keepers=keepers, leads=True
    )
    return recover_from_source(state, answer)


@pytest.mark.parametrize(
    ('restore', 'is_safe'),
    [(_restore_by_peers, False), (_restore_by_source, True)],
)
def test_only_the_source_restores_a_keeper_without_memory(restore, is_safe):
    keepers = _create_set(1, NODES[:3])
    old = FloorReply(
        node='s0', held=1, recovered=1, keepers=keepers, leads=True
    )
    first, second, third = (
        recover_from_source(KeeperState(node=name), old) for name in 'abc'
    )
    first = hold_version(first, 2)
    second = record_reply(second, floor_reply(first))
    blank = adopt_set(KeeperState(node='a'), keepers)
    first = restore(blank, [floor_reply(second), floor_reply(third)])
    served = establish(hold_version(second, 2)).established
    floor = read_floor(keepers, [floor_reply(first), floor_reply(third)])
    assert served == 2
    assert (floor >= served) is is_safe


def test_a_node_that_is_taken_for_the_leader_restores_nobody():
    """A keeper once asked its parent, a node that had just restarted."""
    keepers = _create_set(1, NODES[:3])
    told = FloorReply(node='a', held=0, recovered=1, keepers=keepers)
    state = recover_from_source(KeeperState(node='b'), told)
    assert not is_recovered(state)
