"""Ledger peers: the procedures that a source serves for the other sources.

Members of the group deliver consensus messages. A standby (a source without a
member slot) and a member that no leader contacts ask about their membership.
"""

import time
from collections.abc import Awaitable, Callable
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from msgspec.structs import replace

from medlarhoist.consensus.replacement import (
    Addresses,
    MembershipReply,
    MembershipRequest,
    decide_membership,
)
from medlarhoist.consensus.replica import Role
from medlarhoist.core.interfaces import NotLeader, OutcomeUnknown
from medlarhoist.core.settings import Peer
from medlarhoist.source.ledger_driver import Driver
from medlarhoist.source.ledger_link import (
    DELIVER,
    REQUEST_MEMBERSHIP,
    Envelope,
    Receipt,
    peer_from_endpoint,
)
from medlarhoist.wire.rpc import Method

Procedure = Callable[[Any], Awaitable[None]]
ReadBarrier = Callable[[], Awaitable[None]]


class PeerService:
    """Serves the other sources and provides their endpoints."""

    __slots__ = ('_driver', '_read_barrier')

    def __init__(self, driver: Driver, read_barrier: ReadBarrier) -> None:
        """Keep the driver and the barrier.

        Args:
            driver: runs the replica.
            read_barrier: waits until all that was committed is applied; fails
                unless this source leads.
        """
        self._driver = driver
        self._read_barrier = read_barrier

    def procedures(self) -> dict[Method, Procedure]:
        """Return the procedures for the control listener, by method."""
        return {
            DELIVER: self._deliver,
            REQUEST_MEMBERSHIP: self._serve_membership,
        }

    @property
    def storage_fault(self) -> str:
        """Return why the last write failed or the replica halted, if so."""
        return self._driver.fault

    def list_peers(self) -> tuple[Peer, ...]:
        """Return name and addresses of each member, sorted by name."""
        endpoints = self._driver.endpoints()
        return tuple(
            peer_from_endpoint(name, endpoint)
            for name, endpoint in sorted(endpoints.items())
        )

    def membership_request(self) -> MembershipRequest | None:
        """Return this source's request to confirm its member slot.

        None while the replica is halted.
        """
        replica = self._driver.replica
        if replica is None:
            return None
        return MembershipRequest(
            endpoint=replica.endpoint,
            name=replica.name,
            incarnation=replica.incarnation,
            is_writable=not self._driver.fault,
        )

    def seconds_since_leader_contact(self, now: float) -> float:
        """Return the seconds since a leader last sent this source a message.

        They count from the start of the replica before the first message.
        Zero if this source leads or its replica is halted.

        Args:
            now: seconds of the monotonic clock.
        """
        replica = self._driver.replica
        if replica is None or replica.role is Role.LEADER:
            return 0
        return now - replica.heard_at

    async def assign_member_slot(
        self, request: MembershipRequest
    ) -> MembershipReply:
        """Reply to a source that no leader contacts.

        Only a leader assigns member slots; the reply of another source holds
        just the endpoints of the group and the name of the leader.
        """
        endpoints = self._driver.endpoints()
        replica = self._driver.replica
        leader = '' if replica is None else replica.leader
        undecided = MembershipReply(endpoints=endpoints, leader=leader)
        try:
            await self._read_barrier()
        except (NotLeader, OutcomeUnknown):
            return undecided
        replica = self._driver.replica
        if replica is None:
            return undecided
        endpoints = self._driver.endpoints()
        addresses = Addresses(members=endpoints, standbys=self._driver.standbys)
        decision = decide_membership(
            replica, request, addresses, time.monotonic()
        )
        self._driver.route_to_standbys(decision.standbys)
        return replace(
            undecided, name=decision.name, is_retired=decision.is_retired
        )

    async def _deliver(self, stream: Any) -> None:
        if self._driver.replica is None:
            raise GRPCError(Status.UNAVAILABLE, 'the replica is halted')
        envelope: Envelope = await stream.recv_message()
        for message in envelope.messages:
            self._driver.receive(message)
        await stream.send_message(Receipt())

    async def _serve_membership(self, stream: Any) -> None:
        request: MembershipRequest = await stream.recv_message()
        await stream.send_message(await self.assign_member_slot(request))
