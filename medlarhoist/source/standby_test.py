"""Tests of spare sources: one takes the place of a source that is lost."""

import asyncio

from medlarhoist.core.settings import Peer
from medlarhoist.source.identity import (
    Identity,
    read_identity,
    wipe_folder,
    write_identity,
)
from medlarhoist.source.ledger_test import Group, _free_ports, add, until
from medlarhoist.source.standby import create_spare, wait_for_retirement

NAMES = ('s1', 's2', 's3')
WAIT_SECONDS = 60


class SpareGroup(Group):
    """A group whose source s3 may be at another address."""

    def place(self, identity, port):
        """Return the settings of a source that took a place over."""
        founder = Group.settings(self, 's3')
        own = Peer(
            name=identity.name,
            control=f'127.0.0.1:{port}',
            api='127.0.0.1:1',
        )
        return type(founder)(
            name=identity.name,
            domain='a',
            admin='127.0.0.1:1',
            shared_key=founder.shared_key,
            sources=identity.sources,
            spare=own,
            data_folder=str(self.folder / 'spare'),
            operators=(),
        )

    def settings(self, name):
        """Return the settings of a source, by its present place."""
        return self.placed.get(name) or Group.settings(self, name)


async def _start_group(folder):
    """Start three sources; there is a port for a spare one."""
    group = SpareGroup(folder, NAMES)
    group.placed = {}
    group.ports = await _free_ports((*NAMES, 'spare'))
    for name in NAMES:
        await group.start(name)
    return group


def test_a_spare_source_takes_the_place_of_a_lost_one(tmp_path):
    async def scenario():
        group = await _start_group(tmp_path)
        ports = group.ports
        assert (await group.propose(add(1))).version == 1
        founder = group.settings('s3')
        await group.stop('s3')

        seeds = Identity(name='s4', sources=founder.sources)
        cfg = group.place(seeds, ports['spare'])
        spare = create_spare(cfg)
        async with asyncio.timeout(WAIT_SECONDS):
            identity = await spare.wait_for_place()
        assert identity.name == 's3'

        group.placed = {'s3': group.place(identity, ports['spare'])}
        group.ports = {**ports, 's3': ports['spare']}
        await group.start('s3')
        placed = f'127.0.0.1:{ports["spare"]}'
        # The new one knows its own place before it is admitted.
        await until(
            lambda: all(
                placed in {peer.control for peer in group.ledgers[name].peers}
                for name in ('s1', 's2')
            ),
        )
        assert (await group.propose(add(1))).version == 2
        await until(lambda: group.ledgers['s3'].state.last_version == 2)

        await group.stop('s1')
        assert (await group.propose(add(1))).version == 3

        old = Group(tmp_path, NAMES)
        old.ports = ports
        await old.start('s3')
        async with asyncio.timeout(WAIT_SECONDS):
            await wait_for_retirement(founder, old.ledgers['s3'])
        await old.stop('s3')
        for name in list(group.ledgers):
            await group.stop(name)

    asyncio.run(scenario())


def test_nobody_gets_the_place_of_a_source_that_answers(tmp_path):
    async def scenario():
        group = await _start_group(tmp_path)
        ports = group.ports
        await group.leader()
        seeds = Identity(name='s4', sources=group.settings('s1').sources)
        spare = create_spare(group.place(seeds, ports['spare']))
        waiting = asyncio.ensure_future(spare.wait_for_place())
        await asyncio.sleep(4)
        assert not waiting.done()
        waiting.cancel()
        for name in list(group.ledgers):
            await group.stop(name)

    asyncio.run(scenario())


def test_an_identity_is_kept_until_the_folder_is_wiped(tmp_path):
    folder = str(tmp_path / 'data')
    known = Identity(
        name='s1',
        sources=(Peer(name='s1', control='127.0.0.1:1', api='127.0.0.1:2'),),
    )
    assert read_identity(folder).ok_value is None
    write_identity(folder, known)
    (tmp_path / 'data' / 'log').write_bytes(b'x')
    assert read_identity(folder).ok_value == known
    wipe_folder(folder)
    assert read_identity(folder).ok_value is None
    assert not list((tmp_path / 'data').iterdir())


def test_a_damaged_identity_is_a_fault(tmp_path):
    (tmp_path / 'identity').write_bytes(b'{"name":')
    assert read_identity(str(tmp_path)).is_err()
