"""Tests of invariants of the replicated state over random commands."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from medlarhoist.core.command import (
    Abandon,
    Activate,
    Apply,
    MovePhase,
    Status,
    StepMove,
)
from medlarhoist.core.compile import compile_snapshot
from medlarhoist.core.resource import (
    Change,
    DomainDrain,
    Key,
    Move,
    Route,
    Service,
    TargetVersion,
    key_of,
)
from medlarhoist.core.state import State
from medlarhoist.source.transition import apply_command

SERVICES = st.sampled_from(['a', 'b'])
LABELS = st.sampled_from(['v1', 'v2', 'v3'])
VERSIONS = st.builds(
    lambda service, label: TargetVersion(
        name=f'{service}/{label}',
        service=service,
        label=label,
    ),
    SERVICES,
    LABELS,
)
RESOURCES = st.one_of(
    st.builds(Service, name=SERVICES, current=LABELS),
    VERSIONS,
    st.builds(
        Route,
        name=st.sampled_from(['r1', 'r2']),
        prefix=st.sampled_from(['/x', '/y']),
        service=SERVICES,
    ),
    st.builds(
        Move,
        name=st.sampled_from(['m1', 'm2', 'm3']),
        service=SERVICES,
        old=LABELS,
        new=LABELS,
        deadline_ms=st.just(10_000_000),
    ),
    st.builds(DomainDrain, name=st.sampled_from(['east', 'west'])),
)
KEYS = RESOURCES.map(key_of)
BASES = st.one_of(st.none(), st.integers(0, 6))
CHANGES = st.lists(
    st.one_of(
        st.builds(
            lambda resource, base: Change(
                key=key_of(resource),
                resource=resource,
                base=base,
            ),
            RESOURCES,
            BASES,
        ),
        st.builds(Change, key=KEYS, resource=st.none(), base=BASES),
    ),
    min_size=1,
    max_size=6,
).map(tuple)


class CommandHistory(RuleBasedStateMachine):
    """Commands of operators, the distributor and the mover in any order."""

    applied = Bundle('applied')

    def __init__(self):
        super().__init__()
        self.state = State()
        self.clock = 0
        self.first_outcomes = {}
        self.activated = [0]
        self.abandoned = set()

    def submit(self, command):
        """Apply a command twice, as two sources do, and compare the results.

        No version number or event sequence may decrease.
        """
        before = self.state
        state, outcome = apply_command(before, command)
        assert apply_command(before, command) == (state, outcome)
        assert state.last_version >= before.last_version
        assert state.events.last >= before.events.last
        if state.active != before.active:
            assert state.active.version > before.active.version
            self.activated.append(state.active.version)
        self.state = state
        return outcome

    @rule()
    def put_service_with_two_versions(self):
        """Put the resources that most moves and routes refer to."""
        resources = [
            Service(name='a', current='v1'),
            *(
                TargetVersion(name=f'a/{label}', service='a', label=label)
                for label in ('v1', 'v2')
            ),
        ]
        changes = tuple(
            Change(key=key_of(resource), resource=resource)
            for resource in resources
        )
        self.clock += 1
        self.submit(
            Apply(
                request_id=f'shop{self.clock}',
                operator='x',
                changes=changes,
                at_ms=self.clock,
            ),
        )

    @rule(target=applied, changes=CHANGES)
    def apply(self, changes):
        self.clock += 1
        command = Apply(
            request_id=f'request{self.clock}',
            operator='ranger',
            changes=changes,
            at_ms=self.clock,
        )
        outcome = self.submit(command)
        if outcome.status is Status.BUSY:
            assert command.request_id not in self.state.requests
        else:
            assert self.state.requests[command.request_id] == outcome
        return command

    @rule(command=applied)
    def resend(self, command):
        recorded = self.state.requests.get(command.request_id)
        outcome = self.submit(command)
        if recorded is not None:
            assert outcome == recorded

    @rule(offset=st.integers(-1, 1))
    def activate(self, offset):
        version = self.state.last_version + offset
        outcome = self.submit(Activate(version=version, at_ms=self.clock))
        if outcome.status is Status.ACCEPTED:
            assert version not in self.abandoned
            assert version == self.state.active.version

    @rule()
    def abandon(self):
        version = self.state.last_version
        command = Abandon(version=version, at_ms=self.clock, faults=())
        if self.submit(command).status is Status.ABANDONED:
            self.abandoned.add(version)

    @rule(
        move=st.sampled_from(['m1', 'm2', 'm3']),
        expected=st.integers(0, 2),
        basis_points=st.sampled_from([0, 100, 10_000, 10_001]),
        phase=st.sampled_from(MovePhase),
    )
    def step(self, move, expected, basis_points, phase):
        self.submit(
            StepMove(
                move=move,
                expected_step=expected,
                basis_points=basis_points,
                phase=phase,
                reason='chance',
                at_ms=self.clock,
            ),
        )

    @invariant()
    def the_active_version_compiles(self):
        """No route or share refers to a missing resource."""
        assert not compile_snapshot(self.state.active)[1]
        assert self.state.active.version not in self.abandoned

    @invariant()
    def a_service_has_one_running_move(self):
        running = [
            move.service
            for move in self.state.moves.values()
            if move.phase is MovePhase.RUNNING
        ]
        assert len(running) == len(set(running))
        shares = [share.service for share in self.state.active.shares]
        assert sorted(running) == shares

    @invariant()
    def events_have_no_gap(self):
        sequences = [event.sequence for event in self.state.events.events]
        newest = self.state.events.last
        expected = range(newest - len(sequences) + 1, newest + 1)
        assert sequences == list(expected)

    @invariant()
    def pending_requests_have_a_staged_version(self):
        staged = self.state.staged
        waiting_id = '' if staged is None else staged.request_id
        for request_id, outcome in self.state.requests.items():
            if outcome.status is Status.PENDING:
                assert request_id == waiting_id

    @invariant()
    def entries_and_snapshot_agree(self):
        for service in self.state.active.services:
            key = Key('service', service.name)
            entry = self.state.entries[f'{key.kind}/{key.name}']
            assert entry.resource == service
            assert entry.version <= self.state.active.version


def test_invariants_hold_after_random_commands():
    run_state_machine_as_test(
        CommandHistory,
        settings=settings(
            max_examples=60,
            stateful_step_count=30,
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )
