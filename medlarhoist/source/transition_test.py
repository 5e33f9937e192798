"""Tests of the commands' effects on the replicated state."""

from msgspec.structs import replace

from medlarhoist.core.command import (
    Abandon,
    Activate,
    Apply,
    AssignKeepers,
    KeeperSet,
    MovePhase,
    Status,
    StepMove,
)
from medlarhoist.core.resource import (
    Change,
    Fault,
    Key,
    Kind,
    Move,
    Route,
    Service,
    TargetVersion,
    key_of,
)
from medlarhoist.core.state import State
from medlarhoist.source.requests import REQUESTS_LIMIT
from medlarhoist.source.transition import apply_command
from medlarhoist.source.transition_moves import ENDED_MOVES_LIMIT
from medlarhoist.wire.codec import decode, encode

SEATS = Service(name='seats', current='v1')
SHOP = (
    SEATS,
    TargetVersion(name='seats/v1', service='seats', label='v1'),
    TargetVersion(name='seats/v2', service='seats', label='v2'),
    Route(name='seats', prefix='/seats', service='seats'),
)
MOVE = Move(name='m', service='seats', old='v1', new='v2', deadline_ms=9000)


def put(request_id, *resources, base=None, at_ms=1):
    changes = tuple(
        Change(key=key_of(item), resource=item, base=base) for item in resources
    )
    return Apply(
        request_id=request_id,
        operator='ranger',
        changes=changes,
        at_ms=at_ms,
    )


def delete(request_id, kind, name):
    change = Change(key=Key(kind, name), resource=None)
    return Apply(
        request_id=request_id,
        operator='ranger',
        changes=(change,),
        at_ms=1,
    )


def step(expected, basis_points, phase=MovePhase.RUNNING):
    return StepMove(
        move='m',
        expected_step=expected,
        basis_points=basis_points,
        phase=phase,
        reason='because',
        at_ms=5,
    )


def run(state, *commands):
    """Apply commands, activate each staged version, return the outcomes."""
    outcomes = []
    for command in commands:
        state, outcome = apply_command(state, command)
        outcomes.append(outcome)
        if outcome.status is Status.PENDING:
            activate = Activate(version=outcome.version, at_ms=2)
            state, _ = apply_command(state, activate)
    return state, outcomes


def with_move():
    state, outcomes = run(State(), put('1', *SHOP), put('2', MOVE))
    assert [each.status for each in outcomes] == [Status.PENDING] * 2
    return state


def test_a_staged_version_is_in_force_only_after_activation():
    staged, outcome = apply_command(State(), put('1', *SHOP))
    assert (outcome.status, outcome.version) == (Status.PENDING, 1)
    assert not staged.active.services
    assert not staged.entries
    activate = Activate(version=1, at_ms=2, absent=('c',))
    state, outcome = apply_command(staged, activate)
    assert state.active.services == (SEATS,)
    assert state.requests['1'].status is Status.ACCEPTED
    assert state.requests['1'].absent == ('c',)
    again, outcome = apply_command(state, activate)
    assert (again, outcome.status) == (state, Status.ACCEPTED)


def test_an_abandoned_version_and_its_number_are_never_used():
    staged, _ = apply_command(State(), put('1', *SHOP))
    faults = (Fault(source='node n', message='broken'),)
    command = Abandon(version=1, at_ms=2, faults=faults)
    state, outcome = apply_command(staged, command)
    assert outcome.status is Status.ABANDONED
    assert state.requests['1'].status is Status.ABANDONED
    assert state.events.events[-1].faults == faults
    late, outcome = apply_command(state, Activate(version=1, at_ms=3))
    assert (late, outcome.status) == (state, Status.REFUSED)
    state, outcomes = run(state, put('2', *SHOP))
    assert outcomes[0].version == 2


def test_only_the_staged_version_is_activated_or_abandoned():
    staged, _ = run(State(), put('1', *SHOP))
    staged, _ = apply_command(staged, put('2', replace(SEATS, slots=3)))
    for version in (1, 3):
        late, _ = apply_command(staged, Activate(version=version, at_ms=3))
        assert late == staged
        command = Abandon(version=version, at_ms=3, faults=())
        late, outcome = apply_command(staged, command)
        assert (late, outcome.status) == (staged, Status.REFUSED)


def test_a_request_is_busy_while_a_version_is_staged():
    staged, _ = apply_command(State(), put('1', *SHOP))
    same, outcome = apply_command(staged, put('2', SEATS))
    assert (same, outcome.status) == (staged, Status.BUSY)


def test_a_resend_gets_the_first_outcome():
    state, _ = run(State(), put('1', *SHOP))
    same, outcome = apply_command(state, put('1', *SHOP, at_ms=99))
    assert same is state
    assert (outcome.status, outcome.version) == (Status.ACCEPTED, 1)
    _, outcome = apply_command(state, put('1', SEATS))
    assert outcome.status is Status.REFUSED


def test_recorded_requests_are_bounded():
    state, _ = run(State(), put('1', *SHOP))
    filler = {str(n): state.requests['1'] for n in range(REQUESTS_LIMIT)}
    full = replace(state, requests=filler)
    full, _ = run(full, put('newest', SEATS))
    assert len(full.requests) == REQUESTS_LIMIT
    assert '0' not in full.requests
    assert 'newest' in full.requests


def test_recorded_faults_are_bounded():
    invalid = tuple(
        Service(name='x' * 9999 + str(n), current='') for n in range(99)
    )
    state, outcomes = run(State(), put('1', *invalid))
    assert outcomes[0].status is Status.REFUSED
    assert len(encode(state)) < 50_000


def test_each_change_has_one_event_in_order():
    state, _ = run(
        State(),
        put('1', *SHOP),
        delete('2', 'target-version', 'seats/v2'),
        put('3', SEATS),
        put('4', replace(SEATS, slots=3)),
    )
    events = [
        (event.version, event.type.value, f'{event.key.kind}/{event.key.name}')
        for event in state.events.events
    ]
    assert events == [
        (1, 'put', 'route/seats'),
        (1, 'put', 'service/seats'),
        (1, 'put', 'target-version/seats/v1'),
        (1, 'put', 'target-version/seats/v2'),
        (2, 'deleted', 'target-version/seats/v2'),
        (3, 'put', 'service/seats'),
    ]
    assert state.events.events[-1].resource.slots == 3


def test_a_stale_base_conflicts_and_is_recorded():
    state, _ = run(State(), put('1', *SHOP))
    other = replace(SEATS, slots=3)
    state, outcomes = run(
        state,
        put('2', other, base=1),
        put('3', SEATS, base=1),
        put('3', SEATS, base=1),
    )
    statuses = [each.status for each in outcomes]
    assert statuses == [Status.PENDING, Status.CONFLICT, Status.CONFLICT]
    assert state.active.services == (other,)


def test_changes_in_force_already_stage_no_version():
    state, _ = run(State(), put('1', *SHOP))
    same, outcomes = run(state, put('2', *SHOP))
    assert outcomes[0].status is Status.ACCEPTED
    assert same.last_version == state.last_version


def test_resources_in_use_cannot_be_deleted():
    state = with_move()
    _, outcomes = run(
        state,
        delete('3', 'service', 'seats'),
        delete('4', 'target-version', 'seats/v1'),
        delete('5', 'target-version', 'seats/v2'),
        delete('6', 'service', 'none'),
    )
    assert [each.status for each in outcomes] == [Status.REFUSED] * 4


def test_one_invalid_change_refuses_the_request():
    invalid = Route(name='bad', prefix='/bad', service='none')
    state, outcomes = run(
        State(),
        put('1', *SHOP, invalid),
        put('2', SEATS, SEATS),
        Apply(
            request_id='3',
            operator='ranger',
            changes=(Change(key=Key('route', 'x'), resource=SEATS),),
            at_ms=1,
        ),
    )
    assert [each.status for each in outcomes] == [Status.REFUSED] * 3
    assert outcomes == list(state.requests.values())
    assert not state.entries
    assert state.last_version == 0


def test_a_move_starts_without_a_share():
    state = with_move()
    assert state.active.shares[0].basis_points == 0
    assert state.moves['m'].phase is MovePhase.RUNNING


def test_an_invalid_move_is_refused():
    state, _ = run(State(), put('1', *SHOP))
    moves = (
        replace(MOVE, old='v2', new='v1'),
        replace(MOVE, new='v3'),
        replace(MOVE, new='v1'),
        replace(MOVE, service='none'),
        replace(MOVE, deadline_ms=1),
        replace(MOVE, bake_ms=-1),
        replace(MOVE, name='Bad Name'),
    )
    commands = [put(str(n), move) for n, move in enumerate(moves, start=2)]
    _, outcomes = run(state, *commands)
    assert [each.status for each in outcomes] == [Status.REFUSED] * len(moves)


def test_a_service_has_one_running_move():
    _, outcomes = run(
        with_move(),
        put('3', replace(MOVE, name='m2')),
        put('4', replace(MOVE, deadline_ms=10_000)),
        put('5', replace(SEATS, current='v2')),
    )
    assert [each.status for each in outcomes] == [Status.REFUSED] * 3


def test_a_completed_move_sets_the_current_version():
    state, outcomes = run(
        with_move(),
        step(0, 100),
        step(0, 200),
        step(1, 10_000),
        step(2, 10_000),
        step(3, 10_000, MovePhase.COMPLETED),
        step(4, 0),
    )
    assert [each.status for each in outcomes] == [
        Status.PENDING,
        Status.REFUSED,
        Status.PENDING,
        Status.ACCEPTED,
        Status.PENDING,
        Status.REFUSED,
    ]
    assert state.active.services[0].current == 'v2'
    assert not state.active.shares
    assert state.moves['m'].phase is MovePhase.COMPLETED
    assert state.moves['m'].reason == 'because'


def test_a_rolled_back_move_keeps_the_old_version():
    state, _ = run(
        with_move(),
        step(0, 500),
        step(1, 500, MovePhase.ROLLED_BACK),
    )
    assert state.active.services[0].current == 'v1'
    assert not state.active.shares
    assert state.moves['m'].basis_points == 0


def test_a_deleted_move_is_rolled_back():
    state, _ = run(with_move(), step(0, 500), delete('3', 'move', 'm'))
    assert state.moves['m'].phase is MovePhase.ROLLED_BACK
    assert not state.active.shares
    assert 'move/m' not in state.entries


def test_a_step_waits_for_the_staged_version():
    state = with_move()
    staged, _ = apply_command(state, put('3', replace(SEATS, slots=3)))
    same, outcome = apply_command(staged, step(0, 100))
    assert (same, outcome.status) == (staged, Status.CONFLICT)


def test_ended_moves_are_bounded():
    state = with_move()
    ended = replace(state.moves['m'], phase=MovePhase.COMPLETED)
    old = {
        f'old{n}': replace(ended, move=f'old{n}', stepped_ms=n)
        for n in range(ENDED_MOVES_LIMIT + 3)
    }
    state = replace(state, moves={**old, **state.moves})
    state, _ = run(state, put('3', replace(SEATS, slots=3)))
    assert len(state.moves) == ENDED_MOVES_LIMIT + 1
    assert 'old2' not in state.moves
    assert 'm' in state.moves


def test_keeper_sets_need_consecutive_epochs():
    keepers = KeeperSet(domain='a', epoch=1, members={'n1': '127.0.0.1:1'})
    first = AssignKeepers(keepers=keepers, at_ms=1)
    skipped = AssignKeepers(keepers=replace(keepers, epoch=3), at_ms=1)
    empty = AssignKeepers(
        keepers=replace(keepers, epoch=2, members={}),
        at_ms=1,
    )
    state, outcomes = run(State(), first, first, skipped, empty)
    assert [each.status for each in outcomes] == [
        Status.ACCEPTED,
        Status.REFUSED,
        Status.REFUSED,
        Status.REFUSED,
    ]
    assert state.keepers['a'].epoch == 1


def test_the_state_can_be_encoded_and_decoded():
    state, _ = run(with_move(), step(0, 100))
    copy = decode(encode(state), State)
    assert copy == state
    assert list(copy.requests) == list(state.requests)
    assert copy.events.events[0].key.kind == Kind.ROUTE
