"""Gossip: the membership exchange of a domain over UDP.

Each packet carries a keyed digest; others are counted and dropped. Whole
records are exchanged over gRPC at the start and now and then.
"""

import asyncio
from collections.abc import Iterable
from random import Random
from typing import Any, Final, cast

from loguru import logger
from msgspec import Struct

from medlarhoist.core.membership import (
    Member,
    MembershipState,
    MemberStatus,
    all_records,
    digest_members,
    leave,
    live_members,
    merge_members,
)
from medlarhoist.core.membership_probe import (
    Outgoing,
    Packet,
    Prober,
    advance,
    probe_addresses,
    push_updates,
    receive,
)
from medlarhoist.core.settings import NodeSettings
from medlarhoist.utils.tasks import cancel_all
from medlarhoist.wire.auth import is_signed, sign
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.codec import CodecError, decode, encode
from medlarhoist.wire.message import Sync
from medlarhoist.wire.procedures import SYNC
from medlarhoist.wire.rpc import Method, Serve

TICK_SECONDS: Final = 0.1
PUSH_DELAY_SECONDS: Final = 0.02
SYNC_SECONDS: Final = 30.0
LONELY_SECONDS: Final = 1.0
DIGEST_OCTETS: Final = 16


class GossipView(Struct, frozen=True, kw_only=True):
    """What a dump shows."""

    alive: int
    suspected: tuple[str, ...]
    dead: tuple[str, ...]
    left: tuple[str, ...]
    slow: tuple[str, ...]
    dropped_packets: int


class Gossip(asyncio.DatagramProtocol):
    """The membership exchange of one node."""

    def __init__(
        self,
        cfg: NodeSettings,
        knowledge: MembershipState,
        channels: Channels,
        random: Random,
    ) -> None:
        """Start with this node alone."""
        self._cfg = cfg
        self._key = cfg.shared_key.encode()
        self._knowledge = knowledge
        self._prober = Prober(knowledge)
        self._channels = channels
        self._random = random
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._push_due = False
        self.dropped = 0

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self._transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take one packet into account and answer it."""
        digest, body = data[:DIGEST_OCTETS], data[DIGEST_OCTETS:]
        if not is_signed(self._key, body, digest):
            self.dropped += 1
            return
        try:
            packet = decode(body, Packet)
        except CodecError:
            self.dropped += 1
            return
        self._channels.traffic.count_received(packet, len(data))
        loop = asyncio.get_running_loop()
        self._send(receive(self._prober, packet, loop.time()))
        self.schedule_push()

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams; the probes notice the silence."""

    def schedule_push(self) -> None:
        """Spread fresh news soon."""
        if self._push_due or 0 not in self._knowledge.send_counts.values():
            return
        self._push_due = True
        loop = asyncio.get_running_loop()
        loop.call_later(PUSH_DELAY_SECONDS, self._push)

    async def start(self) -> None:
        """Open the socket and begin to probe."""
        host, _, port = self._cfg.gossip.rpartition(':')
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self._tasks = [
            asyncio.ensure_future(self._probe_all()),
            asyncio.ensure_future(self._sync_all()),
        ]

    async def stop(self) -> None:
        """Tell the members that this node leaves, and close the socket."""
        leave(self._knowledge)
        await cancel_all(self._tasks)
        self._push()
        if self._transport:
            self._transport.close()

    def procedures(self) -> dict[Method, Serve]:
        """Return the procedure that exchanges whole records."""
        return {SYNC: self._serve_sync}

    async def sync(self, addresses: Iterable[str]) -> bool:
        """Exchange records with the first process that answers.

        They travel only where the digests differ.
        """
        for address in addresses:
            question = Sync(
                domain=self._cfg.domain,
                digest=digest_members(self._knowledge),
            )
            told = await self._channels.ask(address, SYNC, question)
            if told is None:
                continue
            if told.members:
                self._merge(told.members)
                mine = _records(self._knowledge)
                await self._channels.ask(address, SYNC, mine)
            return True
        return False

    def view(self) -> GossipView:
        """Return what a dump shows."""
        return GossipView(
            alive=len(live_members(self._knowledge)) + 1,
            suspected=_names(self._knowledge, MemberStatus.SUSPECT),
            dead=_names(self._knowledge, MemberStatus.DEAD),
            left=_names(self._knowledge, MemberStatus.LEFT),
            slow=tuple(sorted(self._prober.slow)),
            dropped_packets=self.dropped,
        )

    async def _serve_sync(self, stream: Any) -> None:
        told: Sync = await stream.recv_message()
        if told.domain == self._cfg.domain:
            self._merge(told.members)
        reply = _records(self._knowledge)
        if reply.digest == told.digest:
            reply = Sync(domain=reply.domain, digest=reply.digest)
        await stream.send_message(reply)

    def _merge(self, members: tuple[Member, ...]) -> None:
        now = asyncio.get_running_loop().time()
        merge_members(self._knowledge, members, now, spread=False)

    def _push(self) -> None:
        self._push_due = False
        self._send(push_updates(self._prober, self._random))

    def _send(self, outgoing: list[Outgoing]) -> None:
        for each in outgoing:
            body = encode(each.packet)
            data = sign(self._key, body) + body
            host, _, port = each.address.rpartition(':')
            if self._transport and not self._transport.is_closing():
                self._transport.sendto(data, (host, int(port)))
                self._channels.traffic.count_sent(each.packet, len(data))

    async def _probe_all(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            known = self._knowledge.revision
            self._send(advance(self._prober, loop.time(), self._random))
            if known != self._knowledge.revision:
                logger.debug('gossip: {}', self.view())
            self.schedule_push()
            await asyncio.sleep(TICK_SECONDS)

    async def _sync_all(self) -> None:
        while True:
            members = live_members(self._knowledge)
            if members:
                chosen = self._random.choice(members)
                await self.sync((chosen.control,))
                await asyncio.sleep(
                    SYNC_SECONDS * self._random.uniform(0.5, 1.5)
                )
            else:
                self._send(probe_addresses(self._prober, self._cfg.seeds))
                await asyncio.sleep(LONELY_SECONDS)


def _names(knowledge: MembershipState, status: MemberStatus) -> tuple[str, ...]:
    names = [
        name
        for name, member in knowledge.members.items()
        if member.status is status
    ]
    return tuple(sorted(names))


def _records(knowledge: MembershipState) -> Sync:
    return Sync(
        domain=knowledge.local_member.domain,
        digest=digest_members(knowledge),
        members=all_records(knowledge),
    )


def create_knowledge(cfg: NodeSettings, now_ms: int) -> MembershipState:
    """Return what a starting node knows of its domain.

    Args:
        cfg: settings of the node.
        now_ms: milliseconds since 1970; a later start has a higher one.
    """
    own = Member(
        name=cfg.name,
        domain=cfg.domain,
        gossip=cfg.gossip,
        control=cfg.control,
        incarnation=now_ms,
    )
    return MembershipState(own)
