"""Tests of the replicated log, with several sources over loopback."""

import asyncio
import errno
import os
from functools import partial

import pytest

from medlarhoist.consensus.log_file import Disk
from medlarhoist.core.command import Abandon, Outcome, Status
from medlarhoist.core.interfaces import NotLeader, OutcomeUnknown, StorageFailed
from medlarhoist.core.settings import Operator, Peer, SourceSettings
from medlarhoist.core.state import State
from medlarhoist.source.ledger import create_ledger
from medlarhoist.source.ledger_driver import StorageDamaged
from medlarhoist.utils.clock import boot_seconds
from medlarhoist.wire.rpc import create_server, create_service

KEY = 'a shared key for tests'
WAIT_SECONDS = 30
# Version of a command that cannot be applied.
BROKEN = 13


def count(state, command):
    """Apply a command: add its version to the last version."""
    if command.version == BROKEN:
        raise ValueError('cannot be counted')
    version = state.last_version + command.version
    outcome = Outcome(status=Status.ACCEPTED, version=version)
    return State(last_version=version), outcome


def add(number):
    return Abandon(version=number, at_ms=0, faults=())


async def until(condition):
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


class Group:
    """Sources of one test, by name; each has a data folder and a port."""

    def __init__(self, folder, names):
        self.folder = folder
        self.names = names
        self.ports = {}
        self.ledgers = {}
        self.servers = {}
        self.disks = {}

    def settings(self, name):
        peers = tuple(
            Peer(
                name=other,
                control=f'127.0.0.1:{self.ports[other]}',
                api='127.0.0.1:1',
            )
            for other in self.names
        )
        return SourceSettings(
            name=name,
            domain='a',
            admin='127.0.0.1:1',
            shared_key=KEY,
            sources=peers,
            data_folder=str(self.folder / name),
            operators=(Operator(name='o', token_sha256='0' * 64),),
        )

    async def start(self, name):
        """Start a source, with its data folder of an earlier start."""
        ledger = create_ledger(
            self.settings(name), count, self.disks.get(name, Disk())
        )
        await ledger.start()
        server = create_server(
            create_service(ledger.procedures()),
            KEY.encode(),
        )
        await server.start('127.0.0.1', self.ports[name])
        self.ledgers[name] = ledger
        self.servers[name] = server

    async def stop(self, name):
        await self.ledgers.pop(name).stop()
        server = self.servers.pop(name)
        server.close()
        await server.wait_closed()

    def find_leader(self):
        """Return the ledger of the source that leads, None for none."""
        for ledger in self.ledgers.values():
            if ledger.is_leader:
                return ledger
        return None

    async def leader(self):
        """Wait until a source leads and return its ledger."""
        await until(self.find_leader)
        return self.find_leader()

    async def propose(self, command):
        """Propose a command to the leader, again while there is none."""
        while True:
            leader = await self.leader()
            try:
                return await leader.propose(command)
            except NotLeader:
                await asyncio.sleep(0.05)


async def _free_ports(names):
    """Return a free port for each name."""
    servers = [
        await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        for _ in names
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    for server in servers:
        server.close()
    return dict(zip(names, ports, strict=True))


async def _with_group(folder, names, scenario):
    group = Group(folder, names)
    group.ports = await _free_ports(names)
    for name in names:
        await group.start(name)
    try:
        await scenario(group)
    finally:
        for name in list(group.ledgers):
            await group.stop(name)


@pytest.fixture
def run_group(tmp_path):
    """Run a scenario over a group of sources with the given names."""

    def run(scenario, names=('s1', 's2', 's3')):
        asyncio.run(_with_group(tmp_path, names, scenario))

    return run


def test_a_single_source_commits(run_group):
    async def scenario(group):
        assert (await group.propose(add(2))).version == 2
        await (await group.leader()).read_barrier()

    run_group(scenario, names=('s1',))


def test_a_command_is_applied_on_all_sources(run_group):
    async def scenario(group):
        assert (await group.propose(add(5))).version == 5
        await until(
            lambda: all(
                ledger.state.last_version == 5
                for ledger in group.ledgers.values()
            ),
        )

    run_group(scenario)


def test_followers_refuse_proposals_and_read_barriers(run_group):
    async def scenario(group):
        leader = await group.leader()
        for ledger in group.ledgers.values():
            if ledger is leader:
                continue
            with pytest.raises(NotLeader):
                await ledger.propose(add(1))
            with pytest.raises(NotLeader):
                await ledger.read_barrier()

    run_group(scenario)


def test_the_other_sources_commit_after_the_leader_stops(run_group):
    async def scenario(group):
        await group.propose(add(1))
        first = (await group.leader()).leader
        await group.stop(first)
        assert (await group.propose(add(2))).version == 3
        await group.start(first)
        await until(lambda: group.ledgers[first].state.last_version == 3)

    run_group(scenario)


def test_a_leader_without_a_majority_refuses_writes_and_reads(run_group):
    async def scenario(group):
        leader = await group.leader()
        for name in set(group.names) - {leader.leader}:
            await group.stop(name)
        with pytest.raises((NotLeader, OutcomeUnknown)):
            await leader.propose(add(1))
        await until(lambda: not leader.is_leader)
        with pytest.raises(NotLeader):
            await leader.read_barrier()

    run_group(scenario)


def test_a_leader_knows_when_a_majority_last_followed_it(run_group):
    """Nodes serve keys by that moment, so it must never be too late."""

    async def scenario(group):
        leader = await group.leader()
        others = set(group.names) - {leader.leader}
        assert all(group.ledgers[name].led_at is None for name in others)
        began = boot_seconds()
        await until(lambda: (leader.led_at or 0) > began)
        assert leader.led_at <= boot_seconds()
        for name in others:
            await group.stop(name)
        stopped_at = boot_seconds()
        while leader.is_leader:
            assert (leader.led_at or 0) <= stopped_at
            await asyncio.sleep(0.02)
        assert leader.led_at is None

    run_group(scenario)


def test_a_source_with_a_full_disk_refuses_writes_and_serves_reads(run_group):
    refusing = []

    def write(descriptor, content):
        if refusing:
            raise OSError(errno.ENOSPC, 'no space left')
        return os.write(descriptor, content)

    async def scenario(group):
        group.disks['s1'] = Disk(write=write)
        await group.stop('s1')
        await group.start('s1')
        await group.propose(add(1))
        refusing.append(True)
        leader = await group.leader()
        with pytest.raises(StorageFailed, match='no space left'):
            await leader.propose(add(2))
        await leader.read_barrier()
        assert leader.state.last_version == 1
        refusing.clear()
        assert (await group.propose(add(4))).version == 5

    run_group(scenario, names=('s1',))


def test_a_leader_with_a_full_disk_gives_up_the_lead(run_group):
    refusing = []

    def write_of(name, descriptor, content):
        if name in refusing:
            raise OSError(errno.ENOSPC, 'no space left')
        return os.write(descriptor, content)

    async def scenario(group):
        for name in group.names:
            await group.stop(name)
            group.disks[name] = Disk(write=partial(write_of, name))
            await group.start(name)
        await group.propose(add(1))
        first = (await group.leader()).leader
        refusing.append(first)
        with pytest.raises(StorageFailed, match='no space left'):
            await group.ledgers[first].propose(add(2))
        assert (await group.propose(add(4))).version == 5
        assert group.find_leader().leader != first
        refusing.clear()
        await until(lambda: group.ledgers[first].state.last_version == 5)

    run_group(scenario)


def test_a_command_that_cannot_be_applied_halts_the_replica(run_group):
    async def scenario(group):
        await group.propose(add(1))
        leader = await group.leader()
        with pytest.raises((NotLeader, OutcomeUnknown)):
            await leader.propose(add(BROKEN))
        await until(lambda: leader.dump()['role'] == 'stopped')
        assert 'cannot be counted' in leader.dump()['fault']
        assert leader.state.last_version == 1

    run_group(scenario, names=('s1',))


def test_a_restart_recovers_from_a_compacted_log(run_group):
    async def scenario(group):
        for _ in range(4):
            leader = await group.leader()
            commands = [leader.propose(add(1)) for _ in range(200)]
            await asyncio.gather(*commands)
        assert leader.dump()['snapshot_index'] > 0
        await group.stop('s1')
        await group.start('s1')
        await group.propose(add(1))
        assert group.ledgers['s1'].state.last_version == 801

    run_group(scenario, names=('s1',))


def test_a_source_with_a_damaged_folder_refuses_to_start(run_group, tmp_path):
    async def scenario(group):
        await group.propose(add(1))
        await group.stop('s1')
        path = tmp_path / 's1' / 'log'
        path.write_bytes(path.read_bytes().replace(b'abandon', b'abandom'))
        with pytest.raises(StorageDamaged, match='start it with an empty'):
            await group.start('s1')

    run_group(scenario, names=('s1',))


def test_a_source_with_an_empty_folder_recovers_and_votes_again(
    run_group, tmp_path
):
    async def scenario(group):
        await group.propose(add(1))
        await until(
            lambda: all(
                ledger.state.last_version == 1
                for ledger in group.ledgers.values()
            ),
        )
        leader = await group.leader()
        emptied, other = sorted(set(group.names) - {leader.leader})
        await group.stop(emptied)
        for path in (tmp_path / emptied).iterdir():
            path.unlink()
        await group.start(emptied)
        emptied_ledger = group.ledgers[emptied]
        await until(partial(_is_admitted, emptied_ledger))
        await group.stop(leader.leader)
        assert (await group.propose(add(2))).version == 3

    run_group(scenario)


def _is_admitted(ledger):
    """Return whether the source's new data folder is that of a voter."""
    dump = ledger.dump()
    if not dump['incarnation']:
        return False
    return dump['incarnation'] in dump['voters'].values()
