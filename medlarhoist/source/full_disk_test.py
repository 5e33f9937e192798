"""Tests of sources whose disks are full for a while, over loopback."""

import asyncio
import errno
import os
import time
from contextlib import suppress
from functools import partial

import pytest

from medlarhoist.consensus.log_file import Disk
from medlarhoist.consensus.replacement import (
    UNAVAILABLE_SECONDS,
    MembershipRequest,
)
from medlarhoist.core.interfaces import OutcomeUnknown, StorageFailed
from medlarhoist.source.ledger_test import Group, _with_group, add, until

NAMES = ('s1', 's2', 's3')
FULL_S = 1.5
# The time in which operators expect an acknowledgement.
ACK_S = 4
CHANGES = 20


class FullDiskGroup(Group):
    """Sources whose disks can be full.

    `full` holds the names of those that are.
    """

    full = frozenset()

    async def start(self, name):
        self.disks[name] = Disk(write=partial(self.write, name))
        await Group.start(self, name)

    def write(self, name, descriptor, content):
        if name in self.full:
            raise OSError(errno.ENOSPC, 'no space left')
        return os.write(descriptor, content)

    def fault(self, name):
        return self.ledgers[name].peer_service.storage_fault

    async def replicate(self):
        """Wait until all sources hold all changes."""
        version = (await self.propose(add(1))).version
        await until(
            lambda: all(
                ledger.state.last_version >= version
                for ledger in self.ledgers.values()
            )
        )


@pytest.fixture(name='run_group')
def _run_group(tmp_path, monkeypatch):
    """Return a function that runs a scenario with a group that is formed."""
    monkeypatch.setattr('medlarhoist.source.ledger_test.Group', FullDiskGroup)

    def run(scenario):
        async def main(group):
            await group.replicate()
            await scenario(group)

        asyncio.run(_with_group(tmp_path, NAMES, main))

    return run


async def _change(group):
    while True:
        with suppress(StorageFailed, OutcomeUnknown):
            await group.propose(add(1))
        await asyncio.sleep(0.05)


def test_changes_go_on_after_each_disk_was_full(run_group):
    """They were refused, or stayed unanswered, long after there was room."""

    async def scenario(group):
        changes = asyncio.create_task(_change(group))
        for name in (*NAMES, *NAMES):
            group.full = frozenset((name,))
            await asyncio.sleep(FULL_S)
            group.full = frozenset()
            await until(lambda: not any(map(group.fault, NAMES)))
        changes.cancel()
        for _ in range(CHANGES):
            async with asyncio.timeout(ACK_S):
                await group.propose(add(1))
        await group.replicate()

    run_group(scenario)


def test_a_full_disk_is_noticed_to_have_room_without_a_write(run_group):
    """Its fault stayed in dumps and metrics until the next change."""

    async def scenario(group):
        leader = (await group.leader()).leader
        group.full = frozenset((leader,))
        with pytest.raises(StorageFailed):
            await group.ledgers[leader].propose(add(1))
        await group.stop(next(name for name in NAMES if name != leader))
        assert group.fault(leader)
        group.full = frozenset()
        await until(lambda: not group.fault(leader))

    run_group(scenario)


def test_a_follower_with_a_full_disk_is_awaited(run_group):
    """A standby got its slot 2.5 s later, and its folder was wiped."""

    async def scenario(group):
        leader = await group.leader()
        follower = next(name for name in NAMES if name != leader.leader)
        group.full = frozenset((follower,))
        request = MembershipRequest(endpoint='127.0.0.1:1 127.0.0.1:1')
        end = time.monotonic() + UNAVAILABLE_SECONDS + 1.5
        while time.monotonic() < end:
            await group.propose(add(1))
            leader = await group.leader()
            reply = await leader.peer_service.assign_member_slot(request)
            assert not reply.name
        assert group.fault(follower)
        group.full = frozenset()
        await group.replicate()
        assert not group.fault(follower)

    run_group(scenario)
