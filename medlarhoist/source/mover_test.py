"""Tests of the mover over a ledger in memory, with synthetic calls."""

import asyncio
from random import Random

import pytest
from msgspec.structs import replace

from bench.synthetic import (
    NEW,
    OLD,
    SERVICE,
    Health,
    SampleInterval,
    Traffic,
    sample_rows,
)
from medlarhoist.core.command import MovePhase, MoveState, Outcome, Status
from medlarhoist.core.evidence import NO_ROUTE, EvidenceKey, EvidenceRow
from medlarhoist.core.interfaces import NotLeader, OutcomeUnknown
from medlarhoist.core.snapshot import EMPTY_SNAPSHOT
from medlarhoist.core.state import Staged, State
from medlarhoist.source.mover import create_mover

START_MS = 1_000_000
RUNNING = MoveState(
    move='m',
    service=SERVICE,
    old=OLD,
    new=NEW,
    deadline_ms=START_MS + 20_000,
    bake_ms=2000,
    started_ms=START_MS,
)


class Ledger:
    """Applies steps at once; fails with `error` if a test sets it.

    NotLeader refuses a step; after any other error its outcome is unknown.
    """

    def __init__(self):
        self.state = State(moves={'m': RUNNING})
        self.is_leader = True
        self.leader = 'source-1'
        self.steps = []
        self.error = None

    async def propose(self, command):
        record = self.state.moves[command.move]
        if record.step != command.expected_step:
            return Outcome(status=Status.CONFLICT)
        if isinstance(self.error, NotLeader):
            raise self.error
        self.steps.append(command)
        stepped = replace(
            record,
            step=record.step + 1,
            basis_points=command.basis_points,
            phase=command.phase,
            reason=command.reason,
            stepped_ms=command.at_ms,
        )
        self.state = State(moves={'m': stepped})
        if self.error is not None:
            raise self.error
        return Outcome(status=Status.ACCEPTED)


class World:
    """A mover with its ledger, a simulated clock and synthetic calls.

    `health` of the new version is given to `run`; None is healthy.
    """

    def __init__(self):
        self.now_ms = START_MS
        self.ledger = Ledger()
        self.random = Random(3)
        self.mover = create_mover(self.ledger, lambda: self.now_ms)

    def run(self, seconds, health=None):
        asyncio.run(self._run(seconds, health))

    async def _run(self, seconds, health):
        for _ in range(seconds * 5):
            self.now_ms += 200
            self.report(health)
            await self.mover.tick()

    def report(self, health):
        sampled = sample_rows(
            self.random,
            Traffic(),
            lambda moment: (
                health if health and moment.label == NEW else Health()
            ),
            SampleInterval(at_s=0, length_s=0.2, window=self.now_ms // 1000),
            self.move.basis_points,
        )
        for domain in 'abc':
            rows = tuple(row for row in sampled if row.key.domain == domain)
            self.mover.on_report(domain, rows)

    @property
    def move(self):
        return self.ledger.state.moves['m']


@pytest.fixture
def world():
    return World()


def test_move_to_a_healthy_version_is_completed_once(world):
    world.run(25)
    assert world.move.phase is MovePhase.COMPLETED
    phases = [step.phase for step in world.ledger.steps]
    assert phases.count(MovePhase.COMPLETED) == 1
    assert world.ledger.steps[-1].evidence
    assert world.ledger.steps[-1].decided_by == 'source-1'


def test_move_to_a_faulty_version_is_rolled_back_once(world):
    world.run(25, Health(0.5))
    assert world.move.phase is MovePhase.ROLLED_BACK
    assert world.move.basis_points == 0
    assert world.move.step == len(world.ledger.steps)


def test_follower_proposes_nothing(world):
    world.ledger.is_leader = False
    world.run(25)
    assert not world.ledger.steps


def test_new_leader_continues_a_move_with_new_evidence(world):
    world.run(6)
    before = world.move
    assert before.basis_points == 500
    world.ledger.is_leader = False
    world.run(1)
    world.ledger.is_leader = True
    world.run(1)
    assert world.move == before
    world.run(12)
    assert world.move.phase is MovePhase.COMPLETED


def test_deadline_that_passed_without_a_leader_ends_the_move(world):
    world.ledger.is_leader = False
    world.run(30)
    world.ledger.is_leader = True
    world.run(1)
    assert world.move.phase is MovePhase.ROLLED_BACK
    assert 'deadline' in world.move.reason


def test_no_step_while_a_version_is_staged(world):
    staged = Staged(
        snapshot=EMPTY_SNAPSHOT,
        entries={},
        moves={},
        request_id='',
        at_ms=0,
    )
    world.ledger.state = replace(world.ledger.state, staged=staged)
    world.run(2)
    assert not world.ledger.steps


@pytest.mark.parametrize('error', [NotLeader('x'), OutcomeUnknown('x')])
def test_lost_reply_neither_stops_nor_repeats_a_step(world, error):
    world.ledger.error = error
    world.run(2)
    world.ledger.error = None
    world.run(23)
    assert world.move.phase is MovePhase.COMPLETED
    assert world.move.step == len(world.ledger.steps)


def test_clock_set_forward_and_back_ends_a_move_once(world):
    world.run(5)
    world.now_ms += 3_600_000
    world.run(1)
    assert world.move.phase is MovePhase.ROLLED_BACK
    steps = len(world.ledger.steps)
    world.now_ms -= 3_600_000
    world.run(5)
    assert len(world.ledger.steps) == steps


def test_windows_in_the_future_count_as_the_present(world):
    world.run(1)
    span = SampleInterval(at_s=0, length_s=1, window=world.now_ms)
    sampled = sample_rows(world.random, Traffic(), lambda _: Health(), span, 0)
    rows = tuple(row for row in sampled if row.key.domain == 'a')
    world.mover.on_report('a', rows)
    running_move = world.mover._running_moves['m']
    assert max(index[1] for index in running_move.rows) == world.now_ms // 1000


def test_clamped_domain_ends_the_move(world):
    world.run(6)
    key = EvidenceKey('b', SERVICE, NO_ROUTE, NEW)
    window = world.now_ms // 1000
    row = EvidenceRow(key=key, window=window, nodes=0, clamped=3)
    world.mover.on_report('b', (row,))
    asyncio.run(world.mover.tick())
    assert world.move.phase is MovePhase.ROLLED_BACK
    assert 'nodes of domain b' in world.move.reason


def test_rows_of_another_domain_are_dropped(world):
    world.run(1)
    sampled = sample_rows(
        world.random,
        Traffic(),
        lambda _: Health(),
        SampleInterval(at_s=0, length_s=1, window=1),
        0,
    )
    world.mover.on_report('z', tuple(sampled))
    assert world.mover.dropped_rows >= len(sampled)
