"""Probe: finds out which members of a failure domain answer.

The decisions take packets and time and return the packets to send; sockets
are in medlarhoist.node.gossip.
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
    RELAYS,
    Knowledge,
    Member,
    MemberStatus,
    expire,
    live_members,
    merge_members,
    suspect,
    take_updates,
)

RETRY_DEAD_PERIODS: Final = 5


class PacketKind(StrEnum):
    """What a packet asks for."""

    PROBE = 'probe'
    ACK = 'ack'
    RELAY = 'relay'
    PUSH = 'push'


class Packet(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One datagram.

    Args:
        kind: what it asks for.
        number: matches an acknowledgement with its probe.
        sender: the sending node, as it tells of itself.
        subject: gossip address that a relay shall probe.
        updates: news of other members.
    """

    kind: PacketKind
    number: int
    sender: Member
    subject: str = ''
    updates: tuple[Member, ...] = ()


class Outgoing(Struct, frozen=True):
    """A packet and the gossip address that it goes to."""

    address: str
    packet: Packet


class PendingRelay(Struct, frozen=True):
    """An acknowledgement that is owed to a member that asked."""

    address: str
    number: int


class Prober:
    """The probe that waits for an answer, and the relays owed."""

    __slots__ = (
        'asked_relays',
        'due',
        'knowledge',
        'probed_name',
        'probe_number',
        'queue',
        'relays',
        'slow',
        'started',
    )

    def __init__(self, knowledge: Knowledge) -> None:
        """Start without a probe."""
        self.knowledge = knowledge
        self.queue: list[str] = []
        self.relays: dict[int, PendingRelay] = {}
        self.slow: set[str] = set()
        self.probed_name = ''
        self.probe_number = 0
        self.probe_started_at: float = 0
        self.next_probe_at: float = 0
        self.asked_relays = False


def advance(prober: Prober, now: float, random: Random) -> list[Outgoing]:
    """Return the packets that are due; call it several times a period."""
    expire(prober.knowledge, now)
    if prober.probed_name and not prober.asked_relays:
        if now - prober.probe_started_at >= PROBE_TIMEOUT_SECONDS:
            prober.asked_relays = True
            return _ask_relays(prober, random)
    if now < prober.next_probe_at:
        return []
    if prober.probed_name:
        suspect(prober.knowledge, prober.probed_name, now)
    prober.next_probe_at = now + PROBE_PERIOD_SECONDS
    return _probe_next(prober, now, random)


def receive(
    prober: Prober,
    packet: Packet,
    now: float,
) -> list[Outgoing]:
    """Take one packet into account and return the answers to it."""
    knowledge = prober.knowledge
    merge_members(knowledge, (packet.sender, *packet.updates), now)
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


def push(prober: Prober, random: Random) -> list[Outgoing]:
    """Return packets that spread fresh news at once to a few members."""
    knowledge = prober.knowledge
    if 0 not in knowledge.pending.values():
        return []
    members = live_members(knowledge)
    chosen = random.sample(members, min(PUSH_FANOUT, len(members)))
    return [
        _send(prober, member.gossip, member.name, PacketKind.PUSH, 0)
        for member in chosen
    ]


def greet(prober: Prober, addresses: Iterable[str]) -> list[Outgoing]:
    """Return probes to addresses whose names are not known yet."""
    return [
        _send(prober, address, '', PacketKind.PROBE, 0)
        for address in addresses
        if address != prober.knowledge.own.gossip
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
        sender=prober.knowledge.own,
        updates=take_updates(prober.knowledge, name),
    )
    return Outgoing(address, packet)


def _probe_next(prober: Prober, now: float, random: Random) -> list[Outgoing]:
    prober.probed_name = ''
    prober.asked_relays = False
    member = _choose(prober, random)
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


def _choose(prober: Prober, random: Random) -> Member | None:
    knowledge = prober.knowledge
    if prober.probe_number % RETRY_DEAD_PERIODS == 0:
        silent = _dead_members(knowledge)
        if silent:
            prober.probe_number += 1
            return random.choice(silent)
    live = {member.name: member for member in live_members(knowledge)}
    prober.queue = [name for name in prober.queue if name in live]
    if not prober.queue:
        prober.queue = sorted(live)
        random.shuffle(prober.queue)
    return live[prober.queue.pop()] if prober.queue else None


def _dead_members(knowledge: Knowledge) -> list[Member]:
    return [
        member
        for member in knowledge.members.values()
        if member.status is MemberStatus.DEAD
    ]


def _ask_relays(prober: Prober, random: Random) -> list[Outgoing]:
    knowledge = prober.knowledge
    subject = knowledge.members[prober.probed_name].gossip
    others = [
        member
        for member in live_members(knowledge)
        if member.name != prober.probed_name
    ]
    chosen = random.sample(others, min(RELAYS, len(others)))
    packet = Packet(
        kind=PacketKind.RELAY,
        number=prober.probe_number,
        sender=knowledge.own,
        subject=subject,
    )
    return [Outgoing(member.gossip, packet) for member in chosen]


def _probe_for(prober: Prober, packet: Packet) -> list[Outgoing]:
    prober.probe_number += 1
    owed = PendingRelay(packet.sender.gossip, packet.number)
    prober.relays = dict(list(prober.relays.items())[-RELAYS * 8 :])
    prober.relays[prober.probe_number] = owed
    return [
        _send(prober, packet.subject, '', PacketKind.PROBE, prober.probe_number)
    ]


def _acknowledge(prober: Prober, packet: Packet) -> list[Outgoing]:
    owed = prober.relays.pop(packet.number, None)
    if owed is not None:
        return [_send(prober, owed.address, '', PacketKind.ACK, owed.number)]
    if prober.probed_name and packet.number == prober.probe_number:
        _note_answer(prober, packet.sender.name)
        prober.probed_name = ''
    return []


def _note_answer(prober: Prober, sender: str) -> None:
    if sender == prober.probed_name:
        prober.slow.discard(sender)
    else:
        prober.slow.add(prober.probed_name)
