"""Requests: records the outcome of each operator request.

The outcomes are part of the replicated state, so a resent request gets its
first outcome from every leader. The oldest are removed beyond REQUESTS_LIMIT.
"""

from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.command import Apply, Outcome, Replace, Status
from medlarhoist.core.digest import fingerprint_of
from medlarhoist.core.resource import Change, Fault
from medlarhoist.core.state import State

REQUESTS_LIMIT: Final = 10_000
FAULTS_LIMIT: Final = 32
FAULT_TEXT_LIMIT_CHARS: Final = 300


class _ApplyContent(Struct, frozen=True):
    """The content that a resent Apply must repeat."""

    operator: str
    changes: tuple[Change, ...]


class _ReplaceContent(Struct, frozen=True):
    """The content that a resent Replace must repeat."""

    operator: str
    revision: int
    base: int
    document: bytes


def fingerprint_request(command: Apply | Replace) -> str:
    """Return the digest of a request's content, equal for every resend."""
    if isinstance(command, Replace):
        return fingerprint_of(
            _ReplaceContent(
                command.operator,
                command.revision,
                command.base,
                command.document,
            ),
        )
    return fingerprint_of(_ApplyContent(command.operator, command.changes))


def find_outcome(
    state: State,
    command: Apply | Replace,
) -> Outcome | None:
    """Return the outcome of an earlier copy of a request.

    Returns:
        The recorded outcome, which may be pending; refused if the request id
        was used for another content; None if the id is not recorded.
    """
    recorded = state.requests.get(command.request_id)
    if recorded is None or recorded.fingerprint == fingerprint_request(command):
        return recorded
    message = 'stands for other changes; explain tells what became of it'
    return Outcome(
        status=Status.REFUSED,
        faults=(Fault(source='request_id', message=message),),
    )


def record_outcome(
    state: State,
    command: Apply | Replace,
    outcome: Outcome,
) -> tuple[State, Outcome]:
    """Record the outcome of a request that is applied for the first time.

    Returns:
        The state, and the outcome as it is recorded.
    """
    recorded = replace(
        outcome,
        faults=limit_faults(outcome.faults),
        at_ms=command.at_ms,
        fingerprint=fingerprint_request(command),
    )
    requests = {**state.requests, command.request_id: recorded}
    while len(requests) > REQUESTS_LIMIT:
        del requests[next(iter(requests))]
    return replace(state, requests=requests), recorded


def set_final_outcome(
    state: State,
    request_id: str,
    status: Status,
    *,
    absent: tuple[str, ...] = (),
    faults: tuple[Fault, ...] = (),
) -> State:
    """Set the outcome of a request whose version was staged.

    Args:
        state: the replicated state.
        request_id: id of the request; the state is returned unchanged if it
            is empty or no longer recorded.
        status: accepted or abandoned.
        absent: failure domains that were unavailable during staging.
        faults: why the version was abandoned.
    """
    pending = state.requests.get(request_id)
    if pending is None:
        return state
    final = replace(
        pending,
        status=status,
        absent=absent,
        faults=limit_faults(faults),
    )
    return replace(state, requests={**state.requests, request_id: final})


def limit_faults(faults: tuple[Fault, ...]) -> tuple[Fault, ...]:
    """Return the first faults with bounded texts, since outcomes are stored."""
    return tuple(
        Fault(
            source=fault.source[:FAULT_TEXT_LIMIT_CHARS],
            message=fault.message[:FAULT_TEXT_LIMIT_CHARS],
        )
        for fault in faults[:FAULTS_LIMIT]
    )
