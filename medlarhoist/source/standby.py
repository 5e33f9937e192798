"""Standby: a source without a member slot, and one whose slot is reassigned.

A standby asks the sources of the group for a member slot until the leader
assigns it that of an unavailable member. A member that no leader contacts
asks whether it still has its slot.
"""

import asyncio
import time
from typing import Final

from loguru import logger

from medlarhoist.consensus.log_file import find_full_disk
from medlarhoist.consensus.replacement import MembershipReply, MembershipRequest
from medlarhoist.core.settings import SourceSettings
from medlarhoist.source.identity import Identity
from medlarhoist.source.ledger import ReplicatedLedger
from medlarhoist.source.ledger_link import (
    REQUEST_MEMBERSHIP,
    endpoint_of,
    peer_from_endpoint,
)
from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire.channels import Channels, create_channels

REQUEST_INTERVAL_SECONDS: Final = 0.3
CHECK_INTERVAL_SECONDS: Final = 1.0
# How often the disk is tried, before a member slot is requested.
PROBE_INTERVAL_SECONDS: Final = 1.0
# Longer than an election, so that members don't ask when the leader changes.
LEADER_TIMEOUT_SECONDS: Final = 3.0


class Standby:
    """A source without a member slot, and its cached view of the group.

    Args:
        endpoints: endpoint of each member, by name.
        fault: why its disk refuses writes, empty if it doesn't.
        leader: name of the leader, empty if it is unknown.
    """

    __slots__ = (
        '_cfg',
        '_channels',
        '_probe_due',
        'endpoints',
        'fault',
        'leader',
    )

    def __init__(self, cfg: SourceSettings, channels: Channels) -> None:
        """Start with the sources of the settings.

        Args:
            cfg: settings of the source.
            channels: connections to the other sources.
        """
        self._cfg = cfg
        self._channels = channels
        self._probe_due = float()
        self.fault = ''
        self.leader = ''
        self.endpoints = {peer.name: endpoint_of(peer) for peer in cfg.sources}

    def dump(self) -> dict[str, object]:
        """Return the state for the dump of the process."""
        return {
            'role': 'spare',
            'leader': self.leader,
            'places': self.endpoints,
            'fault': self.fault,
        }

    def update_sources(self, cfg: SourceSettings) -> None:
        """Add sources of changed settings; called when these are reloaded.

        Endpoints that are already cached take precedence.
        """
        configured = {peer.name: endpoint_of(peer) for peer in cfg.sources}
        self.endpoints = {**configured, **self.endpoints}

    def has_room(self) -> bool:
        """Return whether the disk takes writes; it is tried now and then."""
        now = time.monotonic()
        if now >= self._probe_due:
            self._probe_due = now + PROBE_INTERVAL_SECONDS
            fault = find_full_disk(self._cfg.data_folder)
            if bool(fault) != bool(self.fault):
                logger.warning('standby: disk: {}', fault or 'writable again')
            self.fault = fault
        return not self.fault

    async def wait_for_room(self) -> None:
        """Wait until the disk takes writes."""
        while not self.has_room():
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    async def wait_for_member_slot(self) -> Identity:
        """Ask for a member slot until one is assigned.

        None is asked for while the disk is full, which could not use it.

        Returns:
            The identity under which this source joins the group.
        """
        request = MembershipRequest(endpoint=endpoint_of(self._cfg.endpoint))
        logger.info('standby: requests a member slot')
        while True:
            await self.wait_for_room()
            reply = await self._ask_all(request)
            if reply is not None and reply.name:
                break
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        logger.bind(name=reply.name).info('standby: has a member slot')
        group = {**reply.endpoints, reply.name: request.endpoint}
        return Identity(
            name=reply.name,
            sources=tuple(
                peer_from_endpoint(name, endpoint)
                for name, endpoint in sorted(group.items())
            ),
        )

    async def _ask_all(
        self, request: MembershipRequest
    ) -> MembershipReply | None:
        """Ask the sources one after another, the leader first.

        Returns:
            The first reply that assigns a member slot, None for none.
        """
        names = sorted(self.endpoints, key=lambda name: name != self.leader)
        self.leader = ''
        for name in names:
            reply = await request_membership(
                self._channels, self.endpoints[name], request
            )
            if reply is None:
                continue
            self.leader = reply.leader or self.leader
            self.endpoints.update(reply.endpoints)
            if reply.name:
                return reply
        return None


async def request_membership(
    channels: Channels,
    endpoint: str,
    request: MembershipRequest,
) -> MembershipReply | None:
    """Send a membership request to a source and return the reply.

    None if the source does not reply, or if it is the sender of the request.

    Args:
        channels: connections to the other sources.
        endpoint: endpoint of the source.
        request: the request.
    """
    if endpoint == request.endpoint:
        return None
    reply = await channels.try_call(
        peer_from_endpoint('', endpoint).control, REQUEST_MEMBERSHIP, request
    )
    return reply if isinstance(reply, MembershipReply) else None


async def wait_for_retirement(
    cfg: SourceSettings,
    ledger: ReplicatedLedger,
) -> None:
    """Wait until the leader replies that this source's slot was reassigned.

    Asks only while no leader has contacted this source for
    LEADER_TIMEOUT_SECONDS. Replies name the present members, which are asked
    next: the leader may be the source that took over the slot.

    Args:
        cfg: settings of this source.
        ledger: its replica.
    """
    channels = create_standby_channels(cfg)
    endpoints: dict[str, str] = {}
    while True:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        request = ledger.peer_service.membership_request()
        since_contact_s = ledger.peer_service.seconds_since_leader_contact(
            time.monotonic()
        )
        if request is None or since_contact_s < LEADER_TIMEOUT_SECONDS:
            continue
        configured = {peer.name: endpoint_of(peer) for peer in ledger.peers}
        endpoints = {**configured, **endpoints}
        if await _is_retired(channels, endpoints, request):
            channels.close()
            return


async def _is_retired(
    channels: Channels,
    endpoints: dict[str, str],
    request: MembershipRequest,
) -> bool:
    """Return whether a source replies that the sender's slot was reassigned.

    Args:
        channels: connections to the other sources.
        endpoints: endpoints to ask, by name; updated from the replies.
        request: the request.
    """
    for endpoint in tuple(endpoints.values()):
        reply = await request_membership(channels, endpoint, request)
        if reply is None:
            continue
        if reply.is_retired:
            return True
        endpoints.update(reply.endpoints)
    return False


def create_standby_channels(cfg: SourceSettings) -> Channels:
    """Return the connections for membership requests."""
    return create_channels(cfg.shared_key, cfg.name, Traffic())


def create_standby(cfg: SourceSettings) -> Standby:
    """Return a standby that starts with the sources of the settings."""
    return Standby(cfg, create_standby_channels(cfg))
