"""Command: what the sources replicate, and the outcomes of it.

Commands are applied in log order by medlarhoist.source.transition; the result is
the same on every source.
"""

from enum import StrEnum
from typing import Final

from msgspec import Struct

from medlarhoist.core.resource import Change, Fault, Resource

UNKNOWN_VERSION: Final = 0


class Status(StrEnum):
    """The end, or the present state, of an operator request.

    Busy means that another version is staged and nothing was done.
    """

    PENDING = 'pending'
    BUSY = 'busy'
    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    CONFLICT = 'conflict'
    ABANDONED = 'abandoned'


class MovePhase(StrEnum):
    """Where a move stands."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled-back'


class Apply(Struct, frozen=True, kw_only=True, tag='apply'):
    """An operator's atomic set of changes.

    Args:
        request_id: chosen by the operator tool; a resend has the same.
        operator: name of the operator, for the audit log.
        changes: all of them are made or none.
        at_ms: time at the leader, milliseconds since 1970.
    """

    request_id: str
    operator: str
    changes: tuple[Change, ...]
    at_ms: int


class Replace(Struct, frozen=True, kw_only=True, tag='replace'):
    """An operator's whole configuration, in place of the one in force.

    Args:
        request_id: chosen by the operator tool; a resend has the same.
        operator: name of the operator, for the audit log.
        revision: the operator's own number of the configuration; grows.
        base: revision that it builds on, zero for none.
        resources: every service, route and limit; others are deleted.
        document: what the operator sent, given back unchanged.
        at_ms: time at the leader, milliseconds since 1970.
    """

    request_id: str
    operator: str
    revision: int
    base: int
    resources: tuple[Resource, ...]
    document: bytes
    at_ms: int


class Activate(Struct, frozen=True, kw_only=True, tag='activate'):
    """Puts the staged version in force.

    Args:
        version: the staged version.
        at_ms: time at the leader, milliseconds since 1970.
        absent: failure domains that could not be reached while staging.
    """

    version: int
    at_ms: int
    absent: tuple[str, ...] = ()


class Abandon(Struct, frozen=True, kw_only=True, tag='abandon'):
    """Gives the staged version up; no node has served it."""

    version: int
    at_ms: int
    faults: tuple[Fault, ...]


class StepMove(Struct, frozen=True, kw_only=True, tag='step-move'):
    """Sets the share of a move, or ends it.

    Args:
        move: name of the move.
        expected_step: step that the decision was made at; otherwise nothing
            happens.
        basis_points: new share of the new version, of 10,000.
        phase: running, completed or rolled back.
        reason: short sentence for the operator.
        evidence: summary of what the decision rests on, a line per route.
        at_ms: time at the leader, milliseconds since 1970.
        decided_by: name of the source that decided.
    """

    move: str
    expected_step: int
    basis_points: int
    phase: MovePhase
    reason: str
    evidence: tuple[str, ...] = ()
    at_ms: int
    decided_by: str = ''


class KeeperSet(Struct, frozen=True, kw_only=True):
    """The nodes that hold the floor of one failure domain.

    Args:
        domain: the failure domain.
        epoch: grows by one with every change of the set.
        members: addresses (host:port) of the keepers by node name.
        previous: the members of the set before; a majority of these must
            know the epoch before the new set establishes a version.
        forced: whether an operator waived that.
    """

    domain: str
    epoch: int
    members: dict[str, str]
    previous: dict[str, str] = {}
    forced: bool = False


class AssignKeepers(Struct, frozen=True, kw_only=True, tag='assign-keepers'):
    """Replaces the keepers of one failure domain."""

    keepers: KeeperSet
    at_ms: int


Command = Apply | Replace | Activate | Abandon | StepMove | AssignKeepers


class Outcome(Struct, frozen=True, kw_only=True):
    """What became of one command.

    Args:
        status: the end of it, pending while its version is staged.
        version: configuration version that carries it.
        faults: the reasons of a refusal.
        absent: failure domains that were not reached before it was accepted.
        at_ms: when the command was applied, milliseconds since 1970.
        fingerprint: digest of the changes asked for, so that a request id
            used twice for different changes is noticed.
    """

    status: Status
    version: int = UNKNOWN_VERSION
    faults: tuple[Fault, ...] = ()
    absent: tuple[str, ...] = ()
    at_ms: int = 0
    fingerprint: str = ''


class MoveState(Struct, frozen=True, kw_only=True):
    """The replicated record of one move.

    Args:
        move: name of the move.
        service: name of the service.
        old: label of the old version.
        new: label of the new version.
        deadline_ms: end of the move, milliseconds since 1970.
        bake_ms: time at full share before completion, milliseconds.
        phase: running, completed or rolled back.
        step: number of steps made so far.
        basis_points: share of the new version, of 10,000.
        started_ms: when it was accepted.
        stepped_ms: when the last step was made.
        reason: why it stands where it stands.
        evidence: summary of what the last decision rested on.
        decided_by: who decided last: a source, or an operator.
    """

    move: str
    service: str
    old: str
    new: str
    deadline_ms: int
    bake_ms: int
    phase: MovePhase = MovePhase.RUNNING
    step: int = 0
    basis_points: int = 0
    started_ms: int = 0
    stepped_ms: int = 0
    reason: str = 'accepted'
    evidence: tuple[str, ...] = ()
    decided_by: str = ''
