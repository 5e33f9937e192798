"""Tests of elections, replication and repair, one failure at a time."""

from msgspec.structs import replace

from medlarhoist.consensus.message import Append
from medlarhoist.consensus.quorum import has_lease
from medlarhoist.consensus.replica import Role, is_voter, pending_admission

NAMES = {'r1', 'r2', 'r3'}


def _elected(cluster):
    cluster.settle()
    leader = cluster.leader()
    assert leader is not None
    return leader, sorted(NAMES - {leader})


def _commit(cluster, leader, count=1):
    for _ in range(count):
        cluster.propose(leader)
        cluster.deliver_all()
    cluster.settle(0.5)


def test_empty_folders_bootstrap_a_group_and_elect_a_leader(cluster):
    leader, others = _elected(cluster)
    _commit(cluster, leader)
    assert {cluster.running[name].commit for name in NAMES} == {2}


def test_no_group_is_bootstrapped_while_a_peer_does_not_reply(cluster):
    """The peer may hold the log of a group whose other folders were lost."""
    cluster.settle(10.0, disconnected=('r3',))
    assert cluster.leader() is None
    assert not any(is_voter(cluster.running[name]) for name in NAMES)


def test_a_frozen_leader_has_no_lease_and_commits_nothing(cluster):
    old, others = _elected(cluster)
    cluster.settle(4.0, disconnected=(old,))
    new = cluster.leader()
    assert new in others
    assert cluster.running[old].role is Role.LEADER
    assert not has_lease(cluster.running[old], cluster.now)
    before = cluster.running[old].commit
    cluster.propose(old, b'written before the freeze')
    cluster.deliver_all()
    assert cluster.running[old].commit == before
    _commit(cluster, new)
    bodies = {
        entry.body
        for name in NAMES
        for entry in cluster.running[name].log.entries
    }
    assert b'written before the freeze' not in bodies


def test_a_leader_without_replies_steps_down(cluster):
    leader, _ = _elected(cluster)
    for _ in range(30):
        cluster.pass_time(0.05, frozen=NAMES - {leader})
        cluster.messages.clear()
    assert cluster.running[leader].role is not Role.LEADER


def test_a_reconnected_replica_does_not_depose_the_leader(cluster):
    """Its campaigns while disconnected must not have raised its term."""
    leader, others = _elected(cluster)
    term = cluster.running[leader].term
    for _ in range(100):
        cluster.pass_time(0.05)
        cluster.deliver_all(disconnected=(others[0],))
    cluster.settle(2.0)
    assert cluster.leader() == leader
    assert cluster.running[leader].term == term


def test_a_follower_behind_the_log_installs_the_snapshot(cluster):
    leader, others = _elected(cluster)
    behind = others[0]
    cluster.crash(behind)
    _commit(cluster, leader, count=100)
    cluster.compact(leader)
    assert not cluster.running[leader].log.entries
    cluster.start(behind)
    cluster.settle(2.0)
    assert cluster.running[behind].snapshot is not None
    assert cluster.running[behind].commit == cluster.running[leader].commit
    cluster.crash(behind)
    cluster.start(behind)
    assert (
        cluster.running[behind].commit >= cluster.running[behind].snapshot.index
    )


def test_a_replica_with_a_lost_folder_votes_only_once_admitted(cluster):
    """Its vote could elect a leader without an entry that it had acknowledged."""
    leader, (lost, other) = _elected(cluster)
    cluster.settle(1.0, disconnected=(other,))
    cluster.propose(leader, b'held by two')
    cluster.deliver_all(disconnected=(other,))
    assert cluster.running[leader].commit == 2
    cluster.lose_folder(lost)
    cluster.crash(leader)
    cluster.start(lost)
    cluster.settle(10.0)
    assert cluster.leader() is None
    cluster.start(leader)
    cluster.settle(8.0)
    assert is_voter(cluster.running[lost])
    assert cluster.running[lost].log.entries[1].body == b'held by two'


def test_a_second_lost_folder_after_the_repair_loses_no_entry(cluster):
    leader, (lost, other) = _elected(cluster)
    _commit(cluster, leader, count=3)
    cluster.lose_folder(lost)
    cluster.start(lost)
    cluster.settle(4.0)
    assert is_voter(cluster.running[lost])
    before = cluster.running[leader].commit
    cluster.lose_folder(leader)
    cluster.start(leader)
    cluster.settle(8.0)
    assert cluster.leader() in {lost, other}
    assert min(cluster.running[name].commit for name in NAMES) > before
    assert is_voter(cluster.running[leader])


def test_a_replica_that_lost_a_write_becomes_a_learner(cluster):
    """The disk of a follower lost an entry that it had acknowledged."""
    leader, (damaged, _) = _elected(cluster)
    _commit(cluster, leader)
    folder = cluster.disks[damaged].hard.incarnation
    cluster.lose_last_write(damaged)
    cluster.start(damaged)
    cluster.pass_time(0.2)
    cluster.deliver_all()
    assert cluster.running[damaged].incarnation != folder
    cluster.settle(2.0)
    assert is_voter(cluster.running[damaged])


def test_a_delayed_message_does_not_truncate_the_log(cluster):
    """An old Append arrives after newer entries were appended."""
    leader, (follower, _) = _elected(cluster)
    cluster.propose(leader)
    delayed = [
        message
        for message in cluster.messages
        if isinstance(message, Append) and message.receiver == follower
    ]
    cluster.deliver_all()
    _commit(cluster, leader, count=2)
    before = cluster.running[follower].log
    cluster.messages.extend(delayed)
    cluster.deliver_all()
    assert cluster.running[follower].log.entries == before.entries


def test_a_follower_in_contact_with_the_leader_grants_no_vote(cluster):
    leader, (connected, isolated) = _elected(cluster)
    term = cluster.running[leader].term
    for _ in range(100):
        cluster.pass_time(0.05)
        cluster.messages = [
            message
            for message in cluster.messages
            if {message.sender, message.receiver} != {leader, isolated}
        ]
        cluster.deliver_all()
    assert cluster.leader() == leader
    assert cluster.running[connected].term == term


def test_a_replica_that_lacks_entries_does_not_raise_the_term(cluster):
    leader, (complete, lagging) = _elected(cluster)
    cluster.settle(0.5, disconnected=(lagging,))
    cluster.propose(leader)
    cluster.deliver_all(disconnected=(lagging,))
    cluster.crash(leader)
    term = cluster.running[complete].term
    for _ in range(200):
        cluster.pass_time(0.05, frozen=(complete,))
        cluster.deliver_all()
    assert cluster.running[lagging].role is not Role.LEADER
    assert cluster.running[lagging].term == term


def test_an_admission_needs_a_majority_of_the_other_members(cluster):
    """Neither the lost nor the new data folder may count for its admission."""
    leader, (lost, other) = _elected(cluster)
    cluster.lose_folder(lost)
    cluster.start(lost)
    cluster.settle(0.8, disconnected=(other,))
    assert pending_admission(cluster.running[leader]) == lost
    cluster.settle(6.0, disconnected=(other,))
    assert not is_voter(cluster.running[lost])
    assert cluster.leader() is None
    cluster.settle(8.0)
    assert is_voter(cluster.running[lost])


def _elect_only(cluster, candidate):
    """Let one replica campaign until it leads; its first messages are lost."""
    for _ in range(200):
        cluster.pass_time(0.05, frozen=NAMES - {candidate})
        while cluster.messages:
            cluster.deliver(0)
            if cluster.running[candidate].role is Role.LEADER:
                cluster.messages.clear()
                return
    raise AssertionError('no replica was elected')


def _without_entries_after(message, index):
    """Return the message without its entries after an index."""
    if not isinstance(message, Append):
        return message
    entries = tuple(entry for entry in message.entries if entry.index <= index)
    return replace(message, entries=entries)


def test_an_entry_of_an_old_term_is_not_committed_by_counting_replicas(cluster):
    """A majority holds the entry, but a later leader may still replace it."""
    first, (second, third) = _elected(cluster)
    cluster.propose(first, b'old')
    cluster.messages.clear()
    cluster.crash(first)
    _elect_only(cluster, second)
    cluster.crash(second)
    cluster.start(first)
    _elect_only(cluster, first)
    old = cluster.running[first].log.entries[1]
    assert old.body == b'old'
    before = cluster.running[first].commit
    for _ in range(20):
        cluster.pass_time(0.05, frozen={third})
        cluster.messages = [
            _without_entries_after(message, old.index)
            for message in cluster.messages
            if second not in {message.sender, message.receiver}
        ]
        cluster.deliver(0)
    assert cluster.running[third].log.entries[1] == old
    assert cluster.running[first].commit == before
