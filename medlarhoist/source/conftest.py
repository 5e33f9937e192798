"""A simulated group of sources whose member slots are reassigned.

Machines have data folders of their own, and run what a source does with them:
found the group, take a slot, vote, retire. Time, the network and the disks are
simulated. Each step is checked: there is one group, with one log.
"""

import errno
import os
import shutil
from random import Random

import pytest
from msgspec.structs import replace

from medlarhoist.consensus.log import entries_between
from medlarhoist.consensus.log_file import Disk, open_folder
from medlarhoist.consensus.message import Propose, Resign, Tick
from medlarhoist.consensus.quorum import has_lease
from medlarhoist.consensus.replacement import (
    Addresses,
    MembershipRequest,
    decide_membership,
    report_unwritable,
)
from medlarhoist.consensus.replica import Role, create_replica
from medlarhoist.consensus.step import step
from medlarhoist.core.settings import Peer, SourceSettings
from medlarhoist.source.identity import (
    Identity,
    find_identity,
    retire_folder,
    write_identity,
)
from medlarhoist.source.standby import LEADER_TIMEOUT_SECONDS

TICK_S = 0.05
SEEDS = 3
# As long as a group needs to notice a failure and admit a standby.
REPLACEMENT_S = 8.0


def _peer(number):
    address = f'127.0.0.1:{number}'
    return Peer(name=f'm{number}', control=address, api=address)


class Machine:
    """One machine with its process and its data folder."""

    def __init__(self, world, number, *, keeps_settings):
        self.world = world
        self.name = f'm{number}'
        self.is_seed = number <= SEEDS
        self.keeps_settings = keeps_settings
        self.endpoint = self.name
        self.folder = world.folder / self.name
        self.may_found = self.is_seed
        self.is_cut = False
        self.is_full = False
        self.is_up = True
        self.retirements = 0
        self.forget()

    def forget(self):
        """Forget what is in the memory of the process."""
        self.files = None
        self.identity = None
        self.replica = None
        self.standbys = {}
        self.known = {f'm{number}' for number in range(1, SEEDS + 1)}
        self.asks_at = 0

    @property
    def cfg(self):
        seeds = tuple(_peer(number) for number in range(1, SEEDS + 1))
        is_founder = self.is_seed and (self.may_found or self.keeps_settings)
        return SourceSettings(
            name=self.name,
            domain='a',
            admin='127.0.0.1:1',
            shared_key='a shared key for tests',
            sources=seeds,
            spare=None if is_founder else _peer(int(self.name[1:])),
            may_found=is_founder,
            data_folder=str(self.folder),
            operators=(),
        )

    def write(self, descriptor, content):
        if self.is_full:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return os.write(descriptor, content)

    def kill(self):
        if self.files is not None:
            self.files.close()
        self.forget()
        self.is_up = False
        self.may_found = False

    def heal(self):
        """End what disturbs it; a process that was killed starts again."""
        self.is_cut = False
        self.is_full = False
        self.is_up = True

    def begin(self):
        """Start as a member, where the folder has an identity."""
        self.identity = find_identity(self.cfg).ok_value
        if self.identity is None:
            return
        disk = Disk(write=self.write, sync=lambda descriptor: None)
        files = open_folder(str(self.folder), disk).unwrap()
        try:
            stored = files.load().unwrap()
        except OSError:
            files.close()
            self.identity = None
            return
        self.files = files
        peers = [peer.name for peer in self.identity.sources]
        peers.remove(self.identity.name)
        replica = create_replica(
            self.identity.name,
            tuple(peers),
            stored.hard,
            stored.snapshot,
            stored.entries,
            self.world.now,
            self.world.random.random,
        )
        self.replica = replace(
            replica,
            endpoint=self.endpoint,
            may_found=self.identity.may_found,
        )

    def addresses(self):
        members = {
            peer.name: f'm{peer.control.rpartition(":")[2]}'
            for peer in self.identity.sources
        }
        members[self.identity.name] = self.endpoint
        members.update(self.replica.endpoints)
        return Addresses(members=members, standbys=self.standbys)

    def handle(self, event):
        before = self.replica
        random = self.world.random.random
        computed = step(before, event, self.world.now, random)
        messages = computed.messages
        if computed.write is not None:
            log = computed.replica.log
            if self.files.save(computed.write, log).is_err():
                messages = report_unwritable(before, event)
                computed = step(before, Resign(), self.world.now, random)
                if before.role is not Role.LEADER:
                    computed = None
        if computed is not None:
            self.replica = computed.replica
        for name, endpoint in self.replica.endpoints.items():
            if before.endpoints.get(name) != endpoint:
                self.standbys.pop(name, None)
        for message in messages:
            self.world.send(self, message)
        self.world.check(self)

    def tick(self):
        now = self.world.now
        if self.replica is None:
            self.begin()
        if self.replica is not None:
            self.handle(Tick())
            is_led = self.replica.role is Role.LEADER
            silent_s = 0 if is_led else now - self.replica.heard_at
            if silent_s >= LEADER_TIMEOUT_SECONDS and now >= self.asks_at:
                self.asks_at = now + 1
                self.ask(
                    MembershipRequest(
                        endpoint=self.endpoint,
                        name=self.replica.name,
                        incarnation=self.replica.incarnation,
                        is_writable=not self.is_full,
                    )
                )
        elif now >= self.asks_at and not self.is_full:
            self.asks_at = now + 0.3
            self.ask(MembershipRequest(endpoint=self.endpoint))

    def ask(self, request):
        self.known |= self.list_endpoints()
        for endpoint in sorted(self.known - {self.endpoint}):
            other = self.world.machines[endpoint]
            if self.world.is_connected(self, other):
                self.known |= other.list_endpoints()
                decision = other.decide(request)
                if decision is not None:
                    self.obey(decision, request, other)
                    return

    def obey(self, decision, request, leader):
        if decision.is_retired:
            self.retire()
        elif decision.name and not request.name:
            self.take(decision.name, leader)

    def decide(self, request):
        if self.replica is None or not has_lease(self.replica, self.world.now):
            return None
        decision = decide_membership(
            self.replica, request, self.addresses(), self.world.now
        )
        self.standbys = dict(decision.standbys)
        return decision

    def list_endpoints(self):
        if self.replica is None:
            return set()
        return set(self.addresses().members.values())

    def retire(self):
        self.retirements += 1
        self.files.close()
        known = self.known
        self.forget()
        self.known = known
        retire_folder(str(self.folder))

    def take(self, name, leader):
        members = {**leader.addresses().members, name: self.endpoint}
        peers = (
            replace(_peer(int(endpoint[1:])), name=slot)
            for slot, endpoint in members.items()
        )
        identity = Identity(name=name, sources=tuple(peers))
        write_identity(str(self.folder), identity)


class World:
    """The machines, their network and the time."""

    def __init__(self, folder, seed, machines, *, keeps_settings=False):
        self.folder = folder
        self.now = 1.0
        self.random = Random(seed)
        self.messages = []
        self.committed = {}
        self.leaders = {}
        self.proposals = 0
        self.machines = {
            f'm{number}': Machine(self, number, keeps_settings=keeps_settings)
            for number in range(1, machines + 1)
        }

    def is_connected(self, left, right):
        machines = (left, right)
        return all(one.is_up and not one.is_cut for one in machines)

    def send(self, machine, message):
        addresses = machine.addresses()
        endpoint = addresses.members[message.receiver]
        if message.receiver in addresses.standbys:
            endpoint = addresses.standbys[message.receiver].endpoint
        if self.random.randrange(100):
            self.messages.append((machine, endpoint, message))

    def deliver(self):
        messages = self.messages
        self.messages = []
        self.random.shuffle(messages)
        for sender, endpoint, message in messages:
            receiver = self.machines[endpoint]
            replica = receiver.replica
            if not self.is_connected(sender, receiver) or replica is None:
                continue
            known = message.sender in replica.peers
            if known and message.receiver == replica.name:
                receiver.handle(message)

    def pass_time(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.deliver()
            for machine in self.machines.values():
                if machine.is_up:
                    machine.tick()
            if not self.random.randrange(10):
                self.propose()

    def leader(self):
        for machine in self.machines.values():
            if machine.replica and has_lease(machine.replica, self.now):
                return machine
        return None

    def propose(self):
        leader = self.leader()
        if leader is not None:
            self.proposals += 1
            leader.handle(Propose(bodies=(b'%d' % self.proposals,)))

    def check(self, machine):
        """Check that there is one log, and one leader in a term."""
        replica = machine.replica
        if replica.role is Role.LEADER:
            holder = self.leaders.setdefault(replica.term, machine.name)
            assert holder == machine.name, 'two leaders in one term'
        base = replica.log.base_index
        for entry in entries_between(replica.log, base, replica.commit):
            first = self.committed.setdefault(entry.index, entry)
            assert first == entry, 'two entries committed at one index'

    def check_end(self):
        """Check that the group goes on, once nothing is disturbed."""
        for disturbed in self.machines.values():
            disturbed.heal()
        self.pass_time(3 * REPLACEMENT_S)
        leader = self.leader()
        assert leader is not None
        before = leader.replica.commit
        assert before >= max(self.committed), 'the group lost its log'
        self.propose()
        self.pass_time(2)
        replicas = [
            machine.replica
            for machine in self.machines.values()
            if machine.replica is not None
        ]
        members = [one.name for one in replicas if one.commit > before]
        assert sorted(members) == ['m1', 'm2', 'm3']


@pytest.fixture
def founder(tmp_path):
    """Return the settings of a source that founds a group by itself."""
    address = '127.0.0.1:1'
    endpoint = Peer(name='s1', control=address, api=address)
    return SourceSettings(
        name='s1',
        domain='a',
        admin='127.0.0.1:0',
        shared_key='a shared key for tests',
        sources=(endpoint,),
        data_folder=str(tmp_path / 'data'),
        operators=(),
    )


@pytest.fixture(name='create_world')
def _create_world(tmp_path, monkeypatch):
    """Return a function that creates a world whose group is founded."""
    monkeypatch.setattr('os.fsync', lambda descriptor: None)

    def create(seed, machines, **options):
        folder = tmp_path / str(seed)
        folder.mkdir()
        world = World(folder, seed, machines, **options)
        world.pass_time(4)
        assert world.leader() is not None
        return world

    yield create
    shutil.rmtree(tmp_path)
