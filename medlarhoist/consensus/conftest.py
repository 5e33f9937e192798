"""A simulated cluster of replicas in memory, for the tests of consensus."""

from random import Random

import pytest

from medlarhoist.consensus.log import Log, last_index, term_at
from medlarhoist.consensus.message import Compact, Propose, Tick
from medlarhoist.consensus.quorum import has_lease
from medlarhoist.consensus.record import HardState, LogSnapshot
from medlarhoist.consensus.replica import Role, create_replica
from medlarhoist.consensus.step import step


class Disk:
    """Simulated disk: what one replica has synced."""

    def __init__(self, incarnation):
        self.hard = HardState(incarnation=incarnation)
        self.snapshot = None
        self.log = Log()
        self.previous_log = Log()

    def save(self, write, log):
        if write.hard is not None:
            self.hard = write.hard
        if write.snapshot is not None:
            self.snapshot = write.snapshot
        if write.entries or write.snapshot is not None:
            self.previous_log = self.log
            self.log = log


class Cluster:
    """Replicas, their disks and the messages between them.

    Each step of a replica is checked for the safety of consensus.
    """

    def __init__(self, names, seed=0):
        self.names = names
        self.random = Random(seed)
        self.now = 1.0
        self.disks = {}
        self.running = {}
        self.messages = []
        self.leaders = {}
        self.committed = {}
        self.folder_count = 0
        for name in names:
            self.lose_folder(name)
        for name in names:
            self.start(name)

    def lose_folder(self, name):
        self.running.pop(name, None)
        self.folder_count += 1
        self.disks[name] = Disk(f'folder-{self.folder_count}')

    def lose_last_write(self, name):
        self.crash(name)
        self.disks[name].log = self.disks[name].previous_log

    def start(self, name):
        disk = self.disks[name]
        peers = tuple(other for other in self.names if other != name)
        self.running[name] = create_replica(
            name,
            peers,
            disk.hard,
            disk.snapshot,
            disk.log.entries,
            self.now,
            self.random.random,
        )

    def crash(self, name):
        self.running.pop(name, None)

    def handle(self, name, event):
        if name not in self.running:
            return
        result = step(self.running[name], event, self.now, self.random.random)
        if result.write is not None:
            self.disks[name].save(result.write, result.replica.log)
        self.running[name] = result.replica
        self.messages.extend(result.messages)
        self.check(name)

    def propose(self, name, body=b'x'):
        self.handle(name, Propose(bodies=(body,)))

    def compact(self, name):
        replica = self.running.get(name)
        if replica is None or replica.commit <= replica.log.base_index:
            return
        snapshot = LogSnapshot(
            index=replica.commit,
            term=term_at(replica.log, replica.commit),
            voters=replica.voters,
            body=b'state',
        )
        self.handle(name, Compact(snapshot=snapshot))

    def pass_time(self, seconds, frozen=()):
        self.now += seconds
        for name in self.names:
            if name not in frozen:
                self.handle(name, Tick())

    def deliver(self, position, *, keep=False):
        if not self.messages:
            return
        position %= len(self.messages)
        message = self.messages[position]
        if not keep:
            self.messages.pop(position)
        self.handle(message.receiver, message)

    def settle(self, seconds=4.0, disconnected=()):
        """Deliver all messages in order while time passes.

        The replicas in `disconnected` get neither ticks nor messages.
        """
        end = self.now + seconds
        while self.now < end:
            self.pass_time(0.05, frozen=disconnected)
            self.deliver_all(disconnected)

    def deliver_all(self, disconnected=()):
        for _ in range(1000):
            if not self.messages:
                return
            message = self.messages.pop(0)
            if (
                message.sender not in disconnected
                and message.receiver not in disconnected
            ):
                self.handle(message.receiver, message)

    def leader(self):
        for name, replica in self.running.items():
            if has_lease(replica, self.now):
                return name
        return None

    def check_completeness(self, replica):
        """Check that a leader holds all entries committed before its term."""
        for index, (entry_term, leader_term) in self.committed.items():
            if index <= replica.log.base_index or leader_term >= replica.term:
                continue
            assert term_at(replica.log, index) == entry_term, (
                'a leader lacks a committed entry'
            )

    def check(self, name):
        """Check a replica that has made a step against all others."""
        replica = self.running[name]
        if replica.role is Role.LEADER:
            holder = self.leaders.setdefault(replica.term, name)
            assert holder == name, 'two leaders in one term'
            self.check_completeness(replica)
        for index in range(replica.log.base_index + 1, replica.commit + 1):
            entry_term = term_at(replica.log, index)
            first_term, _ = self.committed.setdefault(
                index,
                (entry_term, replica.term),
            )
            assert first_term == entry_term, (
                'two entries committed at one index'
            )
        leases = [
            other
            for other in self.running.values()
            if has_lease(other, self.now)
        ]
        assert len(leases) < 2, 'two leases at one time'
        for other in self.running.values():
            _check_matching(replica.log, other.log)


def _check_matching(left, right):
    """Check that logs agree up to the last entry of the same term."""
    first = max(left.base_index, right.base_index)
    index = min(last_index(left), last_index(right))
    while index > first and term_at(left, index) != term_at(right, index):
        index -= 1
    while index > first:
        left_offset = index - left.base_index - 1
        right_offset = index - right.base_index - 1
        if left.entries[left_offset] is right.entries[right_offset]:
            return
        assert left.entries[left_offset] == right.entries[right_offset]
        index -= 1


@pytest.fixture
def cluster():
    """Three replicas with empty data folders."""
    return Cluster(('r1', 'r2', 'r3'))


@pytest.fixture
def create_cluster():
    return Cluster
