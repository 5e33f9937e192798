"""Probe: detects which members of a failure domain are unresponsive.

The functions take packets and the time and return the packets to send; the
socket is in medlarhoist.node.gossip.
"""

from collections.abc import Iterable
from enum import StrEnum
from random import Random
from typing import Final

from msgspec import Struct

from medlarhoist.core.membership import (
    PROBE_PERIOD_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    PUSH_FANOUT,
    RELAY_COUNT,
    Member,
    MembershipState,
    MemberStatus,
    expire,
    live_members,
    merge_members,
    pop_updates,
    suspect,
)
from medlarhoist.core.quarantine import Suspicion
from medlarhoist.core.withdrawal import Withdrawal

RETRY_DEAD_PERIODS: Final = 5


class PacketKind(StrEnum):
    """Purpose of a packet.

    A probe asks for an acknowledgement (ack); a relay asks the receiver to
    probe a third member; a push only contains updates.
    """

    PROBE = 'probe'
    ACK = 'ack'
    RELAY = 'relay'
    PUSH = 'push'


class Packet(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One datagram.

    Args:
        kind: its purpose.
        number: matches an acknowledgement with its probe.
        sender: record of the sending node.
        subject: gossip address that the receiver of a relay shall probe.
        updates: records of members that have changed.
        suspicions: records of requests that are suspected to crash targets.
        withdrawals: runs of targets of this domain that drain or have left.
        version: configuration version that is established at the sender.
    """

    kind: PacketKind
    number: int
    sender: Member
    subject: str = ''
    updates: tuple[Member, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    withdrawals: tuple[Withdrawal, ...] = ()
    version: int = 0


class Outgoing(Struct, frozen=True):
    """A packet and the gossip address to send it to."""

    address: str
    packet: Packet


class PendingRelay(Struct, frozen=True):
    """An acknowledgement to send once the probed member has replied.

    Args:
        address: gossip address of the member that asked for the relay.
        number: number of its probe.
    """

    address: str
    number: int


class Prober:
    """The probe that awaits a reply, and the relays to acknowledge.

    Attributes:
        membership: the members as this node has received them.
        next_probe_at: when the next period begins, monotonic seconds.
        pending_relays: relays to acknowledge, by the number of the probe.
        probe_number: number of the last probe.
        probe_queue: names of the members still to probe in this round.
        probe_started_at: when the current probe was sent, monotonic seconds.
        probed_name: member whose reply is awaited, empty for none.
        relays_requested: whether relays were asked for the current probe.
        slow: members that last replied through a relay only.
    """

    __slots__ = (
        'membership',
        'next_probe_at',
        'pending_relays',
        'probe_number',
        'probe_queue',
        'probe_started_at',
        'probed_name',
        'relays_requested',
        'slow',
    )

    def __init__(self, membership: MembershipState) -> None:
        """Start without a probe; the first one is sent at once."""
        self.membership = membership
        self.probe_queue: list[str] = []
        self.pending_relays: dict[int, PendingRelay] = {}
        self.slow: set[str] = set()
        self.probed_name = ''
        self.probe_number = 0
        self.probe_started_at: float = 0
        self.next_probe_at: float = 0
        self.relays_requested = False


def advance(prober: Prober, now: float, random: Random) -> list[Outgoing]:
    """Return the packets to send now; call it several times a period.

    Suspects the probed member at the end of its period, and expires members
    that were suspected for too long.
    """
    expire(prober.membership, now)
    if prober.probed_name and not prober.relays_requested:
        if now - prober.probe_started_at >= PROBE_TIMEOUT_SECONDS:
            prober.relays_requested = True
            return _request_relays(prober, random)
    if now < prober.next_probe_at:
        return []
    if prober.probed_name:
        suspect(prober.membership, prober.probed_name, now)
    prober.next_probe_at = now + PROBE_PERIOD_SECONDS
    return _probe_next(prober, now, random)


def receive(
    prober: Prober,
    packet: Packet,
    now: float,
) -> list[Outgoing]:
    """Merge the records of a received packet and return the replies."""
    membership = prober.membership
    merge_members(membership, (packet.sender, *packet.updates), now)
    sender = packet.sender
    if packet.kind is PacketKind.PROBE:
        return [
            _send(
                prober,
                sender.gossip,
                sender.name,
                PacketKind.ACK,
                packet.number,
            )
        ]
    if packet.kind is PacketKind.RELAY:
        return _probe_for(prober, packet)
    if packet.kind is PacketKind.ACK:
        return _acknowledge(prober, packet)
    return []


def push_updates(
    prober: Prober,
    random: Random,
    *,
    has_news: bool = False,
) -> list[Outgoing]:
    """Return packets that send unsent updates to a few random members.

    Empty where every update has been sent at least once.

    Args:
        prober: the probes of this node.
        random: chooses the members.
        has_news: whether there is anything else to send.
    """
    membership = prober.membership
    if not has_news and 0 not in membership.send_counts.values():
        return []
    members = live_members(membership)
    receivers = random.sample(members, min(PUSH_FANOUT, len(members)))
    return [
        _send(prober, member.gossip, member.name, PacketKind.PUSH, 0)
        for member in receivers
    ]


def probe_addresses(prober: Prober, addresses: Iterable[str]) -> list[Outgoing]:
    """Return probes to addresses whose members' names are unknown.

    Used for the seeds of the settings; this node's own address is skipped.
    """
    return [
        _send(prober, address, '', PacketKind.PROBE, 0)
        for address in addresses
        if address != prober.membership.local_member.gossip
    ]


def _send(
    prober: Prober,
    address: str,
    name: str,
    kind: PacketKind,
    number: int,
) -> Outgoing:
    packet = Packet(
        kind=kind,
        number=number,
        sender=prober.membership.local_member,
        updates=pop_updates(prober.membership, name),
    )
    return Outgoing(address, packet)


def _probe_next(prober: Prober, now: float, random: Random) -> list[Outgoing]:
    prober.probed_name = ''
    prober.relays_requested = False
    member = _select_member(prober, random)
    if member is None:
        return []
    prober.probe_number += 1
    if member.status <= MemberStatus.SUSPECT:
        prober.probed_name = member.name
        prober.probe_started_at = now
    return [
        _send(
            prober,
            member.gossip,
            member.name,
            PacketKind.PROBE,
            prober.probe_number,
        )
    ]


def _select_member(prober: Prober, random: Random) -> Member | None:
    membership = prober.membership
    if prober.probe_number % RETRY_DEAD_PERIODS == 0:
        dead = _dead_members(membership)
        if dead:
            prober.probe_number += 1
            return random.choice(dead)
    live = {member.name: member for member in live_members(membership)}
    prober.probe_queue = [name for name in prober.probe_queue if name in live]
    if not prober.probe_queue:
        prober.probe_queue = sorted(live)
        random.shuffle(prober.probe_queue)
    return live[prober.probe_queue.pop()] if prober.probe_queue else None


def _dead_members(membership: MembershipState) -> list[Member]:
    return [
        member
        for member in membership.members.values()
        if member.status is MemberStatus.DEAD
    ]


def _request_relays(prober: Prober, random: Random) -> list[Outgoing]:
    membership = prober.membership
    subject = membership.members[prober.probed_name].gossip
    others = [
        member
        for member in live_members(membership)
        if member.name != prober.probed_name
    ]
    receivers = random.sample(others, min(RELAY_COUNT, len(others)))
    packet = Packet(
        kind=PacketKind.RELAY,
        number=prober.probe_number,
        sender=membership.local_member,
        subject=subject,
    )
    return [Outgoing(member.gossip, packet) for member in receivers]


def _probe_for(prober: Prober, packet: Packet) -> list[Outgoing]:
    prober.probe_number += 1
    relay = PendingRelay(packet.sender.gossip, packet.number)
    prober.pending_relays = dict(
        list(prober.pending_relays.items())[-RELAY_COUNT * 8 :]
    )
    prober.pending_relays[prober.probe_number] = relay
    return [
        _send(prober, packet.subject, '', PacketKind.PROBE, prober.probe_number)
    ]


def _acknowledge(prober: Prober, packet: Packet) -> list[Outgoing]:
    relay = prober.pending_relays.pop(packet.number, None)
    if relay is not None:
        return [_send(prober, relay.address, '', PacketKind.ACK, relay.number)]
    if prober.probed_name and packet.number == prober.probe_number:
        _record_ack(prober, packet.sender.name)
        prober.probed_name = ''
    return []


def _record_ack(prober: Prober, sender: str) -> None:
    if sender == prober.probed_name:
        prober.slow.discard(sender)
    else:
        prober.slow.add(prober.probed_name)
