"""Request and response bodies of the resource API, encoded as JSON.

The sources (control-plane replicas) and the command-line tool share these
records.
"""

from typing import Annotated, Final

from msgspec import Meta, Struct

from medlarhoist.core.command import MoveState, Outcome
from medlarhoist.core.event import Event
from medlarhoist.core.resource import Change, Resource
from medlarhoist.core.state import Entry
from medlarhoist.core.verdict import Verdict

CHANGES_LIMIT: Final = 1000
REVISION_LIMIT: Final = 2**62

RequestId = Annotated[str, Meta(pattern=r'^[A-Za-z0-9._-]{8,64}\Z')]
Changes = Annotated[
    tuple[Change, ...],
    Meta(min_length=1, max_length=CHANGES_LIMIT),
]


class ApplyRequest(Struct, frozen=True, kw_only=True):
    """Body of POST /v1/apply.

    Args:
        request_id: idempotency key chosen by the operator's tool; a resend
            repeats it.
        changes: applied atomically, all or none.
    """

    request_id: RequestId
    changes: Changes


RevisionNumber = Annotated[int, Meta(ge=0, le=REVISION_LIMIT)]


class ReplaceRequest(Struct, frozen=True, kw_only=True):
    """Body of PUT /v1/configuration.

    Args:
        request_id: idempotency key chosen by the operator's tool; a resend
            repeats it.
        revision: the operator's own number for this configuration.
        base: the operator's revision that this one replaces, zero for none.
        resources: the complete configuration, without moves.
        document: stored with the configuration; GET /v1/configuration
            returns it unchanged.
    """

    request_id: RequestId
    revision: RevisionNumber
    base: RevisionNumber
    resources: tuple[Resource, ...]
    document: str


class ConfigurationResponse(Struct, frozen=True, kw_only=True):
    """Response to GET /v1/configuration.

    Args:
        revision: the operator's own number for the configuration, zero
            before the first PUT.
        version: configuration version in force.
        document: the document that came with the revision, empty before the
            first PUT.
    """

    revision: int
    version: int
    document: str


class ApplyResponse(Struct, frozen=True, kw_only=True):
    """Response to POST /v1/apply, PUT /v1/configuration, GET /v1/requests/ID.

    Args:
        request_id: the id from the request.
        outcome: final status of the request, or its status so far.
        verdict: whether the changes were applied.
    """

    request_id: str
    outcome: Outcome
    verdict: Verdict


class ErrorResponse(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response with an error status.

    Args:
        message: a short sentence for the operator.
        verdict: whether the request may have changed anything.
        leader: API address of the leading source, to which the request
            should be sent instead; empty if unknown or not applicable.
        oldest: sequence of the oldest event that a watch can still read, set
            where the events asked for are no longer kept; zero otherwise.
    """

    message: str
    verdict: Verdict
    leader: str = ''
    oldest: int = 0


class ResourceList(Struct, frozen=True, kw_only=True):
    """Response to GET /v1/resources.

    Args:
        version: configuration version in force.
        sequence: sequence of the newest event; a watch that starts from it
            misses no change to these entries.
        entries: the requested resources, sorted by kind and name.
    """

    version: int
    sequence: int
    entries: tuple[Entry, ...]


class MoveList(Struct, frozen=True, kw_only=True):
    """Response to GET /v1/moves and GET /v1/moves/NAME.

    Args:
        moves: the requested moves, sorted by name.
        steps: events of the move in the path, oldest first; empty where the
            path has no name.
    """

    moves: tuple[MoveState, ...]
    steps: tuple[Event, ...] = ()


class EventPage(Struct, frozen=True, kw_only=True):
    """Response to GET /v1/watch.

    Args:
        events: events after the requested sequence, oldest first; empty if
            none arrived before the request timed out.
        next: value of `since` for the next request.
    """

    events: tuple[Event, ...]
    next: int


class DomainReport(Struct, frozen=True, kw_only=True):
    """Status of one failure domain in GET /v1/status.

    Args:
        domain: name of the failure domain.
        nodes: number of nodes reported to the leader.
        active: number of these nodes that run the version in force.
        lagging: names of some of the nodes that do not.
        silent_seconds: time since a keeper (voting node of the domain) was
            last attached to the leader, zero while one is attached.
    """

    domain: str
    nodes: int = 0
    active: int = 0
    lagging: tuple[str, ...] = ()
    silent_seconds: float = 0


class StatusReport(Struct, frozen=True, kw_only=True):
    """The fields of the response to GET /v1/status that the tool reads.

    Args:
        source: name of the source that responded.
        leader: name of the leading source, empty if unknown.
        version: configuration version in force.
        staged: staged configuration version, zero for none.
        domains: status of each failure domain, as observed by the leader.
    """

    source: str
    leader: str
    version: int
    staged: int = 0
    domains: tuple[DomainReport, ...] = ()
