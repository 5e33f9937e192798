"""Gossip: exchanges the membership of a failure domain over UDP.

Each packet carries a keyed digest; packets without a valid one are dropped and
counted. All records are exchanged over gRPC at the start and periodically.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Final, cast

from loguru import logger
from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.membership import (
    Member,
    MembershipState,
    MemberStatus,
    all_records,
    digest_members,
    leave,
    live_members,
    merge_members,
    retransmissions,
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
from medlarhoist.core.shared_records import SharedRecords
from medlarhoist.utils.clock import monotonic_seconds
from medlarhoist.utils.tasks import cancel_all
from medlarhoist.wire.auth import is_signed, sign
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.codec import CODEC_ERRORS, decode, encode
from medlarhoist.wire.message import Sync
from medlarhoist.wire.procedures import SYNC
from medlarhoist.wire.rpc import Method, StreamHandler

TICK_SECONDS: Final = 0.1
PUSH_DELAY_SECONDS: Final = 0.02
SYNC_INTERVAL_SECONDS: Final = 30.0
SEED_PROBE_INTERVAL_SECONDS: Final = 1.0
DIGEST_OCTETS: Final = 16
# Members that a node probes at once for their versions.
PROBED: Final = 2


class GossipView(Struct, frozen=True, kw_only=True):
    """State of the membership exchange, as shown in a dump.

    Args:
        alive: members that are alive or suspected, this node included.
        suspected: members that are suspected to be unavailable.
        dead: members that were suspected for too long.
        left: members that stopped on purpose.
        slow: members that last replied through a relay only.
        dropped_packets: packets received without a valid digest or content.
    """

    alive: int
    suspected: tuple[str, ...]
    dead: tuple[str, ...]
    left: tuple[str, ...]
    slow: tuple[str, ...]
    dropped_packets: int


class Gossip(asyncio.DatagramProtocol):
    """The membership exchange of one node.

    Attributes:
        on_version: called with the established version of the sender of each
            packet of the domain, and with its record.
        read_version: returns the version that is established at this node.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        membership: MembershipState,
        channels: Channels,
        random: Random,
        shared: SharedRecords,
    ) -> None:
        """Create the exchange; see start.

        Args:
            cfg: settings of the node.
            membership: the members as this node has received them; updated.
            channels: connections to the control listeners of other processes.
            random: chooses members and spreads the exchanges in time.
            shared: what it holds for other nodes; updated.
        """
        self._shared = shared
        self._cfg = cfg
        self._key = cfg.shared_key.encode()
        self._membership = membership
        self._prober = Prober(membership)
        self._channels = channels
        self._random = random
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._push_scheduled = False
        self.read_version: Callable[[], int] = int
        self.on_version: Callable[[int, Member], None] = _ignore_version
        self.dropped = 0

    def connection_made(self, transport: Any) -> None:
        """Store the transport of the opened socket."""
        self._transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Merge a packet and send the replies; drop it if it is not valid."""
        digest, body = data[:DIGEST_OCTETS], data[DIGEST_OCTETS:]
        if not is_signed(self._key, body, digest):
            self.dropped += 1
            return
        try:
            packet = decode(body, Packet)
        except CODEC_ERRORS:
            self.dropped += 1
            return
        self._channels.traffic.count_received(packet, len(data))
        loop = asyncio.get_running_loop()
        self._shared.merge(packet, monotonic_seconds())
        if packet.sender.domain == self._cfg.domain:
            self.on_version(packet.version, packet.sender)
        self._send(receive(self._prober, packet, loop.time()))
        self.schedule_push()

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams; probes detect unresponsive members."""

    def probe_some(self) -> None:
        """Probe a few random members, whose replies tell their versions."""
        members = live_members(self._membership)
        probed = self._random.sample(members, min(PROBED, len(members)))
        self._send(
            probe_addresses(self._prober, [member.gossip for member in probed])
        )

    def schedule_push(self) -> None:
        """Push records not sent yet, after `PUSH_DELAY_SECONDS`."""
        has_updates = 0 in self._membership.send_counts.values()
        if not has_updates and not self._shared.has_unsent():
            return
        if self._push_scheduled:
            return
        self._push_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(PUSH_DELAY_SECONDS, self.push)

    def push(self, *, has_news: bool = False) -> None:
        """Push records not sent yet to a few random members.

        Args:
            has_news: whether to push in any case, as the version is news.
        """
        self._push_scheduled = False
        has_news = has_news or self._shared.has_unsent()
        self._send(push_updates(self._prober, self._random, has_news=has_news))

    async def start(self) -> None:
        """Open the socket and start to probe and synchronize.

        Raises:
            OSError: the address is not available.
        """
        self._shared.on_change(self.schedule_push)
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
        """Announce that this node leaves, and close the socket."""
        leave(self._membership)
        await cancel_all(self._tasks)
        self.push()
        if self._transport:
            self._transport.close()

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedure that exchanges all records, to be served."""
        return {SYNC: self._serve_sync}

    async def sync(self, addresses: Iterable[str]) -> bool:
        """Exchange all records with the first process that replies.

        Records are sent only if the digests of the two processes differ.

        Args:
            addresses: control addresses, tried in order.

        Returns:
            Whether any process replied.
        """
        for address in addresses:
            request = Sync(
                domain=self._cfg.domain,
                digest=digest_members(self._membership),
            )
            request = self._shared.attach(request, monotonic_seconds())
            reply = await self._channels.try_call(address, SYNC, request)
            if reply is None:
                continue
            self._shared.merge(reply, monotonic_seconds())
            if reply.members:
                _merge(self._membership, reply.members)
                full_sync = _create_full_sync(self._membership)
                await self._channels.try_call(address, SYNC, full_sync)
            return True
        return False

    def view(self) -> GossipView:
        """Return the state of the exchange for a dump."""
        return GossipView(
            alive=len(live_members(self._membership)) + 1,
            suspected=_names_with_status(
                self._membership, MemberStatus.SUSPECT
            ),
            dead=_names_with_status(self._membership, MemberStatus.DEAD),
            left=_names_with_status(self._membership, MemberStatus.LEFT),
            slow=tuple(sorted(self._prober.slow)),
            dropped_packets=self.dropped,
        )

    async def _serve_sync(self, stream: Any) -> None:
        request: Sync = await stream.recv_message()
        if request.domain == self._cfg.domain:
            _merge(self._membership, request.members)
        self._shared.merge(request, monotonic_seconds())
        reply = _create_full_sync(self._membership)
        if reply.digest == request.digest:
            reply = Sync(domain=reply.domain, digest=reply.digest)
        reply = self._shared.attach(reply, monotonic_seconds())
        await stream.send_message(reply)

    def _send(self, outgoing: list[Outgoing]) -> None:
        now = monotonic_seconds()
        limit = retransmissions(self._membership)
        for datagram in outgoing:
            packet = replace(
                self._shared.attach_updates(datagram.packet, limit, now),
                version=self.read_version(),
            )
            body = encode(packet)
            data = sign(self._key, body) + body
            host, _, port = datagram.address.rpartition(':')
            if self._transport and not self._transport.is_closing():
                self._transport.sendto(data, (host, int(port)))
                self._channels.traffic.count_sent(packet, len(data))

    async def _probe_all(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            revision = self._membership.revision
            self._send(advance(self._prober, loop.time(), self._random))
            if revision != self._membership.revision:
                logger.debug('gossip: {}', self.view())
            self.schedule_push()
            await asyncio.sleep(TICK_SECONDS)

    async def _sync_all(self) -> None:
        """Exchange all records with a random live member periodically.

        A node without live members probes its seeds until one replies.
        """
        while True:
            members = live_members(self._membership)
            if members:
                member = self._random.choice(members)
                await self.sync((member.control,))
                await asyncio.sleep(
                    SYNC_INTERVAL_SECONDS * self._random.uniform(0.5, 1.5)
                )
            else:
                self._send(probe_addresses(self._prober, self._cfg.seeds))
                await asyncio.sleep(SEED_PROBE_INTERVAL_SECONDS)


def _names_with_status(
    membership: MembershipState, status: MemberStatus
) -> tuple[str, ...]:
    names = [
        name
        for name, member in membership.members.items()
        if member.status is status
    ]
    return tuple(sorted(names))


def _merge(membership: MembershipState, members: tuple[Member, ...]) -> None:
    now = asyncio.get_running_loop().time()
    merge_members(membership, members, now, spread=False)


def _ignore_version(version: int, member: Member) -> None:
    """Ignore the version of a member."""


def _create_full_sync(membership: MembershipState) -> Sync:
    """Return the message that contains every record of a node."""
    return Sync(
        domain=membership.local_member.domain,
        digest=digest_members(membership),
        members=all_records(membership),
    )


def create_membership(cfg: NodeSettings, now_ms: int) -> MembershipState:
    """Return the membership of a starting node, which holds itself alone.

    Args:
        cfg: settings of the node.
        now_ms: milliseconds since 1970; the incarnation of the node, which
            must be higher at each start.
    """
    local_member = Member(
        name=cfg.name,
        domain=cfg.domain,
        gossip=cfg.gossip,
        control=cfg.control,
        incarnation=now_ms,
    )
    return MembershipState(local_member)
