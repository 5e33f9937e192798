"""Spare: a source without a place in the group, and one that has lost its.

A spare source asks the known sources for a place until a leader gives it one.
A source that no leader speaks to asks whether it still has its own.
"""

import asyncio
import time
from typing import Final

from loguru import logger

from medlarhoist.consensus.replacement import MembershipReply, MembershipRequest
from medlarhoist.core.settings import SourceSettings
from medlarhoist.source.identity import Identity
from medlarhoist.source.ledger import ReplicatedLedger
from medlarhoist.source.ledger_link import OFFER, peer_at, place_of
from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire.channels import Channels, create_channels

OFFER_SECONDS: Final = 0.3
CHECK_SECONDS: Final = 1.0
# Longer than an election, so that a change of the leader asks nobody.
UNLED_SECONDS: Final = 3.0


class Spare:
    """What a spare source knows of the group.

    Args:
        places: where the sources are, by name.
        leader: name of the leader, empty where it is unknown.
    """

    __slots__ = ('_cfg', '_channels', 'leader', 'places')

    def __init__(self, cfg: SourceSettings, channels: Channels) -> None:
        """Start with the sources that the settings name."""
        self._cfg = cfg
        self._channels = channels
        self.leader = ''
        self.places = {peer.name: place_of(peer) for peer in cfg.sources}

    def dump(self) -> dict[str, object]:
        """Return the state for the dump of the process."""
        return {
            'role': 'spare',
            'leader': self.leader,
            'places': self.places,
        }

    def update_sources(self, cfg: SourceSettings) -> None:
        """Take over the sources that changed settings name."""
        told = {peer.name: place_of(peer) for peer in cfg.sources}
        self.places = {**told, **self.places}

    async def wait_for_place(self) -> Identity:
        """Ask for a place until there is one."""
        offer = MembershipRequest(endpoint=place_of(self._cfg.endpoint))
        logger.info('spare: asks for a place in the group')
        while True:
            told = await self._ask_all(offer)
            if told is not None and told.name:
                break
            await asyncio.sleep(OFFER_SECONDS)
        logger.bind(name=told.name).info('spare: has a place in the group')
        group = {**told.endpoints, told.name: offer.endpoint}
        return Identity(
            name=told.name,
            sources=tuple(
                peer_at(name, place) for name, place in sorted(group.items())
            ),
        )

    async def _ask_all(
        self, offer: MembershipRequest
    ) -> MembershipReply | None:
        """Ask each known source, the leader first; the first word counts."""
        names = sorted(self.places, key=lambda name: name != self.leader)
        self.leader = ''
        for name in names:
            told = await ask(self._channels, self.places[name], offer)
            if told is None:
                continue
            self.leader = told.leader or self.leader
            self.places.update(told.endpoints)
            if told.name:
                return told
        return None


async def ask(
    channels: Channels,
    place: str,
    offer: MembershipRequest,
) -> MembershipReply | None:
    """Return what a source says to an offer, None where it says nothing."""
    if place == offer.endpoint:
        return None
    told = await channels.ask(peer_at('', place).control, OFFER, offer)
    return told if isinstance(told, MembershipReply) else None


async def wait_for_retirement(
    cfg: SourceSettings,
    ledger: ReplicatedLedger,
) -> None:
    """Return once the leader says that another source has this one's place.

    Args:
        cfg: settings of this source.
        ledger: its replica.
    """
    channels = create_spare_channels(cfg)
    while True:
        await asyncio.sleep(CHECK_SECONDS)
        offer = ledger.links.describe_self()
        unled_s = ledger.links.unled_seconds(time.monotonic())
        if offer is None or unled_s < UNLED_SECONDS:
            continue
        for peer in ledger.peers:
            told = await ask(channels, place_of(peer), offer)
            if told is not None and told.is_retired:
                channels.close()
                return


def create_spare_channels(cfg: SourceSettings) -> Channels:
    """Return the connections by which places are asked for."""
    return create_channels(cfg.shared_key, cfg.name, Traffic())


def create_spare(cfg: SourceSettings) -> Spare:
    """Return a source without a place."""
    return Spare(cfg, create_spare_channels(cfg))
