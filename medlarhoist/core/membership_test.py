"""Tests of the membership under loss, reordering and duplicates."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from medlarhoist.core.membership import (
    SUSPICION_SECONDS,
    Member,
    MembershipState,
    MemberStatus,
    digest_members,
    expire,
    leave,
    live_members,
    live_targets,
    merge_members,
    set_target,
    suspect,
)
from medlarhoist.core.membership_probe import (
    Prober,
    advance,
    push_updates,
    receive,
)
from medlarhoist.core.target import Target, TargetPhase

STEP_SECONDS = 0.1


def _create_member(name, **changes):
    member = Member(
        name=name,
        domain='a',
        gossip=name,
        control=f'{name}:c',
        incarnation=1,
    )
    return replace(member, **changes)


def _create_target(name, phase=TargetPhase.READY):
    return Target(
        node=name,
        domain='a',
        service='bookings',
        label='v1',
        address=f'{name}:p',
        slots=20,
        phase=phase,
        since_ms=1,
    )


RECORDS = st.builds(
    _create_member,
    st.sampled_from(('m', 'n')),
    incarnation=st.integers(1, 3),
    sequence=st.integers(0, 2),
    status=st.sampled_from(MemberStatus),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(RECORDS, min_size=1, max_size=8), st.randoms())
def test_order_and_duplicates_of_news_do_not_matter(records, random):
    records.insert(0, _create_member('m', incarnation=1))
    records.insert(0, _create_member('n', incarnation=1))
    shuffled = records[:2] + random.sample(records[2:], len(records) - 2)
    straight = MembershipState(_create_member('z'))
    crossed = MembershipState(_create_member('z'))
    merge_members(straight, records, 0)
    merge_members(crossed, (*shuffled, *shuffled), 0)
    assert straight.members == crossed.members


def test_a_suspect_refutes():
    knowledge = MembershipState(_create_member('z'))
    doubted = _create_member('z', status=MemberStatus.SUSPECT)
    merge_members(knowledge, (doubted,), 0)
    assert knowledge.local_member.incarnation == 2
    other = MembershipState(_create_member('y'))
    merge_members(other, (_create_member('z'), doubted), 0)
    assert other.members['z'].status is MemberStatus.SUSPECT
    merge_members(other, (knowledge.local_member,), 1)
    assert other.members['z'].status is MemberStatus.ALIVE


def test_hearsay_does_not_undo_what_a_node_says_of_its_target():
    knowledge = MembershipState(_create_member('z'))
    own = _create_member('m', sequence=2, target=None)
    old = _create_member('m', sequence=1, target=_create_target('m'))
    merge_members(knowledge, (own, old), 0)
    assert live_targets(knowledge) == ()


def test_leaving_dead_and_suspected_are_told_apart():
    knowledge = MembershipState(_create_member('z'))
    leaver = MembershipState(_create_member('l'))
    members = (_create_member('l'), _create_member('m'), _create_member('n'))
    merge_members(knowledge, members, 0)
    leave(leaver)
    merge_members(knowledge, (leaver.local_member,), 0)
    suspect(knowledge, 'm', 0)
    assert expire(knowledge, SUSPICION_SECONDS) == ('m',)
    suspect(knowledge, 'n', SUSPICION_SECONDS)
    found = {name: each.status for name, each in knowledge.members.items()}
    assert found == {
        'l': MemberStatus.LEFT,
        'm': MemberStatus.DEAD,
        'n': MemberStatus.SUSPECT,
    }
    assert [member.name for member in live_members(knowledge)] == ['n']


class Network:
    """Members whose packets are lost at random, in steps of 0.1 s."""

    __slots__ = ('loss', 'now', 'probers', 'random', 'silent')

    def __init__(self, count, seed, loss):
        self.loss = loss
        self.now = 0
        self.probers = {}
        self.random = Random(seed)
        self.silent = set()
        everyone = [_create_member(f'm{number}') for number in range(count)]
        for member in everyone:
            knowledge = MembershipState(member)
            merge_members(knowledge, everyone, 0)
            knowledge.send_counts.clear()
            self.probers[member.name] = Prober(knowledge)

    def run(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            waiting = []
            for name, prober in self.probers.items():
                if name not in self.silent:
                    sent = advance(prober, self.now, self.random)
                    waiting.extend((*sent, *push_updates(prober, self.random)))
            self._deliver(waiting)

    def _deliver(self, waiting):
        while waiting:
            outgoing = waiting.pop()
            lost = self.random.random() < self.loss
            if lost or outgoing.address in self.silent:
                continue
            prober = self.probers.get(outgoing.address)
            if prober is not None:
                waiting.extend(receive(prober, outgoing.packet, self.now))

    def views(self, name):
        return {
            prober.knowledge.members[name].status
            for other, prober in self.probers.items()
            if other != name and other not in self.silent
        }


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_dead_member_is_found_and_nobody_else(seed):
    network = Network(12, seed, loss=0.1)
    network.run(5)
    network.silent.add('m3')
    network.run(25)
    assert network.views('m3') == {MemberStatus.DEAD}
    for name in set(network.probers) - {'m3'}:
        assert MemberStatus.DEAD not in network.views(name)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_draining_target_is_known_everywhere_in_three_seconds(seed):
    network = Network(60, seed, loss=0.1)
    own = network.probers['m7'].knowledge
    set_target(own, _create_target('m7'))
    network.run(5)
    set_target(own, _create_target('m7', TargetPhase.DRAINING))
    network.run(3)
    phases = {
        target.phase
        for prober in network.probers.values()
        for target in live_targets(prober.knowledge)
    }
    assert phases == {TargetPhase.DRAINING}


def test_a_member_that_was_cut_off_comes_back():
    network = Network(6, 1, loss=0)
    network.silent.add('m3')
    network.run(20)
    assert network.views('m3') == {MemberStatus.DEAD}
    network.silent.clear()
    network.run(20)
    assert network.views('m3') == {MemberStatus.ALIVE}


def test_digests_agree_where_the_live_members_do():
    first = MembershipState(_create_member('y'))
    second = MembershipState(_create_member('z'))
    merge_members(first, (second.local_member,), 0)
    assert digest_members(first) != digest_members(second)
    merge_members(second, (first.local_member,), 0)
    assert digest_members(first) == digest_members(second)
    set_target(first, _create_target('y'))
    assert digest_members(first) != digest_members(second)


def test_whole_exchanges_are_not_spread():
    knowledge = MembershipState(_create_member('z'))
    merge_members(knowledge, (_create_member('m'),), 0, spread=False)
    assert set(knowledge.send_counts) == {'z'}
