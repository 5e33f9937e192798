"""Moves: starts, steps and rolls back moves in the replicated state.

A move is the rollout of a target version. All functions are pure; steps are
decided by medlarhoist.core.rollout.
"""

from collections.abc import Iterator
from typing import Final

from msgspec.structs import replace

from medlarhoist.core.check import check_name
from medlarhoist.core.command import Apply, MovePhase, MoveState, StepMove
from medlarhoist.core.resource import Fault, Kind, Move, Service
from medlarhoist.core.snapshot import FULL_SHARE
from medlarhoist.core.state import Entry

ENDED_MOVES_LIMIT: Final = 1000
BAKE_LIMIT_MS: Final = 3_600_000

Entries = dict[str, Entry]
Moves = dict[str, MoveState]


def update_moves(old: Entries, new: Entries, moves: Moves, cmd: Apply) -> Moves:
    """Return the moves after an operator's changes, by name.

    Moves whose resource was put are started; running moves whose resource was
    deleted are rolled back.

    Args:
        old: the resources before the changes, by kind/name.
        new: the resources after the changes, by kind/name.
        moves: the moves before the changes, by name.
        cmd: the operator's request.
    """
    result = dict(moves)
    for name, move in moves.items():
        if f'{Kind.MOVE}/{name}' not in new and is_running(move):
            result[name] = _roll_back(move, cmd)
    for text, entry in new.items():
        if isinstance(entry.resource, Move) and old.get(text) != entry:
            old_label = find_old_label(entry.resource, new)
            result[entry.resource.name] = _start(entry.resource, old_label, cmd)
    return result


def check_moves(
    old: Entries,
    new: Entries,
    moves: Moves,
    cmd: Apply,
) -> tuple[Fault, ...]:
    """Return the faults of the moves that an operator's changes put.

    Args:
        old: the resources before the changes, by kind/name.
        new: the resources after the changes, by kind/name.
        moves: the moves before the changes, by name.
        cmd: the operator's request.
    """
    faults = []
    for text, entry in new.items():
        if old.get(text) == entry:
            continue
        for message in _check_entry(entry, moves, new, cmd.at_ms):
            faults.append(Fault(source=text, message=message))
    return tuple(faults)


def check_running_moves(new: Entries, moves: Moves) -> tuple[Fault, ...]:
    """Return the faults of running moves that the changes conflict with.

    A service has at most one running move, and its current version is the
    move's old version until the move ends.

    Args:
        new: the resources after the changes, by kind/name.
        moves: the moves after the changes, by name.
    """
    faults = []
    running: dict[str, str] = {}
    for name, move in sorted(moves.items()):
        if not is_running(move):
            continue
        first = running.setdefault(move.service, name)
        if first != name:
            message = f'service: move/{first} of {move.service!r} is running'
            faults.append(Fault(source=f'move/{name}', message=message))
        faults.extend(_check_current(new, move))
    return tuple(faults)


def check_step(move: MoveState | None, cmd: StepMove) -> tuple[Fault, ...]:
    """Return why a step of a move is refused, nothing if it is valid."""
    message = ''
    if move is None:
        message = 'the move does not exist'
    elif not is_running(move):
        message = f'the move has ended: {move.phase.value}'
    elif move.step != cmd.expected_step:
        message = f'step {cmd.expected_step} is past, {move.step} was made'
    elif not 0 <= cmd.basis_points <= FULL_SHARE:
        message = f'share: {cmd.basis_points} is not in 0..{FULL_SHARE}'
    if message:
        return (Fault(source=f'move/{cmd.move}', message=message),)
    return ()


def apply_step(move: MoveState, cmd: StepMove) -> MoveState:
    """Return the move after a valid step."""
    share = {
        MovePhase.RUNNING: cmd.basis_points,
        MovePhase.COMPLETED: FULL_SHARE,
        MovePhase.ROLLED_BACK: 0,
    }
    return replace(
        move,
        phase=cmd.phase,
        step=move.step + 1,
        basis_points=share[cmd.phase],
        stepped_ms=cmd.at_ms,
        reason=cmd.reason,
        evidence=cmd.evidence,
        decided_by=cmd.decided_by,
    )


def set_current_version(
    entries: Entries,
    move: MoveState,
    version: int,
) -> Entries:
    """Return the resources with a completed move's new version as current."""
    text = f'{Kind.SERVICE}/{move.service}'
    entry = entries[text]
    service = replace(entry.resource, current=move.new)
    return {**entries, text: replace(entry, resource=service, version=version)}


def remove_oldest_moves(
    entries: Entries,
    moves: Moves,
) -> tuple[Entries, Moves]:
    """Remove the oldest ended moves over the limit, with their resources."""
    ended = [move for move in moves.values() if not is_running(move)]
    excess = len(ended) - ENDED_MOVES_LIMIT
    if excess <= 0:
        return entries, moves
    ended.sort(key=lambda move: (move.stepped_ms, move.move))
    removed_names = {move.move for move in ended[:excess]}
    removed_keys = {f'{Kind.MOVE}/{name}' for name in removed_names}
    return (
        {
            text: entry
            for text, entry in entries.items()
            if text not in removed_keys
        },
        {
            name: move
            for name, move in moves.items()
            if name not in removed_names
        },
    )


def is_running(move: MoveState) -> bool:
    """Return whether a move has not ended yet."""
    return move.phase is MovePhase.RUNNING


def find_old_label(move: Move, entries: Entries) -> str:
    """Return the label of a move's old version.

    It is the service's current version if the move names none, and empty if
    both are missing.
    """
    entry = entries.get(f'{Kind.SERVICE}/{move.service}')
    if move.old or entry is None or not isinstance(entry.resource, Service):
        return move.old
    return entry.resource.current


def _start(move: Move, old: str, cmd: Apply) -> MoveState:
    return MoveState(
        move=move.name,
        service=move.service,
        old=old,
        new=move.new,
        deadline_ms=move.deadline_ms,
        bake_ms=move.bake_ms,
        started_ms=cmd.at_ms,
        stepped_ms=cmd.at_ms,
        decided_by=cmd.operator,
    )


def _roll_back(move: MoveState, cmd: Apply) -> MoveState:
    return replace(
        move,
        phase=MovePhase.ROLLED_BACK,
        step=move.step + 1,
        basis_points=0,
        stepped_ms=cmd.at_ms,
        reason='an operator deleted the move',
        evidence=(),
        decided_by=cmd.operator,
    )


def _check_entry(
    entry: Entry,
    moves: Moves,
    new: Entries,
    at_ms: int,
) -> Iterator[str]:
    move = entry.resource
    if not isinstance(move, Move):
        return
    yield from check_name('name', move.name)
    previous = moves.get(move.name)
    if previous is not None and is_running(previous):
        yield 'name: this move is running; delete it to roll it back'
    if not 0 <= move.bake_ms <= BAKE_LIMIT_MS:
        yield f'bake_ms: {move.bake_ms} is not in 0..{BAKE_LIMIT_MS}'
    if move.deadline_ms <= at_ms + move.bake_ms:
        yield 'deadline_ms: leaves no time before the bake time'
    old = find_old_label(move, new)
    if not old:
        yield 'old: the current version of the service is not known yet'
    if old == move.new:
        yield f'new: {move.new!r} is the old version too'
    yield from _check_references(move, new)


def _check_references(move: Move, new: Entries) -> Iterator[str]:
    entry = new.get(f'{Kind.SERVICE}/{move.service}')
    if entry is None:
        yield f'service: {move.service!r} does not exist'
        return
    service = entry.resource
    if isinstance(service, Service) and service.current != find_old_label(
        move,
        new,
    ):
        yield f'old: the current version is {service.current!r}'
    version = f'{Kind.TARGET_VERSION}/{move.service}/{move.new}'
    if version not in new:
        yield f'new: {version} does not exist'


def _check_current(new: Entries, move: MoveState) -> Iterator[Fault]:
    text = f'{Kind.SERVICE}/{move.service}'
    entry = new.get(text)
    if entry is None or not isinstance(entry.resource, Service):
        return
    if entry.resource.current != move.old:
        message = f'current: move/{move.move} is running and will set it'
        yield Fault(source=text, message=message)
