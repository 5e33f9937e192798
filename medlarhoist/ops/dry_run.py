"""Checks changes as a source would, without sending them."""

from medlarhoist.core.command import Apply, MoveState
from medlarhoist.core.resource import Change, Fault
from medlarhoist.core.state import Entry, State
from medlarhoist.source.transition_apply import apply_changes
from medlarhoist.utils.clock import wall_ms


def try_changes(
    entries: tuple[Entry, ...],
    moves: tuple[MoveState, ...],
    changes: tuple[Change, ...],
) -> tuple[Fault, ...]:
    """Return the faults for which a source would refuse changes.

    Args:
        entries: resources in force.
        moves: current moves (rollouts of a target version).
        changes: changes to check.

    Returns:
        The faults; empty if a source would accept the changes.
    """
    state = State(
        last_version=max((entry.version for entry in entries), default=0),
        entries={
            f'{entry.key.kind}/{entry.key.name}': entry for entry in entries
        },
        moves={move.move: move for move in moves},
    )
    command = Apply(
        request_id='dry-run',
        operator='',
        changes=changes,
        at_ms=wall_ms(),
    )
    _, outcome = apply_changes(state, command)
    return outcome.faults
