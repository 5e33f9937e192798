"""Events that a watch returns, numbered without gaps.

Events are derived from the replicated commands, so an event has the same
sequence number on every source.
"""

from enum import StrEnum
from typing import Final

from msgspec import Struct

from medlarhoist.core.command import MoveState
from medlarhoist.core.resource import Fault, Key, Resource

EVENTS_LIMIT: Final = 2048


class EventType(StrEnum):
    """What an event reports."""

    PUT = 'put'
    DELETED = 'deleted'
    MOVE = 'move'
    ABANDONED = 'abandoned'


class Event(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A change of a resource or a move, or an abandoned version.

    Args:
        sequence: incremented with every event; `append_events` assigns it.
        type: put and deleted report a resource, move reports a step or the
            end of a move, abandoned a version that no node will serve.
        at_ms: time at the leader, milliseconds since 1970.
        version: configuration version that the event belongs to.
        key: key of the resource or move; None for an abandoned version.
        resource: content of a resource that was put.
        move: state of the move after the step.
        faults: why a version was abandoned.
        request_id: operator request whose version was abandoned, empty for
            a step of a move.
    """

    sequence: int
    type: EventType
    at_ms: int
    version: int
    key: Key | None = None
    resource: Resource | None = None
    move: MoveState | None = None
    faults: tuple[Fault, ...] = ()
    request_id: str = ''


class EventLog(Struct, frozen=True, kw_only=True):
    """The most recent events, at most EVENTS_LIMIT.

    Args:
        last: sequence of the newest event, zero before the first.
        events: the retained events, oldest first, without gaps in their
            sequences.
    """

    last: int = 0
    events: tuple[Event, ...] = ()


class Compacted(Struct, frozen=True):
    """Result of a read of events that are no longer retained.

    Args:
        oldest: sequence of the oldest retained event.
    """

    oldest: int


def append_events(log: EventLog, events: list[Event]) -> EventLog:
    """Return a log with the events numbered and appended.

    The oldest events beyond EVENTS_LIMIT are dropped; the sequence numbers
    of the given events are ignored.
    """
    if not events:
        return log
    numbered = [
        Event(
            sequence=log.last + offset,
            type=event.type,
            at_ms=event.at_ms,
            version=event.version,
            key=event.key,
            resource=event.resource,
            move=event.move,
            faults=event.faults,
            request_id=event.request_id,
        )
        for offset, event in enumerate(events, start=1)
    ]
    kept = (*log.events, *numbered)[-EVENTS_LIMIT:]
    return EventLog(last=log.last + len(events), events=kept)


def events_after(
    log: EventLog,
    since: int,
    limit: int,
) -> tuple[Event, ...] | Compacted:
    """Return the events that follow a sequence.

    Args:
        log: the replicated event log.
        since: sequence of the last event that the watcher has received.
        limit: maximum number of events to return.

    Returns:
        The next events, oldest first, an empty tuple if there is no later
        event, or Compacted if some of them are no longer retained.
    """
    oldest = log.last - len(log.events) + 1
    if since < oldest - 1:
        return Compacted(oldest)
    start = since - oldest + 1
    return log.events[start : start + limit]
