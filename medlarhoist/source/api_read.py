"""Reads of the resource API, as pure functions of the replicated state."""

from typing import Final

from medlarhoist.core.api_messages import EventPage, MoveList, ResourceList
from medlarhoist.core.event import Compacted, Event, EventType, events_after
from medlarhoist.core.state import State

EVENTS_PER_RESPONSE: Final = 500


def select_resources(state: State, kind: str, name: str) -> ResourceList:
    """Return the resources in force, sorted by kind and name.

    Args:
        state: the replicated state.
        kind: kind of the resources, empty for all kinds.
        name: name of the resource, empty for all of the kind.
    """
    entries = [
        entry
        for _, entry in sorted(state.entries.items())
        if kind in {'', entry.key.kind} and name in {'', entry.key.name}
    ]
    return ResourceList(
        version=state.active.version,
        sequence=state.events.last,
        entries=tuple(entries),
    )


def select_moves(state: State, name: str) -> MoveList:
    """Return the moves, that is, the rollouts of target versions.

    Args:
        state: the replicated state.
        name: the move to return with the events of its steps, as far as they
            are kept; empty for all moves without events.
    """
    moves = [
        move
        for _, move in sorted(state.moves.items())
        if name in {'', move.move}
    ]
    steps = [event for event in state.events.events if _is_step_of(event, name)]
    return MoveList(moves=tuple(moves), steps=tuple(steps))


def select_events(state: State, since: int) -> EventPage | Compacted:
    """Return the events after a sequence number, oldest first.

    At most EVENTS_PER_RESPONSE are returned; the next request continues after
    them.

    Returns:
        The events, or Compacted if some of them are no longer kept.
    """
    events = events_after(state.events, since, EVENTS_PER_RESPONSE)
    if isinstance(events, Compacted):
        return events
    newest = events[-1].sequence if events else since
    return EventPage(events=events, next=newest)


def _is_step_of(event: Event, move: str) -> bool:
    if event.type is not EventType.MOVE or event.key is None:
        return False
    return event.key.name == move
