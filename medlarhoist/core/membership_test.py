"""Tests of the membership under packet loss, reordering and duplicates."""

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
def test_order_and_duplicates_of_records_do_not_matter(records, random):
    records.insert(0, _create_member('m', incarnation=1))
    records.insert(0, _create_member('n', incarnation=1))
    shuffled = records[:2] + random.sample(records[2:], len(records) - 2)
    ordered = MembershipState(_create_member('z'))
    reordered = MembershipState(_create_member('z'))
    merge_members(ordered, records, 0)
    merge_members(reordered, (*shuffled, *shuffled), 0)
    assert ordered.members == reordered.members


def test_a_suspect_refutes():
    state = MembershipState(_create_member('z'))
    suspected = _create_member('z', status=MemberStatus.SUSPECT)
    merge_members(state, (suspected,), 0)
    assert state.local_member.incarnation == 2
    other = MembershipState(_create_member('y'))
    merge_members(other, (_create_member('z'), suspected), 0)
    assert other.members['z'].status is MemberStatus.SUSPECT
    merge_members(other, (state.local_member,), 1)
    assert other.members['z'].status is MemberStatus.ALIVE


def test_an_older_record_does_not_replace_a_newer_one():
    state = MembershipState(_create_member('z'))
    newer = _create_member('m', sequence=2, target=None)
    older = _create_member('m', sequence=1, target=_create_target('m'))
    merge_members(state, (newer, older), 0)
    assert live_targets(state) == ()


def test_left_dead_and_suspected_members_have_different_statuses():
    state = MembershipState(_create_member('z'))
    leaver = MembershipState(_create_member('l'))
    members = (_create_member('l'), _create_member('m'), _create_member('n'))
    merge_members(state, members, 0)
    leave(leaver)
    merge_members(state, (leaver.local_member,), 0)
    suspect(state, 'm', 0)
    assert expire(state, SUSPICION_SECONDS) == ('m',)
    suspect(state, 'n', SUSPICION_SECONDS)
    statuses = {name: record.status for name, record in state.members.items()}
    assert statuses == {
        'l': MemberStatus.LEFT,
        'm': MemberStatus.DEAD,
        'n': MemberStatus.SUSPECT,
    }
    assert [member.name for member in live_members(state)] == ['n']


class Network:
    """Simulated members in steps of 0.1 s; packets are lost at random."""

    __slots__ = ('loss', 'now', 'probers', 'random', 'unreachable')

    def __init__(self, count, seed, loss):
        self.loss = loss
        self.now = 0
        self.probers = {}
        self.random = Random(seed)
        self.unreachable = set()
        members = [_create_member(f'm{number}') for number in range(count)]
        for member in members:
            state = MembershipState(member)
            merge_members(state, members, 0)
            state.send_counts.clear()
            self.probers[member.name] = Prober(state)

    def run(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            waiting = []
            for name, prober in self.probers.items():
                if name not in self.unreachable:
                    sent = advance(prober, self.now, self.random)
                    waiting.extend((*sent, *push_updates(prober, self.random)))
            self._deliver(waiting)

    def _deliver(self, waiting):
        while waiting:
            outgoing = waiting.pop()
            lost = self.random.random() < self.loss
            if lost or outgoing.address in self.unreachable:
                continue
            prober = self.probers.get(outgoing.address)
            if prober is not None:
                waiting.extend(receive(prober, outgoing.packet, self.now))

    def statuses_of(self, name):
        return {
            prober.membership.members[name].status
            for other, prober in self.probers.items()
            if other != name and other not in self.unreachable
        }


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_only_the_unreachable_member_is_declared_dead(seed):
    network = Network(12, seed, loss=0.1)
    network.run(5)
    network.unreachable.add('m3')
    network.run(25)
    assert network.statuses_of('m3') == {MemberStatus.DEAD}
    for name in set(network.probers) - {'m3'}:
        assert MemberStatus.DEAD not in network.statuses_of(name)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_draining_target_reaches_every_member_in_three_seconds(seed):
    network = Network(60, seed, loss=0.1)
    state = network.probers['m7'].membership
    set_target(state, _create_target('m7'))
    network.run(5)
    set_target(state, _create_target('m7', TargetPhase.DRAINING))
    network.run(3)
    phases = {
        target.phase
        for prober in network.probers.values()
        for target in live_targets(prober.membership)
    }
    assert phases == {TargetPhase.DRAINING}


def test_an_unreachable_member_is_alive_again_once_reachable():
    network = Network(6, 1, loss=0)
    network.unreachable.add('m3')
    network.run(20)
    assert network.statuses_of('m3') == {MemberStatus.DEAD}
    network.unreachable.clear()
    network.run(20)
    assert network.statuses_of('m3') == {MemberStatus.ALIVE}


def test_digests_are_equal_where_the_live_members_are():
    first = MembershipState(_create_member('y'))
    second = MembershipState(_create_member('z'))
    merge_members(first, (second.local_member,), 0)
    assert digest_members(first) != digest_members(second)
    merge_members(second, (first.local_member,), 0)
    assert digest_members(first) == digest_members(second)
    set_target(first, _create_target('y'))
    assert digest_members(first) != digest_members(second)


def test_records_of_full_exchanges_are_not_spread():
    state = MembershipState(_create_member('z'))
    merge_members(state, (_create_member('m'),), 0, spread=False)
    assert set(state.send_counts) == {'z'}
