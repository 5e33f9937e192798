"""Commands in the replicated log of the sources, and their outcomes.

Commands are applied in log order by medlarhoist.source.transition, which
computes the same result on every source.
"""

from enum import StrEnum
from typing import Final

from msgspec import Struct

from medlarhoist.core.resource import Change, Fault, Resource

UNKNOWN_VERSION: Final = 0


class Status(StrEnum):
    """Status of an operator request.

    Pending means that its version is staged and neither activated nor
    abandoned yet; busy that another version is staged and nothing was done.
    """

    PENDING = 'pending'
    BUSY = 'busy'
    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    CONFLICT = 'conflict'
    ABANDONED = 'abandoned'


class MovePhase(StrEnum):
    """Phase of a move, the rollout of a target version."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled-back'


class Apply(Struct, frozen=True, kw_only=True, tag='apply'):
    """Applies an operator's set of changes atomically.

    Args:
        request_id: idempotency key chosen by the operator's tool; a resend
            repeats it.
        operator: name of the operator, for the audit log.
        changes: applied atomically, all or none.
        at_ms: time at the leader, milliseconds since 1970.
    """

    request_id: str
    operator: str
    changes: tuple[Change, ...]
    at_ms: int


class Replace(Struct, frozen=True, kw_only=True, tag='replace'):
    """Replaces the configuration in force by a complete new one.

    Args:
        request_id: idempotency key chosen by the operator's tool; a resend
            repeats it.
        operator: name of the operator, for the audit log.
        revision: the operator's own number for the configuration; must be
            higher than that of the revision in force.
        base: the operator's revision that this one replaces, zero for none;
            a conflict unless it is in force.
        resources: every service, route and limits record; any that is not
            included is deleted.
        document: the operator's own form of the configuration, returned
            unchanged on read.
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
        absent: failure domains that did not stage the version, and nodes
            that did not (as domain/node).
    """

    version: int
    at_ms: int
    absent: tuple[str, ...] = ()


class Abandon(Struct, frozen=True, kw_only=True, tag='abandon'):
    """Discards the staged version, which no node has routed by.

    Args:
        version: the staged version.
        at_ms: time at the leader, milliseconds since 1970.
        faults: why nodes refused the version.
    """

    version: int
    at_ms: int
    faults: tuple[Fault, ...]


class StepMove(Struct, frozen=True, kw_only=True, tag='step-move'):
    """Changes the share of a move, or ends the move.

    Args:
        move: name of the move.
        expected_step: number of steps made when the decision was taken; the
            command is refused if another step was made since.
        basis_points: the new version's share of the calls, of 10,000.
        phase: phase of the move after this step.
        reason: short sentence for the operator.
        evidence: summary of the call results behind the decision, a line
            per route.
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
    """The keepers of one failure domain, the voting nodes of its quorum.

    A version is put in force once a majority of the keepers holds it. From a
    majority, a restarted node reads the floor: the lowest version that it may
    serve.

    Args:
        domain: name of the failure domain.
        epoch: incremented with every change of the set.
        members: addresses (host:port) of the keepers by node name.
        previous: members of the preceding set; the new set establishes no
            version until a majority of these has received the epoch.
        forced: whether an operator has waived that condition.
    """

    domain: str
    epoch: int
    members: dict[str, str]
    previous: dict[str, str] = {}
    forced: bool = False


class AssignKeepers(Struct, frozen=True, kw_only=True, tag='assign-keepers'):
    """Replaces the keeper set of one failure domain.

    Args:
        keepers: the new set; refused unless its epoch is one higher than
            that of the set in force.
        at_ms: time at the leader, milliseconds since 1970.
    """

    keepers: KeeperSet
    at_ms: int


Command = Apply | Replace | Activate | Abandon | StepMove | AssignKeepers


class Outcome(Struct, frozen=True, kw_only=True):
    """Result of one command.

    Args:
        status: final status, or pending while its version is staged.
        version: configuration version that includes the command's changes,
            zero if there is none.
        faults: why the command was refused or its version abandoned.
        absent: failure domains that had not staged the version when it was
            activated, and nodes that had not (as domain/node).
        at_ms: when the command was applied, milliseconds since 1970.
        fingerprint: digest of the requested changes, to detect a request id
            that is reused for other changes.
    """

    status: Status
    version: int = UNKNOWN_VERSION
    faults: tuple[Fault, ...] = ()
    absent: tuple[str, ...] = ()
    at_ms: int = 0
    fingerprint: str = ''


class MoveState(Struct, frozen=True, kw_only=True):
    """Replicated state of one move, the rollout of a target version.

    Args:
        move: name of the move.
        service: name of the service.
        old: label of the old version.
        new: label of the new version.
        deadline_ms: latest end of the move, milliseconds since 1970.
        bake_ms: time at full share before completion, milliseconds.
        phase: whether the move is running, completed or rolled back.
        step: number of steps made so far.
        basis_points: the new version's share of the calls, of 10,000.
        started_ms: when the move was accepted, milliseconds since 1970.
        stepped_ms: when the last step was made, milliseconds since 1970.
        reason: short sentence on the last decision, for the operator.
        evidence: summary of the call results behind the last decision, a
            line per route.
        decided_by: name of the source or operator that decided last.
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
