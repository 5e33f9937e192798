"""Tests of standby sources: one gets the member slot of a failed source."""

import asyncio
import errno
import os
from pathlib import Path

import pytest

from medlarhoist.core.settings import Peer
from medlarhoist.source.identity import (
    RETIRED_NAME,
    Identity,
    find_identity,
    read_identity,
    retire_folder,
    write_identity,
)
from medlarhoist.source.ledger_test import Group, _free_ports, add, until
from medlarhoist.source.standby import create_standby, wait_for_retirement

NAMES = ('s1', 's2', 's3')
WAIT_SECONDS = 60


class StandbyGroup(Group):
    """A group in which a standby may get the member slot s3."""

    def standby_settings(self, identity, port):
        """Return the settings of the standby under an identity."""
        initial_member = Group.settings(self, 's3')
        endpoint = Peer(
            name=identity.name,
            control=f'127.0.0.1:{port}',
            api='127.0.0.1:1',
        )
        return type(initial_member)(
            name=identity.name,
            domain='a',
            admin='127.0.0.1:1',
            shared_key=initial_member.shared_key,
            sources=identity.sources,
            spare=endpoint,
            data_folder=str(self.folder / 'standby'),
            operators=(),
        )

    def settings(self, name):
        """Return the settings of the source that has a member slot now."""
        return self.replaced.get(name) or Group.settings(self, name)


async def _start_group(folder):
    """Start three sources; there is a port for a standby, too."""
    group = StandbyGroup(folder, NAMES)
    group.replaced = {}
    group.ports = await _free_ports((*NAMES, 'standby'))
    for name in NAMES:
        await group.start(name)
    return group


async def _elect(group, name):
    """Restart the other sources until the source of that name leads."""
    while (await group.leader()) is not group.ledgers[name]:
        for other in tuple(group.ledgers):
            if other != name:
                await group.stop(other)
                await group.start(other)


@pytest.mark.parametrize('leader', ['s2', 's3'])
def test_a_standby_gets_the_member_slot_of_a_failed_source(tmp_path, leader):
    async def scenario():
        group = await _start_group(tmp_path)
        ports = group.ports
        assert (await group.propose(add(1))).version == 1
        initial_member = group.settings('s3')
        await group.stop('s3')

        unassigned = Identity(name='s4', sources=initial_member.sources)
        cfg = group.standby_settings(unassigned, ports['standby'])
        standby = create_standby(cfg)
        async with asyncio.timeout(WAIT_SECONDS):
            identity = await standby.wait_for_member_slot()
        assert identity.name == 's3'

        group.replaced = {
            's3': group.standby_settings(identity, ports['standby'])
        }
        group.ports = {**ports, 's3': ports['standby']}
        await group.start('s3')
        control = f'127.0.0.1:{ports["standby"]}'
        # s3 itself lists its new endpoint even before it is admitted.
        await until(
            lambda: all(
                control in {peer.control for peer in group.ledgers[name].peers}
                for name in ('s1', 's2')
            ),
        )
        assert (await group.propose(add(1))).version == 2
        await until(lambda: group.ledgers['s3'].state.last_version == 2)

        await group.stop('s1')
        await _elect(group, leader)
        assert (await group.propose(add(1))).version == 3

        failed = Group(tmp_path, NAMES)
        failed.ports = ports
        await failed.start('s3')
        async with asyncio.timeout(WAIT_SECONDS):
            await wait_for_retirement(initial_member, failed.ledgers['s3'])
        assert (await group.leader()) is group.ledgers[leader]
        await failed.stop('s3')
        for name in list(group.ledgers):
            await group.stop(name)

    asyncio.run(scenario())


def test_a_standby_gets_no_slot_while_all_members_reply(tmp_path):
    async def scenario():
        group = await _start_group(tmp_path)
        ports = group.ports
        await group.leader()
        unassigned = Identity(name='s4', sources=group.settings('s1').sources)
        standby = create_standby(
            group.standby_settings(unassigned, ports['standby'])
        )
        waiting = asyncio.ensure_future(standby.wait_for_member_slot())
        await asyncio.sleep(4)
        assert not waiting.done()
        waiting.cancel()
        for name in list(group.ledgers):
            await group.stop(name)

    asyncio.run(scenario())


def test_an_identity_is_kept_until_the_folder_is_retired(founder):
    folder = Path(founder.data_folder)
    identity = find_identity(founder).ok_value
    assert identity == Identity(
        name='s1', sources=founder.sources, may_found=True
    )
    (folder / 'log').write_bytes(b'x')
    assert find_identity(founder).ok_value == identity
    retire_folder(founder.data_folder)
    assert [path.name for path in folder.iterdir()] == [RETIRED_NAME]


def test_a_retired_source_does_not_found_again(founder):
    """It took part under a name that belonged to another, with no log."""
    find_identity(founder)
    retire_folder(founder.data_folder)
    assert find_identity(founder).ok_value is None
    assigned = Identity(name='s2', sources=founder.sources)
    write_identity(founder.data_folder, assigned)
    assert find_identity(founder).ok_value == assigned
    retire_folder(founder.data_folder)
    assert find_identity(founder).ok_value is None


def test_an_interrupted_wipe_is_completed(founder, monkeypatch):
    folder = Path(founder.data_folder)
    find_identity(founder)
    for name in ('hard', 'log', 'snapshot'):
        (folder / name).write_bytes(b'x')
    removed = []

    def remove(path):
        if removed:
            raise OSError(errno.EIO, 'the disk fails')
        removed.append(path)
        os.unlink(path)

    with monkeypatch.context() as patch:
        patch.setattr('os.remove', remove)
        with pytest.raises(OSError, match='the disk fails'):
            retire_folder(founder.data_folder)
    assert find_identity(founder).ok_value is None
    assert [path.name for path in folder.iterdir()] == [RETIRED_NAME]


def test_a_damaged_identity_is_a_fault(tmp_path):
    (tmp_path / 'identity').write_bytes(b'{"name":')
    assert read_identity(str(tmp_path)).is_err()
