"""Odd heartbeats of another writer, sent to a process between sound ones."""

import time

import pytest

from bench.platform_fleet import BORN_MS, PlatformFleet

NODES = ('n1', 'n2')
CALLS = 40
HUGE = 10**30
ODD = (
    {'id': 'odd', 'born': HUGE},
    {'id': 'odd', 'born': BORN_MS * 2},
    {'sequence': HUGE},
    {'sequence': 2**53},
    {'id': 'odd', 'address': '..:1'},
    {'id': 'odd', 'address': f'{"a" * 80}:1'},
    {'id': 'odd', 'address': '127.0.0.1\n:1'},
    {'id': 'odd', 'address': f'127.0.0.1:{"1" * 5000}'},
    {'id': 'odd', 'address': '127.0.0.1:\u00b2'},
    {'id': 'odd', 'service': 'footage', 'born': BORN_MS + 1},
    {'id': 'odd', 'slots': HUGE},
    {'id': 'odd', 'new': [[[[]]]], 'state': 'asleep'},
)
BODIES = (b'\xff', b'{"new":%b' % (b'[' * 100_000), b'[]', b'')
PATH = '/medlarhoist/instances/{}/{}'


@pytest.fixture(name='platform')
def _platform(fleet):
    """Provide a source and two nodes, with a sound instance beside one."""
    created = PlatformFleet(fleet)
    created.add('core', 'a', is_core=True)
    for name in NODES:
        created.add(name, 'a')
    created.start()
    created.configure()
    yield created
    created.close()


def _send_odd(platform):
    """Send all that is odd, sound heartbeats between; return what passed."""
    passed = []
    for sequence, odd in enumerate(ODD, start=2):
        fields = {'sequence': sequence, **odd}
        if platform.beat('n1', **fields) != 400:
            passed.append(odd)
        assert platform.beat('n1', sequence) == 200
    heartbeat = PATH.format('odd', 'heartbeat')
    leave = PATH.format('i-n1', 'deregister')
    # A leave without a body is one.
    requests = [(heartbeat, body) for body in BODIES]
    requests += [(leave, body) for body in BODIES if body]
    passed.extend(
        path
        for path, body in requests
        if platform.post('n1', path, body) != 400
    )
    return passed


def test_the_sound_instance_is_used_after_odd_heartbeats(platform):
    """It got no request any more: an odd run had taken its place for good."""
    assert platform.beat('n1', 1) == 200
    passed = _send_odd(platform)
    time.sleep(1)
    assert platform.beat('n1', len(ODD) + 2) == 200
    statuses = platform.call(NODES, CALLS)
    assert all(platform.is_running(name) for name in platform.machines)
    assert statuses == {200: CALLS}
    assert platform.instances['n1'].runs == CALLS
    assert not passed
