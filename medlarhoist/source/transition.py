"""Transition: what each replicated command does to the state.

Every source applies the same commands in the same order, so these functions
are pure and take time from the command.
"""

from collections.abc import Iterator

from msgspec.structs import replace

from medlarhoist.core.command import (
    Abandon,
    Activate,
    Apply,
    AssignKeepers,
    Command,
    MovePhase,
    Outcome,
    Replace,
    Status,
    StepMove,
)
from medlarhoist.core.event import Event, EventType, append_events
from medlarhoist.core.resource import Fault, Key, Kind
from medlarhoist.core.state import Staged, State
from medlarhoist.source.requests import bound_faults, settle
from medlarhoist.source.transition_apply import (
    Transition,
    apply_changes,
    stage_version,
)
from medlarhoist.source.transition_moves import (
    check_step,
    make_step,
    set_current,
)
from medlarhoist.source.transition_replace import replace_all


def apply_command(state: State, command: Command) -> Transition:
    """Return the state after a command, and the command's outcome."""
    if isinstance(command, Apply):
        return apply_changes(state, command)
    if isinstance(command, Replace):
        return replace_all(state, command)
    if isinstance(command, Activate):
        return _activate(state, command)
    if isinstance(command, Abandon):
        return _abandon(state, command)
    if isinstance(command, StepMove):
        return _step_move(state, command)
    return _assign_keepers(state, command)


def _activate(state: State, cmd: Activate) -> Transition:
    staged = state.staged
    if staged is None or staged.snapshot.version != cmd.version:
        return state, _answer_late(state, cmd.version)
    events = append_events(
        state.events,
        [*_diff_entries(state, staged, cmd), *_diff_moves(state, staged, cmd)],
    )
    active = replace(
        state,
        active=staged.snapshot,
        staged=None,
        entries=staged.entries,
        moves=staged.moves,
        events=events,
        revision=staged.revision,
    )
    outcome = Outcome(
        status=Status.ACCEPTED,
        version=cmd.version,
        absent=cmd.absent,
        at_ms=cmd.at_ms,
    )
    return (
        settle(active, staged.request_id, Status.ACCEPTED, absent=cmd.absent),
        outcome,
    )


def _answer_late(state: State, version: int) -> Outcome:
    if state.active.version == version:
        return Outcome(status=Status.ACCEPTED, version=version)
    return _refuse(f'version/{version}', 'is not staged')


def _abandon(state: State, cmd: Abandon) -> Transition:
    staged = state.staged
    if staged is None or staged.snapshot.version != cmd.version:
        return state, _refuse(f'version/{cmd.version}', 'is not staged')
    event = Event(
        sequence=0,
        type=EventType.ABANDONED,
        at_ms=cmd.at_ms,
        version=cmd.version,
        faults=bound_faults(cmd.faults),
        request_id=staged.request_id,
    )
    dropped = replace(
        state,
        staged=None,
        events=append_events(state.events, [event]),
    )
    outcome = Outcome(
        status=Status.ABANDONED,
        version=cmd.version,
        faults=cmd.faults,
        at_ms=cmd.at_ms,
    )
    return (
        settle(
            dropped,
            staged.request_id,
            Status.ABANDONED,
            faults=cmd.faults,
        ),
        outcome,
    )


def _step_move(state: State, cmd: StepMove) -> Transition:
    move = state.moves.get(cmd.move)
    faults = check_step(move, cmd)
    if move is None or faults:
        return state, Outcome(status=Status.REFUSED, faults=faults)
    if state.staged is not None:
        return state, Outcome(status=Status.CONFLICT)
    stepped = make_step(move, cmd)
    moves = {**state.moves, cmd.move: stepped}
    if _keeps_share(cmd, move.basis_points):
        event = _event_of_move(cmd.move, cmd.at_ms, state.active.version)
        events = append_events(state.events, [replace(event, move=stepped)])
        same = Outcome(status=Status.ACCEPTED, version=state.active.version)
        return replace(state, moves=moves, events=events), same
    entries = state.entries
    if cmd.phase is MovePhase.COMPLETED:
        entries = set_current(entries, move, state.last_version + 1)
    staged, faults = stage_version(state, entries, moves, '', cmd.at_ms)
    if faults:
        return state, Outcome(status=Status.REFUSED, faults=faults)
    version = staged.last_version
    return staged, Outcome(status=Status.PENDING, version=version)


def _keeps_share(cmd: StepMove, basis_points: int) -> bool:
    running = cmd.phase is MovePhase.RUNNING
    return running and cmd.basis_points == basis_points


def _assign_keepers(state: State, cmd: AssignKeepers) -> Transition:
    domain = cmd.keepers.domain
    previous = state.keepers.get(domain)
    epoch = 0 if previous is None else previous.epoch
    if cmd.keepers.epoch != epoch + 1:
        message = f'epoch: {cmd.keepers.epoch} does not follow {epoch}'
        return state, _refuse(f'keepers/{domain}', message)
    if not cmd.keepers.members:
        message = 'members: a domain needs one keeper at the least'
        return state, _refuse(f'keepers/{domain}', message)
    keepers = {**state.keepers, domain: cmd.keepers}
    outcome = Outcome(
        status=Status.ACCEPTED,
        version=state.active.version,
        at_ms=cmd.at_ms,
    )
    return replace(state, keepers=keepers), outcome


def _refuse(source: str, message: str) -> Outcome:
    faults = (Fault(source=source, message=message),)
    return Outcome(status=Status.REFUSED, faults=faults)


def _diff_entries(
    state: State,
    staged: Staged,
    cmd: Activate,
) -> Iterator[Event]:
    gone = state.entries.keys() - staged.entries.keys()
    put = {
        text
        for text, entry in staged.entries.items()
        if entry is not state.entries.get(text)
        and entry != state.entries.get(text)
    }
    for text in sorted(gone | put):
        entry = staged.entries.get(text) or state.entries[text]
        is_put = text in put
        yield Event(
            sequence=0,
            type=EventType.PUT if is_put else EventType.DELETED,
            at_ms=cmd.at_ms,
            version=cmd.version,
            key=entry.key,
            resource=entry.resource if is_put else None,
        )


def _diff_moves(
    state: State,
    staged: Staged,
    cmd: Activate,
) -> Iterator[Event]:
    for name, move in sorted(staged.moves.items()):
        if state.moves.get(name) != move:
            event = _event_of_move(name, cmd.at_ms, cmd.version)
            yield replace(event, move=move)


def _event_of_move(name: str, at_ms: int, version: int) -> Event:
    return Event(
        sequence=0,
        type=EventType.MOVE,
        at_ms=at_ms,
        version=version,
        key=Key(Kind.MOVE, name),
    )
