"""Membership: who is in a failure domain, and the targets beside them.

A SWIM-like protocol without input or output: one random member is probed a
period, others are asked to probe it where it stays silent, and a suspect may
refute. What is told of a member is ordered by incarnation, sequence and
status; only the member itself raises the first two.
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
TOMBSTONE_SECONDS: Final = 600.0
RELAY_COUNT: Final = 3
PUSH_FANOUT: Final = 4
UPDATES_PER_PACKET: Final = 5
DIGEST_HEX_DIGITS: Final = 16
_SPREAD_FACTOR: Final = 3


class MemberStatus(IntEnum):
    """What is believed of a member; the higher wins at the same sequence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One node, as it is told from member to member.

    Args:
        name: name of the node.
        domain: its failure domain.
        gossip: address of its membership exchange.
        control: address of its control listener.
        incarnation: grows with each start and refutation.
        sequence: grows with each change of its target.
        status: what is believed of it.
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
        """Return what decides between two records of the same member."""
        return self.incarnation, self.sequence, int(self.status)


class MembershipState:
    """What one node knows of its domain."""

    __slots__ = (
        'changed_at',
        'local_member',
        'members',
        'revision',
        'send_counts',
    )

    def __init__(self, own: Member) -> None:
        """Start with this node alone."""
        self.local_member = own
        self.members: dict[str, Member] = {}
        self.changed_at: dict[str, float] = {}
        self.send_counts: dict[str, int] = {own.name: 0}
        self.revision = 0


def merge_members(
    knowledge: MembershipState,
    records: Iterable[Member],
    now: float,
    *,
    spread: bool = True,
) -> tuple[str, ...]:
    """Take over every record that is newer than the one known.

    Args:
        knowledge: what this node knows; updated.
        records: members as another node told them.
        now: monotonic seconds.
        spread: whether to tell others; whole exchanges bring old news.

    Returns:
        Names of the members whose record changed.
    """
    own = knowledge.local_member
    changed = tuple(
        record.name
        for record in records
        if _merge_member(knowledge, record, now)
    )
    if not spread and knowledge.local_member is own:
        for name in changed:
            knowledge.send_counts.pop(name, None)
    return changed


def set_target(knowledge: MembershipState, target: Target | None) -> None:
    """Tell a change of the target beside this node."""
    own = knowledge.local_member
    _tell(knowledge, replace(own, target=target, sequence=own.sequence + 1))


def leave(knowledge: MembershipState) -> None:
    """Tell that this node stops on purpose."""
    own = replace(
        knowledge.local_member,
        target=None,
        sequence=knowledge.local_member.sequence + 1,
        status=MemberStatus.LEFT,
    )
    _tell(knowledge, own)


def suspect(knowledge: MembershipState, name: str, now: float) -> bool:
    """Suspect a member that answered no probe."""
    member = knowledge.members.get(name)
    if member is None or member.status is not MemberStatus.ALIVE:
        return False
    suspected = replace(member, status=MemberStatus.SUSPECT)
    return _merge_member(knowledge, suspected, now)


def expire(knowledge: MembershipState, now: float) -> tuple[str, ...]:
    """Declare long suspects dead and forget old tombstones.

    Returns:
        Names of the members that were declared dead.
    """
    dead = []
    for name, since in list(knowledge.changed_at.items()):
        member = knowledge.members[name]
        age = now - since
        if member.status is MemberStatus.SUSPECT:
            if age >= SUSPICION_SECONDS:
                gone = replace(member, status=MemberStatus.DEAD)
                _merge_member(knowledge, gone, now)
                dead.append(name)
        elif member.status > MemberStatus.SUSPECT and age > TOMBSTONE_SECONDS:
            _forget(knowledge, name)
    return tuple(dead)


def pop_updates(
    knowledge: MembershipState,
    receiver: str,
) -> tuple[Member, ...]:
    """Return the records to carry in the next packet, least told first.

    Each record is carried a number of times that grows with the logarithm
    of the domain's size. A receiver that is suspected always hears of it.
    """
    limit = _SPREAD_FACTOR * (len(knowledge.members) + 1).bit_length()
    pending = knowledge.send_counts
    by_use = sorted((count, name) for name, count in pending.items())
    names = [known for _, known in by_use[:UPDATES_PER_PACKET]]
    for name in names:
        pending[name] += 1
        if pending[name] >= limit:
            pending.pop(name)
    told = [_record(knowledge, known) for known in names]
    doubted = knowledge.members.get(receiver)
    if doubted and doubted.status is not MemberStatus.ALIVE:
        told.append(doubted)
    return tuple(record for record in told if record is not None)


def live_members(knowledge: MembershipState) -> tuple[Member, ...]:
    """Return the other members that are alive or merely suspected."""
    return tuple(
        member
        for member in knowledge.members.values()
        if member.status <= MemberStatus.SUSPECT
    )


def live_targets(knowledge: MembershipState) -> tuple[Target, ...]:
    """Return the targets of the live members and of this node, by node."""
    members = (knowledge.local_member, *live_members(knowledge))
    targets = [member.target for member in members if member.target]
    return tuple(sorted(targets, key=lambda target: target.node))


def digest_members(knowledge: MembershipState) -> str:
    """Return a digest of the live members and of what they say."""
    members = sorted(
        (member.name, member.incarnation, member.sequence)
        for member in (knowledge.local_member, *live_members(knowledge))
    )
    digest = hashlib.sha256(repr(members).encode())
    return digest.hexdigest()[:DIGEST_HEX_DIGITS]


def all_records(knowledge: MembershipState) -> tuple[Member, ...]:
    """Return every record, this node's first."""
    return (knowledge.local_member, *knowledge.members.values())


def _record(knowledge: MembershipState, name: str) -> Member | None:
    if name == knowledge.local_member.name:
        return knowledge.local_member
    return knowledge.members.get(name)


def _merge_member(
    knowledge: MembershipState, record: Member, now: float
) -> bool:
    if record.domain != knowledge.local_member.domain:
        return False
    if record.name == knowledge.local_member.name:
        return _refute(knowledge, record)
    known = knowledge.members.get(record.name)
    if known is not None and record.order <= known.order:
        return False
    if known is None and record.status > MemberStatus.SUSPECT:
        return False
    knowledge.members[record.name] = record
    knowledge.changed_at[record.name] = now
    knowledge.send_counts[record.name] = 0
    knowledge.revision += 1
    return True


def _refute(knowledge: MembershipState, record: Member) -> bool:
    own = knowledge.local_member
    if record.order <= own.order:
        return False
    _tell(knowledge, replace(own, incarnation=record.incarnation + 1))
    return True


def _tell(knowledge: MembershipState, own: Member) -> None:
    knowledge.local_member = own
    knowledge.send_counts[own.name] = 0
    knowledge.revision += 1


def _forget(knowledge: MembershipState, name: str) -> None:
    knowledge.members.pop(name)
    knowledge.changed_at.pop(name)
    knowledge.send_counts.pop(name, None)
    knowledge.revision += 1
