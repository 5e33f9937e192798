"""Tests of the clamp of a node."""

import asyncio
from random import Random

import pytest
from msgspec.structs import replace

from medlarhoist.core.snapshot import Share
from medlarhoist.node.clamp import create_clamp
from medlarhoist.node.recorder import create_recorder

SHARE = Share(
    service='bookings', move='m', old='v1', new='v2', basis_points=500
)
TICK_MS = 100


class Node:
    """A recorder and a clamp that share a clock and the shares in force."""

    def __init__(self):
        self.now_ms = 0
        self.shares = {'bookings': SHARE}
        self.random = Random(7)
        self.recorder = create_recorder('a', self.clock)
        self.clamp = create_clamp(
            self.recorder, self.clock, lambda: self.shares
        )

    def clock(self):
        return self.now_ms

    def run(self, seconds, failure_rate=0.0, latency_us=8000):
        """Send 140 calls a second until the share is zero.

        Returns the milliseconds until then, None if it never was zero.
        """
        start_ms = self.now_ms
        while self.now_ms < start_ms + seconds * 1000:
            self.now_ms += TICK_MS
            for _ in range(14):
                self.call(failure_rate, latency_us)
            self.clamp.tick()
            if not self.limit():
                return self.now_ms - start_ms
        return None

    def call(self, failure_rate, latency_us):
        is_new = self.random.random() < self.limit() / 10_000
        failed = is_new and self.random.random() < failure_rate
        self.recorder.record(
            ('bookings', 'book'),
            'v2' if is_new else 'v1',
            succeeded=not failed,
            refused=False,
            latency_us=latency_us if is_new else 8000,
        )

    def limit(self):
        share = self.shares['bookings']
        return self.clamp.limit('bookings', 'v2', share.basis_points)


@pytest.fixture
def node():
    return Node()


def test_healthy_version_keeps_its_share(node):
    assert node.run(30) is None
    assert node.limit() == 500


def test_faulty_version_gets_no_calls_after_two_seconds(node):
    node.run(10)
    assert node.run(5, failure_rate=1) <= 2000
    assert node.clamp.limit('bookings', 'v1', 9500) == 9500
    assert node.clamp.dump()['bookings']['clamped']
    clamp_rows = [row for row in node.recorder.drain() if row.clamped]
    assert [row.clamped for row in clamp_rows] == [1]


def test_clamp_stays_at_the_next_step_of_its_move(node):
    assert node.run(5, failure_rate=1)
    node.shares = {'bookings': replace(SHARE, basis_points=2500)}
    node.clamp.tick()
    assert node.limit() == 0


@pytest.mark.parametrize('change', [{'move': 'n'}, {'new': 'v3'}])
def test_clamp_ends_with_its_move_or_version(node, change):
    assert node.run(5, failure_rate=1)
    node.shares = {'bookings': replace(SHARE, **change)}
    node.clamp.tick()
    assert node.limit() == 500


def test_failed_evaluation_does_not_stop_the_clamp(node):
    def fail():
        raise RuntimeError('no shares')

    async def run_clamp():
        clamp = create_clamp(node.recorder, node.clock, fail)
        await clamp.start()
        await asyncio.sleep(0)
        assert not clamp._tasks[0].done()
        await clamp.stop()

    asyncio.run(run_clamp())


def test_clamp_ends_when_the_share_is_removed(node):
    assert node.run(5, failure_rate=1)
    shares = node.shares
    node.shares = {}
    node.clamp.tick()
    node.shares = shares
    node.clamp.tick()
    assert node.limit() == 500
