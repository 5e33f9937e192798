"""Replace: puts an operator's whole configuration in place of another.

The operator numbers the configurations; each names the one that it builds on,
so that of two that build on the same one only the first is accepted. What the
system itself has found out, the current version of a service and its moves,
stays with a service for as long as the service does.
"""

from msgspec.structs import replace

from medlarhoist.core.command import Apply, Outcome, Replace, Status
from medlarhoist.core.resource import (
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
    remember,
)
from medlarhoist.source.transition_apply import (
    Transition,
    stage_version,
    text_of,
)
from medlarhoist.source.transition_moves import (
    Entries,
    check_services,
    start_moves,
)


def replace_all(state: State, cmd: Replace) -> Transition:
    """Stage a whole configuration.

    Only what was staged is remembered: a refusal stays one, since revisions
    grow, and a conflict with a revision that is yet to come may pass.

    Returns:
        The state and the outcome: pending where a version is staged now, the
        first outcome for a resend, conflict, refused or busy otherwise.
    """
    known = find_outcome(state, cmd)
    if known is not None:
        return state, known
    fingerprint = fingerprint_request(cmd)
    if fingerprint == state.revision.fingerprint:
        version = state.active.version
        return state, Outcome(status=Status.ACCEPTED, version=version)
    if state.staged is not None:
        return state, Outcome(status=Status.BUSY)
    outcome = _check_numbers(state, cmd)
    if outcome is not None:
        return state, outcome
    return _stage_all(state, cmd, fingerprint)


def _check_numbers(state: State, cmd: Replace) -> Outcome | None:
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
    faults = _check_twice(cmd.resources)
    entries = _replace_entries(state, cmd.resources)
    moves = start_moves(state.entries, entries, state.moves, _as_apply(cmd))
    faults += check_services(entries, moves)
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
    return remember(staged, cmd, pending)


def _replace_entries(
    state: State,
    resources: tuple[Resource, ...],
) -> Entries:
    version = state.last_version + 1
    entries: Entries = {}
    for resource in resources:
        text = text_of(key_of(resource))
        before = state.entries.get(text)
        wanted = _keep_current(resource, before)
        if before is not None and before.resource == wanted:
            entries[text] = before
            continue
        entries[text] = Entry(
            key=key_of(wanted),
            resource=wanted,
            version=version,
        )
    for text, entry in state.entries.items():
        if _outlives(entry, entries):
            entries[text] = entry
    return entries


def _keep_current(resource: Resource, before: Entry | None) -> Resource:
    if not isinstance(resource, Service) or before is None:
        return resource
    known = before.resource
    if resource.current or not isinstance(known, Service):
        return resource
    return replace(resource, current=known.current)


def _outlives(entry: Entry, entries: Entries) -> bool:
    """Say whether a version or a move stays: its service does."""
    resource = entry.resource
    if not isinstance(resource, (TargetVersion, Move)):
        return False
    return f'{Kind.SERVICE}/{resource.service}' in entries


def _check_twice(resources: tuple[Resource, ...]) -> tuple[Fault, ...]:
    seen: set[str] = set()
    faults = []
    for resource in resources:
        text = text_of(key_of(resource))
        if text in seen:
            message = 'stands twice in one configuration'
            faults.append(Fault(source=text, message=message))
        seen.add(text)
    return tuple(faults)


def _as_apply(cmd: Replace) -> Apply:
    """Return the command in the form that rolls back moves of lost services."""
    return Apply(
        request_id=cmd.request_id,
        operator=cmd.operator,
        changes=(),
        at_ms=cmd.at_ms,
    )


def _refuse(faults: tuple[Fault, ...]) -> Outcome:
    return Outcome(status=Status.REFUSED, faults=faults)
