"""Tests of parents in the tree that fall silent without closing connections.

A VM that freezes, loses power or is cut off does that. Its children are still
in touch with everybody else, so a version has to reach them in time.
"""

import asyncio
import time

import pytest

from bench.distribution_fleet import Fleet, run_fleet, wait_until
from bench.domain_fleet import converge
from medlarhoist.wire.message import Established
from medlarhoist.wire.session import Session

# Time in which a version that is accepted must be in force.
APPLY_SECONDS = 2.0


class Silence:
    """Sessions of parents that send nothing any more.

    Args:
        armed: names of children whose parents fall silent after their next
            heartbeat, so that their silence is noticed as late as possible.
    """

    def __init__(self):
        self.armed = set()
        self._sessions = []
        self._send = Session.send

    def send(self, session, message):
        if session in self._sessions:
            return
        self._send(session, message)
        if session.name in self.armed and isinstance(message, Established):
            self.armed.discard(session.name)
            self._sessions.append(session)


@pytest.fixture(name='silence')
def _silence(monkeypatch):
    silence = Silence()
    monkeypatch.setattr(
        Session,
        'send',
        lambda session, message: silence.send(session, message),
    )
    return silence


def _create_fleet():
    fleet = Fleet(sources=1, keepers=3)
    for number in range(6):
        fleet.add_node('a', number)
    return fleet


def _child(fleet):
    """Return a node whose parent is another node."""
    keepers = fleet.log.state.keepers['a'].members
    return next(
        node for name, node in fleet.nodes.items() if name not in keepers
    )


def test_a_version_reaches_the_children_of_a_silent_parent(silence):
    async def scenario(fleet):
        await converge(fleet)
        child = _child(fleet)
        silence.armed.add(child.cfg.name)
        await wait_until(lambda: not silence.armed)
        began = time.monotonic()
        await fleet.activate(2)
        await wait_until(lambda: child.version == 2)
        assert time.monotonic() - began < APPLY_SECONDS

    asyncio.run(run_fleet(_create_fleet(), scenario))


def test_a_parent_that_does_not_answer_is_left_at_once():
    """It accepts the connection, as the kernel of a frozen process does."""

    async def scenario(fleet):
        await converge(fleet)
        server = await asyncio.start_server(_ignore, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        child = _child(fleet)
        await child.stop()
        node = fleet.replace_node(child.cfg.name)
        node.distribution._uplink._hint = f'127.0.0.1:{port}'
        began = time.monotonic()
        await node.start()
        await wait_until(lambda: node.distribution.dump().uplink.parent)
        assert time.monotonic() - began < APPLY_SECONDS
        server.close()

    async def _ignore(reader, writer):
        await reader.read()

    asyncio.run(run_fleet(_create_fleet(), scenario))
