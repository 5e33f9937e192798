"""Requests: remembers the outcome of each operator request.

The memory is part of the replicated state, so a resend gets the first outcome
from whichever source leads. It is bounded by count, oldest first.
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
FAULT_TEXT_LIMIT: Final = 300


class _Content(Struct, frozen=True):
    """What must be the same in a resend."""

    operator: str
    changes: tuple[Change, ...]


class _Whole(Struct, frozen=True):
    """What must be the same in a resend of a whole configuration."""

    operator: str
    revision: int
    base: int
    document: bytes


def fingerprint_request(command: Apply | Replace) -> str:
    """Return the digest of what an operator asked for."""
    if isinstance(command, Replace):
        return fingerprint_of(
            _Whole(
                command.operator,
                command.revision,
                command.base,
                command.document,
            ),
        )
    return fingerprint_of(_Content(command.operator, command.changes))


def find_outcome(
    state: State,
    command: Apply | Replace,
) -> Outcome | None:
    """Return the outcome of an earlier copy of a request, if there was one.

    A request id that stands for other changes is refused.
    """
    known = state.requests.get(command.request_id)
    if known is None or known.fingerprint == fingerprint_request(command):
        return known
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
    """Keep the outcome of a request that is applied for the first time.

    Returns:
        The state, and the outcome as it is kept.
    """
    kept = replace(
        outcome,
        faults=limit_faults(outcome.faults),
        at_ms=command.at_ms,
        fingerprint=fingerprint_request(command),
    )
    requests = {**state.requests, command.request_id: kept}
    while len(requests) > REQUESTS_LIMIT:
        del requests[next(iter(requests))]
    return replace(state, requests=requests), kept


def set_final_outcome(
    state: State,
    request_id: str,
    status: Status,
    *,
    absent: tuple[str, ...] = (),
    faults: tuple[Fault, ...] = (),
) -> State:
    """Replace the pending outcome of a request by its end."""
    pending = state.requests.get(request_id)
    if pending is None:
        return state
    ended = replace(
        pending,
        status=status,
        absent=absent,
        faults=limit_faults(faults),
    )
    return replace(state, requests={**state.requests, request_id: ended})


def limit_faults(faults: tuple[Fault, ...]) -> tuple[Fault, ...]:
    """Return the first faults, cut to a size that may be kept for long."""
    return tuple(
        Fault(
            source=fault.source[:FAULT_TEXT_LIMIT],
            message=fault.message[:FAULT_TEXT_LIMIT],
        )
        for fault in faults[:FAULTS_LIMIT]
    )
