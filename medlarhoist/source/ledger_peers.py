"""Ledger peers: what a source's replica has to do with the other sources."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from msgspec.structs import replace

from medlarhoist.consensus.replacement import (
    MembershipReply,
    MembershipRequest,
    choose_member_slot,
    is_retired,
)
from medlarhoist.consensus.replica import Role
from medlarhoist.core.interfaces import NotLeader, OutcomeUnknown
from medlarhoist.core.settings import Peer
from medlarhoist.source.ledger_driver import Driver
from medlarhoist.source.ledger_link import (
    DELIVER,
    OFFER,
    Envelope,
    Receipt,
    peer_at,
)
from medlarhoist.wire.rpc import Method

Procedure = Callable[[Any], Awaitable[None]]
ReadBarrier = Callable[[], Awaitable[None]]


class LedgerPeers:
    """The other sources, as a running replica knows them."""

    __slots__ = ('_driver', '_read_barrier')

    def __init__(self, driver: Driver, read_barrier: ReadBarrier) -> None:
        """Keep the parts.

        Args:
            driver: runs the replica.
            read_barrier: waits for all that was committed; leaders only.
        """
        self._driver = driver
        self._read_barrier = read_barrier

    def procedures(self) -> dict[Method, Procedure]:
        """Return what the control listener serves for the other sources."""
        return {DELIVER: self._deliver, OFFER: self._serve_offer}

    def list_all(self) -> tuple[Peer, ...]:
        """Return where each source of the group is."""
        places = self._driver.places()
        return tuple(
            peer_at(name, place) for name, place in sorted(places.items())
        )

    def describe_self(self) -> MembershipRequest | None:
        """Return what this source says of its place, None while halted."""
        replica = self._driver.replica
        if replica is None:
            return None
        return MembershipRequest(
            endpoint=replica.endpoint,
            name=replica.name,
            incarnation=replica.incarnation,
        )

    def unled_seconds(self, now: float) -> float:
        """Return for how long no leader has spoken to this source.

        Args:
            now: seconds of the monotonic clock.
        """
        replica = self._driver.replica
        if replica is None or replica.role is Role.LEADER:
            return 0
        return now - replica.heard_at

    async def place(self, offer: MembershipRequest) -> MembershipReply:
        """Answer a source that no leader speaks to."""
        places = self._driver.places()
        replica = self._driver.replica
        leader = '' if replica is None else replica.leader
        unknown = MembershipReply(endpoints=places, leader=leader)
        try:
            await self._read_barrier()
        except (NotLeader, OutcomeUnknown):
            return unknown
        replica = self._driver.replica
        if replica is None:
            return unknown
        if is_retired(replica, offer):
            return replace(unknown, is_retired=True)
        if offer.name:
            return replace(unknown, name=offer.name)
        name = choose_member_slot(replica, offer, places, time.monotonic())
        if name:
            self._driver.route_to_standby(name, offer.endpoint)
        return replace(unknown, name=name)

    async def _deliver(self, stream: Any) -> None:
        if self._driver.replica is None:
            raise GRPCError(Status.UNAVAILABLE, 'the replica is halted')
        envelope: Envelope = await stream.recv_message()
        for message in envelope.messages:
            self._driver.receive(message)
        await stream.send_message(Receipt())

    async def _serve_offer(self, stream: Any) -> None:
        offer: MembershipRequest = await stream.recv_message()
        await stream.send_message(await self.place(offer))
