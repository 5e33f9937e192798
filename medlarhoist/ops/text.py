"""Formats the human-readable output of the command-line tool."""

from datetime import UTC, datetime

from msgspec.structs import replace

from medlarhoist.core.accounts import SHOWN_DIGITS
from medlarhoist.core.api_messages import (
    ApplyResponse,
    DomainReport,
    StatusReport,
)
from medlarhoist.core.command import MoveState
from medlarhoist.core.event import Event, EventType
from medlarhoist.core.resource import Account, Fault, Resource
from medlarhoist.core.state import Entry
from medlarhoist.utils.clock import MILLISECONDS_PER_SECOND

BASIS_POINTS_PER_PERCENT = 100


def describe_fault(fault: Fault) -> str:
    """Return a fault as one line."""
    return f'{fault.source}: {fault.message}'


def describe_apply_response(response: ApplyResponse) -> str:
    """Return the lines for the outcome of a request."""
    outcome = response.outcome
    head = f'{outcome.status.value}: request {response.request_id}'
    if outcome.version:
        head = f'{head}, version {outcome.version}'
    lines = [head]
    if outcome.absent:
        domains = ', '.join(outcome.absent)
        lines.append(f'  not reached yet: failure domains {domains}')
    lines.extend(f'  {describe_fault(fault)}' for fault in outcome.faults)
    return '\n'.join(lines)


def describe_entry(entry: Entry) -> str:
    """Return a resource with its key and version as one line."""
    return (
        f'{entry.key.kind}/{entry.key.name} '
        f'base={entry.version} {describe_resource(entry.resource)}'
    )


def describe_resource(resource: Resource) -> str:
    """Return the non-empty fields of a resource, except its name.

    Of digests of keys the first digits are shown.
    """
    if isinstance(resource, Account):
        shown = tuple(digest[:SHOWN_DIGITS] for digest in resource.key_digests)
        resource = replace(resource, key_digests=shown)
    fields = [
        f'{field}={getattr(resource, field)}'
        for field in resource.__struct_fields__
        if field != 'name' and getattr(resource, field) not in {'', ()}
    ]
    return ' '.join(fields)


def describe_move(move: MoveState) -> str:
    """Return the lines for a move: its state, reason and evidence."""
    lines = [
        f'move/{move.move} {move.phase.value}: {move.service} '
        f'{move.old} -> {move.new} at {_percent(move.basis_points)}, '
        f'step {move.step}',
        f'  deadline {_time(move.deadline_ms)}, '
        f'started {_time(move.started_ms)}',
        f'  {_time(move.stepped_ms)} {_decider(move)}: {move.reason}',
    ]
    lines.extend(f'    {line}' for line in move.evidence)
    return '\n'.join(lines)


def describe_event(event: Event) -> str:
    """Return the lines for an event of a watch."""
    head = f'{event.sequence} {_time(event.at_ms)} version {event.version}'
    if event.type is EventType.MOVE and event.move is not None:
        move = event.move
        text = (
            f'{head} move/{move.move} {move.phase.value} '
            f'{_percent(move.basis_points)}: {move.reason}'
        )
        return '\n'.join([text, *(f'    {line}' for line in move.evidence)])
    if event.type is EventType.ABANDONED:
        faults = '; '.join(describe_fault(fault) for fault in event.faults)
        return f'{head} abandoned {event.request_id}: {faults}'
    name = f'{event.key.kind}/{event.key.name}' if event.key else ''
    text = f'{head} {event.type.value} {name}'
    if event.resource is not None:
        text = f'{text} {describe_resource(event.resource)}'
    return text


def describe_status(report: StatusReport) -> str:
    """Return the lines for the state of the sources and the domains."""
    leader = report.leader or 'nobody'
    head = f'{leader} leads, version {report.version} is in force'
    if report.staged:
        head = f'{head}, version {report.staged} is staged'
    lines = [f'{head} (told by {report.source})']
    lines.extend(_describe_domain(domain) for domain in report.domains)
    return '\n'.join(lines)


def _describe_domain(report: DomainReport) -> str:
    line = f'  {report.domain}: {report.active} of {report.nodes} nodes have it'
    if report.lagging:
        line = f'{line}; behind: {", ".join(report.lagging)}'
    if report.silent_seconds:
        line = f'{line}; silent for {report.silent_seconds:.0f} s'
    return line


def _percent(basis_points: int) -> str:
    return f'{basis_points / BASIS_POINTS_PER_PERCENT:g}%'


def _time(at_ms: int) -> str:
    moment = datetime.fromtimestamp(at_ms / MILLISECONDS_PER_SECOND, UTC)
    return moment.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


def _decider(move: MoveState) -> str:
    return f'by {move.decided_by}' if move.decided_by else 'by the leader'
