"""Reads of the resource API: pure views of the replicated state."""

from typing import Final

from medlarhoist.core.api_messages import Events, Moves, Resources
from medlarhoist.core.event import Compacted, Event, EventType, events_after
from medlarhoist.core.state import State

EVENTS_PER_ANSWER: Final = 500


def select_resources(state: State, kind: str, name: str) -> Resources:
    """Return the resources of a kind, or one of them; empty means any."""
    entries = [
        entry
        for _, entry in sorted(state.entries.items())
        if kind in {'', entry.key.kind} and name in {'', entry.key.name}
    ]
    return Resources(
        version=state.active.version,
        sequence=state.events.last,
        entries=tuple(entries),
    )


def select_moves(state: State, name: str) -> Moves:
    """Return all moves, or one with the events of its steps."""
    moves = [
        move
        for _, move in sorted(state.moves.items())
        if name in {'', move.move}
    ]
    steps = [event for event in state.events.events if _tells_of(event, name)]
    return Moves(moves=tuple(moves), steps=tuple(steps))


def select_events(state: State, since: int) -> Events | Compacted:
    """Return the events that follow a sequence, a bounded number."""
    events = events_after(state.events, since, EVENTS_PER_ANSWER)
    if isinstance(events, Compacted):
        return events
    newest = events[-1].sequence if events else since
    return Events(events=events, next=newest)


def _tells_of(event: Event, move: str) -> bool:
    if event.type is not EventType.MOVE or event.key is None:
        return False
    return event.key.name == move
