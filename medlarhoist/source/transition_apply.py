"""Apply: stages an operator's changes as a version, or refuses them.

All functions are pure and return the same on every source.
"""

from msgspec.structs import replace

from medlarhoist.core.check import check_snapshot
from medlarhoist.core.command import Apply, Outcome, Status
from medlarhoist.core.resource import (
    ABSENT,
    RESOURCE_KINDS,
    Change,
    Fault,
    Key,
    key_of,
)
from medlarhoist.core.snapshot import Share, Snapshot
from medlarhoist.core.state import Entry, Revision, Staged, State
from medlarhoist.source.requests import find_outcome, record_outcome
from medlarhoist.source.transition_moves import (
    Entries,
    Moves,
    check_moves,
    check_running_moves,
    is_running,
    remove_oldest_moves,
    update_moves,
)

Transition = tuple[State, Outcome]


def apply_changes(state: State, cmd: Apply) -> Transition:
    """Stage an operator's changes.

    Returns:
        The state and the outcome: pending if a version was staged; accepted
        if the changes equal the configuration in force; the first outcome
        for a resent request; busy if another version is staged; otherwise
        conflict or refused, with the faults.
    """
    recorded = find_outcome(state, cmd)
    if recorded is not None:
        return state, recorded
    if state.staged is not None:
        return state, Outcome(status=Status.BUSY)
    conflicts = _find_conflicts(state.entries, cmd.changes)
    if conflicts:
        return _record_end(state, cmd, Status.CONFLICT, conflicts)
    faults = _check_changes(state.entries, cmd.changes)
    if faults:
        return _record_end(state, cmd, Status.REFUSED, faults)
    return _stage_changes(state, cmd)


def format_key(key: Key) -> str:
    """Return kind/name, by which State.entries holds a resource."""
    return f'{key.kind}/{key.name}'


def stage_version(
    state: State,
    entries: Entries,
    moves: Moves,
    request_id: str,
    at_ms: int,
    revision: Revision | None = None,
) -> tuple[State, tuple[Fault, ...]]:
    """Check resources and moves and stage them under the next version.

    Args:
        state: the state, which has no staged version.
        entries: the new resources by kind/name.
        moves: the new moves by name.
        request_id: the operator request that waits for the version, empty for
            none.
        at_ms: time of the command, milliseconds since 1970.
        revision: the operator's complete configuration, None to keep the
            revision in force.

    Returns:
        The state with the staged version and no faults, or the unchanged
        state and all faults.
    """
    entries, moves = remove_oldest_moves(entries, moves)
    snapshot = build_snapshot(state.last_version + 1, entries, moves)
    faults = check_snapshot(snapshot)
    if faults:
        return state, faults
    staged = Staged(
        snapshot=snapshot,
        entries=entries,
        moves=moves,
        request_id=request_id,
        at_ms=at_ms,
        revision=revision or state.revision,
    )
    return replace(state, last_version=snapshot.version, staged=staged), ()


def build_snapshot(version: int, entries: Entries, moves: Moves) -> Snapshot:
    """Return the complete configuration that nodes receive.

    Shares are the traffic fractions of running moves; others need none.
    """
    sorted_by_kind: dict[str, list] = {
        kind: [] for kind in RESOURCE_KINDS.values()
    }
    for _, entry in sorted(entries.items()):
        sorted_by_kind[entry.key.kind].append(entry.resource)
    for records in sorted_by_kind.values():
        records.sort(key=lambda record: record.name)
    shares = [
        Share(
            service=move.service,
            move=move.move,
            old=move.old,
            new=move.new,
            basis_points=move.basis_points,
        )
        for move in moves.values()
        if is_running(move)
    ]
    shares.sort(key=lambda share: (share.service, share.move))
    return Snapshot(
        version=version,
        services=tuple(sorted_by_kind['service']),
        routes=tuple(sorted_by_kind['route']),
        target_versions=tuple(sorted_by_kind['target-version']),
        shares=tuple(shares),
        limits=tuple(sorted_by_kind['limits']),
        accounts=tuple(sorted_by_kind['account']),
        domain_drains=tuple(sorted_by_kind['domain-drain']),
    )


def _stage_changes(state: State, cmd: Apply) -> Transition:
    entries = _change_entries(state, cmd.changes)
    if entries == state.entries:
        same = Outcome(status=Status.ACCEPTED, version=state.active.version)
        return record_outcome(state, cmd, same)
    moves = update_moves(state.entries, entries, state.moves, cmd)
    faults = check_moves(state.entries, entries, state.moves, cmd)
    faults += check_running_moves(entries, moves)
    if faults:
        return _record_end(state, cmd, Status.REFUSED, faults)
    staged, faults = stage_version(
        state,
        entries,
        moves,
        cmd.request_id,
        cmd.at_ms,
    )
    if faults:
        return _record_end(state, cmd, Status.REFUSED, faults)
    pending = Outcome(status=Status.PENDING, version=staged.last_version)
    return record_outcome(staged, cmd, pending)


def _record_end(
    state: State,
    cmd: Apply,
    status: Status,
    faults: tuple[Fault, ...],
) -> Transition:
    return record_outcome(state, cmd, Outcome(status=status, faults=faults))


def _find_conflicts(
    entries: Entries,
    changes: tuple[Change, ...],
) -> tuple[Fault, ...]:
    faults = []
    for change in changes:
        entry = entries.get(format_key(change.key))
        version = ABSENT if entry is None else entry.version
        if change.base is not None and change.base != version:
            message = f'base: {change.base} is stale, {version} is in force'
            faults.append(Fault(source=format_key(change.key), message=message))
    return tuple(faults)


def _check_changes(
    entries: Entries,
    changes: tuple[Change, ...],
) -> tuple[Fault, ...]:
    faults = []
    keys: set[Key] = set()
    for change in changes:
        text = format_key(change.key)
        if change.key in keys:
            message = 'stands twice in one request'
            faults.append(Fault(source=text, message=message))
        keys.add(change.key)
        if change.resource is None:
            if text not in entries:
                message = 'does not exist and cannot be deleted'
                faults.append(Fault(source=text, message=message))
        elif key_of(change.resource) != change.key:
            message = 'key: is not the kind and name of the resource'
            faults.append(Fault(source=text, message=message))
    return tuple(faults)


def _change_entries(state: State, changes: tuple[Change, ...]) -> Entries:
    version = state.last_version + 1
    entries = dict(state.entries)
    for change in changes:
        text = format_key(change.key)
        if change.resource is None:
            del entries[text]
            continue
        entry = entries.get(text)
        if entry is None or entry.resource != change.resource:
            entries[text] = Entry(
                key=change.key,
                resource=change.resource,
                version=version,
            )
    return entries
