"""Answer: what the resource API takes and gives, as JSON.

Sources and the command-line tool share these records.
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

RequestId = Annotated[str, Meta(pattern='^[A-Za-z0-9._-]{8,64}$')]
Changes = Annotated[
    tuple[Change, ...],
    Meta(min_length=1, max_length=CHANGES_LIMIT),
]


class ApplyRequest(Struct, frozen=True, kw_only=True):
    """Body of POST /v1/apply.

    Args:
        request_id: chosen by the operator's tool; the same in a resend.
        changes: all of them are made or none.
    """

    request_id: RequestId
    changes: Changes


RevisionNumber = Annotated[int, Meta(ge=0, le=REVISION_LIMIT)]


class ReplaceRequest(Struct, frozen=True, kw_only=True):
    """Body of PUT /v1/configuration.

    Args:
        request_id: chosen by the operator's tool; the same in a resend.
        revision: the operator's own number of the configuration.
        base: revision that it builds on, zero for none.
        resources: the whole configuration, without moves.
        document: kept with it and given back unchanged.
    """

    request_id: RequestId
    revision: RevisionNumber
    base: RevisionNumber
    resources: tuple[Resource, ...]
    document: str


class ConfigurationAnswer(Struct, frozen=True, kw_only=True):
    """Answer of GET /v1/configuration.

    Args:
        revision: the operator's own number, zero where none was put yet.
        version: configuration version in force.
        document: what the operator sent.
    """

    revision: int
    version: int
    document: str


class ApplyAnswer(Struct, frozen=True, kw_only=True):
    """Answer of POST /v1/apply and GET /v1/requests/ID.

    Args:
        request_id: as it was sent.
        outcome: the end of the request, or pending.
        verdict: whether the changes were made.
    """

    request_id: str
    outcome: Outcome
    verdict: Verdict


class Problem(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a request that was not served.

    Args:
        message: a short sentence for the operator.
        verdict: whether the request may have changed anything.
        leader: API address of the source to ask instead, where it is known.
        oldest: sequence of the oldest event that a watch can still get.
    """

    message: str
    verdict: Verdict
    leader: str = ''
    oldest: int = 0


class Resources(Struct, frozen=True, kw_only=True):
    """Answer of GET /v1/resources.

    Args:
        version: configuration version in force.
        sequence: sequence of the newest event, to watch from.
        entries: the resources asked for, by kind and name.
    """

    version: int
    sequence: int
    entries: tuple[Entry, ...]


class Moves(Struct, frozen=True, kw_only=True):
    """Answer of GET /v1/moves.

    Args:
        moves: the moves asked for, by name.
        steps: events of the one move asked for, oldest first.
    """

    moves: tuple[MoveState, ...]
    steps: tuple[Event, ...] = ()


class Events(Struct, frozen=True, kw_only=True):
    """Answer of GET /v1/watch.

    Args:
        events: the events that follow the sequence asked for.
        next: sequence to ask for next.
    """

    events: tuple[Event, ...]
    next: int


class DomainReport(Struct, frozen=True, kw_only=True):
    """What GET /v1/status tells of one failure domain.

    Args:
        domain: the failure domain.
        nodes: nodes that the leader counts.
        active: how many of these have the version in force.
        lagging: names of some that have not.
        silent_seconds: time since a keeper was attached, zero for now.
    """

    domain: str
    nodes: int = 0
    active: int = 0
    lagging: tuple[str, ...] = ()
    silent_seconds: float = 0


class StatusReport(Struct, frozen=True, kw_only=True):
    """Answer of GET /v1/status, as far as the tool reads it.

    Args:
        source: the source that answers.
        leader: the source that leads, empty where none is known.
        version: configuration version in force.
        staged: version that is staged, zero for none.
        domains: each failure domain as the leader sees it.
    """

    source: str
    leader: str
    version: int
    staged: int = 0
    domains: tuple[DomainReport, ...] = ()
