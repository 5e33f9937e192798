"""Catch-up: fetches versions that other members of the domain have.

Versions come down the tree. A node that the tree does not reach would stay at
an older version for as long as that lasts. Therefore each membership packet
tells the established version of its sender, and a node that is told of a newer
one than the tree has brought fetches it from the sender.
"""

import asyncio
import time
from contextlib import AsyncExitStack
from typing import Any, Final

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from medlarhoist.core.backoff import max_delay_seconds
from medlarhoist.core.membership import Member
from medlarhoist.core.newer_versions import NewerVersions
from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.configuration import Configuration
from medlarhoist.node.downlink import Downlink
from medlarhoist.node.gossip import Gossip
from medlarhoist.node.uplink import Uplink
from medlarhoist.node.uplink_receiver import Receiver
from medlarhoist.utils.tasks import cancel_all
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.message import CatchUpReply, CatchUpRequest
from medlarhoist.wire.procedures import CATCH_UP
from medlarhoist.wire.rpc import Method, StreamHandler

# Most versions come down the tree within this time.
TREE_SECONDS: Final = 0.3
# Sources and nodes send heartbeats each 0.8 and 0.5 s, so the contact of a node
# below two others is no older while the tree works.
FRESH_SECONDS: Final = 2.0
HEDGE_SECONDS: Final = 0.3
MAX_FETCHES: Final = 3
# A reply may wait behind bodies on a full link.
FETCH_TIMEOUT_SECONDS: Final = 3.0


class CatchUp:
    """Fetches newer versions for one node, and serves them to others.

    Attributes:
        count: versions that were fetched since the start.
    """

    __slots__ = (
        '_cfg',
        '_channels',
        '_configuration',
        '_downlink',
        '_gossip',
        '_newer',
        '_receiver',
        '_tasks',
        '_told',
        '_uplink',
        'count',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        channels: Channels,
        configuration: Configuration,
        downlink: Downlink,
        gossip: Gossip,
        receiver: Receiver,
        uplink: Uplink,
    ) -> None:
        """Create it; `start` runs it."""
        self._cfg = cfg
        self._channels = channels
        self._configuration = configuration
        self._downlink = downlink
        self._gossip = gossip
        self._newer = NewerVersions()
        self._receiver = receiver
        self._tasks: list[asyncio.Task[None]] = []
        self._told = asyncio.Event()
        self._uplink = uplink
        self.count = 0

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedure that other members of the domain call."""
        return {CATCH_UP: self._serve}

    def start(self) -> None:
        """Exchange versions with the members, and fetch newer ones."""
        self._gossip.read_version = lambda: self._configuration.established
        self._gossip.on_version = self._record
        self._tasks = [asyncio.ensure_future(self._run())]

    async def stop(self) -> None:
        """Stop and wait until that is done."""
        await cancel_all(self._tasks)

    async def _run(self) -> None:
        while True:
            await self._wait_until_told()
            if self._told.is_set():
                self._told.clear()
                await self._await_tree()
                await self._fetch_newer()
            elif not self._is_tree_fresh():
                self._gossip.probe_some()

    async def _wait_until_told(self) -> None:
        """Wait for a newer version, or until it is time to ask for one.

        All members of a domain together ask at a bounded rate.
        """
        try:
            async with asyncio.timeout(
                max_delay_seconds(self._gossip.view().alive)
            ):
                await self._told.wait()
        except TimeoutError:
            return

    async def _await_tree(self) -> None:
        """Leave the tree some time to bring the version, while it works."""
        if not self._is_tree_fresh():
            return
        behind_s = self._newer.seconds_behind(
            self._configuration.established, time.monotonic()
        )
        await asyncio.sleep(max(0, TREE_SECONDS - behind_s))

    async def _fetch_newer(self) -> None:
        """Fetch from the members that told of a newer version.

        Another one is asked while the first ones do not reply, as their links
        or that of this node may be full.
        """
        fetches: dict[str, asyncio.Task[None]] = {}
        async with AsyncExitStack() as stack:
            stack.push_async_callback(cancel_all, fetches.values())
            while self._start_fetch(fetches):
                await asyncio.wait(
                    fetches.values(),
                    timeout=HEDGE_SECONDS,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                _discard_ended(fetches)

    def _start_fetch(self, fetches: dict[str, asyncio.Task[None]]) -> bool:
        """Ask one more member; return whether there is anything to wait for."""
        established = self._configuration.established
        if not self._newer.is_behind(established):
            return False
        if len(fetches) < MAX_FETCHES:
            address = self._newer.pop_teller(established, fetches)
            if address:
                fetches[address] = asyncio.ensure_future(self._fetch(address))
        return bool(fetches)

    async def _fetch(self, address: str) -> None:
        """Fetch as a delta, and whole if that does not fit what is held here."""
        for is_whole in (False, True):
            reply = await self._channels.try_call(
                address,
                CATCH_UP,
                self._request(is_whole),
                FETCH_TIMEOUT_SECONDS,
            )
            if reply is None or self._adopt(reply, address):
                return

    def _adopt(self, reply: CatchUpReply, address: str) -> bool:
        """Apply a reply; return False if the complete snapshot is needed."""
        before = self._configuration.established
        if reply.established.version <= before:
            return True
        behind_s = self._newer.seconds_behind(before, time.monotonic())
        if reply.stage is not None and self._receiver.stage(reply.stage):
            return False
        self._receiver.establish(reply.established)
        if self._configuration.established > before:
            self._record_fetched(address, behind_s)
        return True

    def _record_fetched(self, address: str, behind_s: float) -> None:
        """Log a version that a member has sent, and tell others of it."""
        self.count += 1
        logger.bind(
            member=address,
            parent=self._uplink.parent,
            leader_age_s=round(self._receiver.seconds_since_leader(), 2),
            behind_s=round(behind_s, 2),
        ).info(
            'configuration: version {} was fetched',
            self._configuration.established,
        )
        self._uplink.mark_changed()
        self._gossip.push(has_news=True)

    def _request(self, is_whole: bool) -> CatchUpRequest:
        version = 0 if is_whole else self._configuration.established
        return CatchUpRequest(
            domain=self._cfg.domain,
            held=version,
            digest=self._configuration.history.digest(version),
        )

    async def _serve(self, stream: Any) -> None:
        request: CatchUpRequest = await stream.recv_message()
        if request.domain != self._cfg.domain:
            raise GRPCError(Status.INVALID_ARGUMENT, 'another domain')
        established = self._downlink.established()
        stage = self._configuration.history.stage_message(
            established.version, request.held, request.digest
        )
        await stream.send_message(
            CatchUpReply(established=established, stage=stage)
        )

    def _record(self, version: int, member: Member) -> None:
        is_newer = self._newer.record(
            version,
            member.control,
            self._configuration.established,
            time.monotonic(),
        )
        if is_newer:
            self._told.set()

    def _is_tree_fresh(self) -> bool:
        """Return whether this node has a parent in touch with the leader."""
        if not self._uplink.parent:
            return False
        return self._receiver.seconds_since_leader() < FRESH_SECONDS


def _discard_ended(fetches: dict[str, asyncio.Task[None]]) -> None:
    for address, fetch in tuple(fetches.items()):
        if fetch.done():
            fetches.pop(address)
