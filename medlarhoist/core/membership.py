"""Membership: the nodes of a failure domain and the targets beside them.

A SWIM-like protocol without input or output: each period one random member is
probed, other members are asked to probe it if it does not reply, and a
suspected member may refute the suspicion. Records of a member are ordered by
incarnation, sequence and status; only the member itself raises the first two.
"""

import hashlib
from collections.abc import Iterable
from enum import IntEnum
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.target import Target

PROBE_PERIOD_SECONDS: Final = 1.0
PROBE_TIMEOUT_SECONDS: Final = 0.4
SUSPICION_SECONDS: Final = 3.0
# How long the record of a member that died or left is kept, so that an older
# record cannot revive it.
TOMBSTONE_SECONDS: Final = 600.0
RELAY_COUNT: Final = 3
PUSH_FANOUT: Final = 4
UPDATES_PER_PACKET: Final = 5
DIGEST_HEX_DIGITS: Final = 16
_RETRANSMIT_FACTOR: Final = 3


class MemberStatus(IntEnum):
    """Status of a member; the higher one wins at the same sequence.

    A dead member was suspected for too long; one that left stopped on purpose.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


_MISSING: Final = frozenset((MemberStatus.SUSPECT, MemberStatus.DEAD))


class Member(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Record of one node, which the members exchange.

    Args:
        name: name of the node.
        domain: its failure domain.
        gossip: address of its membership exchange (UDP).
        control: address of its control listener (gRPC).
        incarnation: grows with each start and refutation.
        sequence: grows with each change of its target, and when it leaves.
        status: alive, suspected, dead or left.
        target: the target beside it, None for none.
    """

    name: str
    domain: str
    gossip: str
    control: str
    incarnation: int
    sequence: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    target: Target | None = None

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key by which the newer record of a member wins."""
        return self.incarnation, self.sequence, int(self.status)


class MembershipState:
    """The members of a domain as one node has received them; mutable.

    Attributes:
        local_member: record of this node.
        members: records of the other nodes by name, tombstones included.
        changed_at: when each record last changed, monotonic seconds by name.
        send_counts: how often each record that is still to be spread was
            sent, by name.
        revision: grows with every change of a record.
    """

    __slots__ = (
        'changed_at',
        'local_member',
        'members',
        'revision',
        'send_counts',
    )

    def __init__(self, local_member: Member) -> None:
        """Start with the record of this node alone."""
        self.local_member = local_member
        self.members: dict[str, Member] = {}
        self.changed_at: dict[str, float] = {}
        self.send_counts: dict[str, int] = {local_member.name: 0}
        self.revision = 0


def merge_members(
    state: MembershipState,
    records: Iterable[Member],
    now: float,
    *,
    spread: bool = True,
) -> tuple[str, ...]:
    """Merge received records that are newer than those held.

    A record of this node that is newer than its own is refuted.

    Args:
        state: the members as this node has received them; updated.
        records: records that another node sent.
        now: monotonic seconds.
        spread: whether to send the changed records to other members; not
            for full exchanges, whose records have been spread before. After a
            refutation all of them are sent in any case.

    Returns:
        Names of the members whose record changed.
    """
    local_member = state.local_member
    changed = tuple(
        record.name for record in records if _merge_member(state, record, now)
    )
    if not spread and state.local_member is local_member:
        for name in changed:
            state.send_counts.pop(name, None)
    return changed


def set_target(state: MembershipState, target: Target | None) -> None:
    """Update the target beside this node, None for none, and spread it."""
    member = state.local_member
    _update_local(
        state, replace(member, target=target, sequence=member.sequence + 1)
    )


def leave(state: MembershipState) -> None:
    """Mark this node as left and spread it; called before it stops."""
    member = replace(
        state.local_member,
        target=None,
        sequence=state.local_member.sequence + 1,
        status=MemberStatus.LEFT,
    )
    _update_local(state, member)


def suspect(state: MembershipState, name: str, now: float) -> bool:
    """Suspect a member that replied to no probe.

    Args:
        state: the members as this node has received them; updated.
        name: name of the member.
        now: monotonic seconds.

    Returns:
        Whether its status changed; not if it is unknown or not alive.
    """
    member = state.members.get(name)
    if member is None or member.status is not MemberStatus.ALIVE:
        return False
    suspected = replace(member, status=MemberStatus.SUSPECT)
    return _merge_member(state, suspected, now)


def expire(state: MembershipState, now: float) -> tuple[str, ...]:
    """Declare long suspected members dead and remove old tombstones.

    A suspected member is declared dead after `SUSPICION_SECONDS`; a tombstone
    is the record of a member that died or left.

    Args:
        state: the members as this node has received them; updated.
        now: monotonic seconds.

    Returns:
        Names of the members that were declared dead.
    """
    dead = []
    for name, since in list(state.changed_at.items()):
        member = state.members[name]
        age = now - since
        if member.status is MemberStatus.SUSPECT:
            if age >= SUSPICION_SECONDS:
                expired = replace(member, status=MemberStatus.DEAD)
                _merge_member(state, expired, now)
                dead.append(name)
        elif member.status > MemberStatus.SUSPECT and age > TOMBSTONE_SECONDS:
            _remove_member(state, name)
    return tuple(dead)


def pop_updates(
    state: MembershipState,
    receiver: str,
) -> tuple[Member, ...]:
    """Return the records for the next packet, the least often sent first.

    Each record is sent a number of times that grows with the logarithm of the
    domain's size, and is then removed from `send_counts`. A receiver that is
    not held to be alive always gets its own record, so that it can refute.

    Args:
        state: the members as this node has received them; updated.
        receiver: name of the node that the packet goes to, empty if unknown.
    """
    limit = retransmissions(state)
    counts = state.send_counts
    by_count = sorted((count, name) for name, count in counts.items())
    names = [pending_name for _, pending_name in by_count[:UPDATES_PER_PACKET]]
    for name in names:
        counts[name] += 1
        if counts[name] >= limit:
            counts.pop(name)
    updates = [_record_of(state, pending_name) for pending_name in names]
    receiver_record = state.members.get(receiver)
    if receiver_record and receiver_record.status is not MemberStatus.ALIVE:
        updates.append(receiver_record)
    return tuple(record for record in updates if record is not None)


def retransmissions(state: MembershipState) -> int:
    """Return in how many packets this node sends a piece of news."""
    return _RETRANSMIT_FACTOR * (len(state.members) + 1).bit_length()


def live_members(state: MembershipState) -> tuple[Member, ...]:
    """Return the other members that are alive or suspected."""
    return tuple(
        member
        for member in state.members.values()
        if member.status <= MemberStatus.SUSPECT
    )


def is_missing(state: MembershipState, name: str) -> bool:
    """Return whether a member is suspected or dead."""
    member = state.members.get(name)
    return member is not None and member.status in _MISSING


def live_targets(state: MembershipState) -> tuple[Target, ...]:
    """Return the targets of the live members and of this node, by node."""
    members = (state.local_member, *live_members(state))
    targets = [member.target for member in members if member.target]
    return tuple(sorted(targets, key=lambda target: target.node))


def digest_members(state: MembershipState) -> str:
    """Return a digest of the live members and their record versions.

    Two nodes compare it to decide whether to exchange all records.
    """
    members = sorted(
        (member.name, member.incarnation, member.sequence)
        for member in (state.local_member, *live_members(state))
    )
    digest = hashlib.sha256(repr(members).encode())
    return digest.hexdigest()[:DIGEST_HEX_DIGITS]


def all_records(state: MembershipState) -> tuple[Member, ...]:
    """Return every record for a full exchange, this node's first."""
    return (state.local_member, *state.members.values())


def _record_of(state: MembershipState, name: str) -> Member | None:
    if name == state.local_member.name:
        return state.local_member
    return state.members.get(name)


def _merge_member(state: MembershipState, record: Member, now: float) -> bool:
    if record.domain != state.local_member.domain:
        return False
    if record.name == state.local_member.name:
        return _refute(state, record)
    current = state.members.get(record.name)
    if current is not None and record.order <= current.order:
        return False
    if current is None and record.status > MemberStatus.SUSPECT:
        return False
    state.members[record.name] = record
    state.changed_at[record.name] = now
    state.send_counts[record.name] = 0
    state.revision += 1
    return True


def _refute(state: MembershipState, record: Member) -> bool:
    """Raise the incarnation of this node above a newer record of it."""
    member = state.local_member
    if record.order <= member.order:
        return False
    _update_local(state, replace(member, incarnation=record.incarnation + 1))
    return True


def _update_local(state: MembershipState, member: Member) -> None:
    state.local_member = member
    state.send_counts[member.name] = 0
    state.revision += 1


def _remove_member(state: MembershipState, name: str) -> None:
    state.members.pop(name)
    state.changed_at.pop(name)
    state.send_counts.pop(name, None)
    state.revision += 1
