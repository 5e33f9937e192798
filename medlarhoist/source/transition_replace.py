"""Replace: stages an operator's complete configuration as a version.

The operator numbers the configurations by revisions. Each names the revision
that it is based on, so that only the first of two with the same base is
accepted. The current version, target versions and moves of a service are set
by the system itself and kept as long as the service exists.
"""

from msgspec.structs import replace

from medlarhoist.core.command import Apply, Outcome, Replace, Status
from medlarhoist.core.resource import (
    DomainDrain,
    Fault,
    Kind,
    Move,
    Resource,
    Service,
    TargetVersion,
    key_of,
)
from medlarhoist.core.state import Entry, Revision, State
from medlarhoist.source.requests import (
    find_outcome,
    fingerprint_request,
    record_outcome,
)
from medlarhoist.source.transition_apply import (
    Transition,
    format_key,
    stage_version,
)
from medlarhoist.source.transition_moves import (
    Entries,
    check_running_moves,
    update_moves,
)


def replace_configuration(state: State, cmd: Replace) -> Transition:
    """Stage a complete configuration.

    Only a pending outcome is recorded. A refused request is refused again
    without a record, since revisions only grow. A conflict with a base that
    is not in force yet may be resolved later.

    Returns:
        The state and the outcome: pending if a version was staged; accepted
        if the configuration is in force already; the first outcome for a
        resent request; busy if another version is staged; otherwise conflict
        or refused, with the faults.
    """
    recorded = find_outcome(state, cmd)
    if recorded is not None:
        return state, recorded
    fingerprint = fingerprint_request(cmd)
    if fingerprint == state.revision.fingerprint:
        version = state.active.version
        return state, Outcome(status=Status.ACCEPTED, version=version)
    if state.staged is not None:
        return state, Outcome(status=Status.BUSY)
    outcome = _check_revision(state, cmd)
    if outcome is not None:
        return state, outcome
    return _stage_all(state, cmd, fingerprint)


def _check_revision(state: State, cmd: Replace) -> Outcome | None:
    """Return the outcome of a wrong base or revision, None if both fit."""
    number = state.revision.number
    if cmd.base != number:
        message = f'base: {cmd.base} is not {number}, which is in force'
        fault = Fault(source='revision', message=message)
        return Outcome(status=Status.CONFLICT, faults=(fault,))
    if cmd.revision <= number:
        message = f'revision: {cmd.revision} is not above {number}'
        return _refuse((Fault(source='revision', message=message),))
    return None


def _stage_all(state: State, cmd: Replace, fingerprint: str) -> Transition:
    faults = _find_duplicates(cmd.resources)
    entries = _replace_entries(state, cmd.resources)
    moves = update_moves(state.entries, entries, state.moves, _as_apply(cmd))
    faults += check_running_moves(entries, moves)
    if faults:
        return state, _refuse(faults)
    staged, faults = stage_version(
        state,
        entries,
        moves,
        cmd.request_id,
        cmd.at_ms,
        Revision(
            number=cmd.revision,
            fingerprint=fingerprint,
            document=cmd.document,
        ),
    )
    if faults:
        return state, _refuse(faults)
    pending = Outcome(status=Status.PENDING, version=staged.last_version)
    return record_outcome(staged, cmd, pending)


def _replace_entries(
    state: State,
    resources: tuple[Resource, ...],
) -> Entries:
    version = state.last_version + 1
    entries: Entries = {}
    for resource in resources:
        text = format_key(key_of(resource))
        before = state.entries.get(text)
        updated = _keep_current(resource, before)
        if before is not None and before.resource == updated:
            entries[text] = before
            continue
        entries[text] = Entry(
            key=key_of(updated),
            resource=updated,
            version=version,
        )
    for text, entry in state.entries.items():
        if _is_kept(entry, entries):
            entries[text] = entry
    return entries


def _keep_current(resource: Resource, previous_entry: Entry | None) -> Resource:
    """Return a service with its earlier current version if it names none."""
    if not isinstance(resource, Service) or previous_entry is None:
        return resource
    previous = previous_entry.resource
    if resource.current or not isinstance(previous, Service):
        return resource
    return replace(resource, current=previous.current)


def _is_kept(entry: Entry, entries: Entries) -> bool:
    """Return whether a record stays that a complete configuration omits.

    Drains of domains are orders of their own. A target version or move is
    kept as long as its service is.
    """
    resource = entry.resource
    if isinstance(resource, DomainDrain):
        return True
    if not isinstance(resource, (TargetVersion, Move)):
        return False
    return f'{Kind.SERVICE}/{resource.service}' in entries


def _find_duplicates(resources: tuple[Resource, ...]) -> tuple[Fault, ...]:
    texts: set[str] = set()
    faults = []
    for resource in resources:
        text = format_key(key_of(resource))
        if text in texts:
            message = 'stands twice in one configuration'
            faults.append(Fault(source=text, message=message))
        texts.add(text)
    return tuple(faults)


def _as_apply(cmd: Replace) -> Apply:
    """Return an Apply for update_moves, which rolls back deleted moves."""
    return Apply(
        request_id=cmd.request_id,
        operator=cmd.operator,
        changes=(),
        at_ms=cmd.at_ms,
    )


def _refuse(faults: tuple[Fault, ...]) -> Outcome:
    return Outcome(status=Status.REFUSED, faults=faults)
