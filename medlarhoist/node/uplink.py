"""Uplink: attaches a node to its parent in the distribution tree.

The parent of a keeper, a node that is a voting member of the quorum of its
failure domain, is the leader of the sources. The parent of any other node is a
keeper or a node of lower rank. A parent that has failed is replaced after a
jittered exponential delay.
"""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Any, Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.backoff import delay_seconds, max_delay_seconds
from medlarhoist.core.confirmation import stale_seconds
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.tree import order_parents
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper
from medlarhoist.node.uplink_receiver import Receiver
from medlarhoist.node.uplink_sender import Sender
from medlarhoist.utils.tasks import cancel_all, run_until_first
from medlarhoist.wire.channels import CALL_ERRORS, Channels
from medlarhoist.wire.message import DownMessage, Redirect
from medlarhoist.wire.procedures import ATTACH
from medlarhoist.wire.rpc import open_stream

# A hundred times as long as connecting to another failure domain takes. The
# timeout is for VMs that have failed, as those do not even refuse a connection.
ATTACH_TIMEOUT_SECONDS: Final = 0.5
# Sources send a heartbeat each 0.8 s.
SOURCE_SILENCE_SECONDS: Final = 2.5
# Nodes send one each 0.5 s. A version has to be in force 2 s after it was
# accepted, also below a parent that fell silent at that moment.
PARENT_SILENCE_SECONDS: Final = 1.2
# A parent admits or redirects a child at once. One that is frozen accepts the
# connection all the same.
FIRST_MESSAGE_SECONDS: Final = 1.0
STABLE_SECONDS: Final = 5.0
STALE_SECONDS: Final = 4.0
MAX_STALE_SECONDS: Final = 64.0
WATCH_INTERVAL_SECONDS: Final = 0.2
Addresses = Callable[[], dict[str, str]]


class UplinkView(Struct, frozen=True, kw_only=True):
    """State of the uplink in a dump.

    Args:
        parent: control address of the parent, empty while not attached.
        attempts: attempts to attach in a row that failed or did not last.
        attached_seconds: time since it was attached, zero while it is not.
    """

    parent: str
    attempts: int
    attached_seconds: float = 0


class Uplink:
    """The connection of a node to its parent.

    Args:
        attempts: attempts to attach in a row that failed or ended within
            `STABLE_SECONDS`.
        parent: control address of the parent, empty while not attached.
    """

    __slots__ = (
        '_addresses',
        '_attached_at',
        '_cfg',
        '_channels',
        '_directory',
        '_failed',
        '_hint',
        '_is_parent_source',
        '_keeper',
        '_random',
        '_receiver',
        '_sender',
        '_stale_timeout',
        '_tasks',
        'attempts',
        'parent',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        channels: Channels,
        directory: Directory,
        keeper: Keeper,
        receiver: Receiver,
        random: Random,
    ) -> None:
        """Create the uplink; `start` attaches it."""
        self._addresses: Addresses = dict
        self._attached_at: float = 0
        self._is_parent_source = False
        self._cfg = cfg
        self._channels = channels
        self._directory = directory
        self._failed = ''
        self._hint = ''
        self._keeper = keeper
        self._stale_timeout = STALE_SECONDS
        self._random = random
        self._receiver = receiver
        self._sender = Sender(cfg, receiver)
        self._tasks: list[asyncio.Task[None]] = []
        self.attempts = 0
        self.parent = ''

    def use_member_addresses(self, addresses: Addresses) -> None:
        """Set the function that returns possible parents.

        Args:
            addresses: returns the control addresses of the live members of
                the domain by name.
        """
        self._addresses = addresses

    def mark_changed(self) -> None:
        """Make the sender acknowledge soon, as the state has changed."""
        self._sender.mark_changed()

    def start(self) -> None:
        """Attach in the background, and again whenever the parent fails."""
        self._tasks = [asyncio.ensure_future(self._run())]

    async def stop(self) -> None:
        """Detach from the parent and wait until that is done."""
        await cancel_all(self._tasks)

    def view(self) -> UplinkView:
        """Return the state for a dump."""
        attached_s = time.monotonic() - self._attached_at
        return UplinkView(
            parent=self.parent,
            attempts=self.attempts,
            attached_seconds=round(attached_s, 2) if self.parent else 0,
        )

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self.attempts or self._directory.domain_keepers is None:
                await self._directory.refresh(
                    self._addresses().values(),
                    last=self._failed,
                )
            started_at = loop.time()
            address = self._choose_parent()
            if address:
                await self._attach_safely(address)
                self._failed = address
            if loop.time() - started_at > STABLE_SECONDS:
                self.attempts = 0
            longest = max_delay_seconds(len(self._addresses()) + 1)
            wait = delay_seconds(self.attempts, self._random, longest)
            self.attempts += 1
            logger.bind(
                parent=address,
                attempts=self.attempts,
                keepers=self._directory.domain_keepers is not None,
            ).info('tree: no parent')
            await asyncio.sleep(wait)

    def _choose_parent(self) -> str:
        hint = self._hint
        self._hint = ''
        if hint and hint != self._cfg.control:
            return hint
        keepers = self._directory.domain_keepers
        if keepers is None:
            return ''
        if self._keeper.is_keeper:
            return self._choose_source()
        addresses = {**self._addresses(), **keepers.members}
        names = order_parents(
            self._cfg.name, keepers.members, addresses, self._random
        )
        candidates = [addresses[name] for name in names if name in addresses]
        if not candidates:
            return ''
        return candidates[self.attempts % len(candidates)]

    def _choose_source(self) -> str:
        """Return the leader, another source if that one has just failed."""
        leader = self._directory.leader
        if leader and leader != self._failed:
            return leader
        sources = self._directory.sources
        others = [source for source in sources if source != self._failed]
        return self._random.choice(others or sources)

    async def _attach_safely(self, address: str) -> None:
        try:
            await self._attach(address)
        except CALL_ERRORS as exc:
            self._channels.drop(address)
            logger.debug('tree: attaching to {} failed: {!r}', address, exc)
        finally:
            self.parent = ''

    async def _attach(self, address: str) -> None:
        channel = self._channels.get(address)
        as_keeper = self._keeper.is_keeper
        self._is_parent_source = as_keeper
        async with open_stream(channel, ATTACH) as stream:
            self._receiver.reset_parent()
            async with asyncio.timeout(ATTACH_TIMEOUT_SECONDS):
                await stream.send_message(self._receiver.hello(full=False))
            raised = await run_until_first(
                self._receive_all(stream, address),
                self._sender.send_all(stream),
                self._watch(as_keeper),
            )
            await stream.cancel()
        if raised is not None:
            self._channels.drop(address)
            logger.info('tree: parent {} failed: {!r}', address, raised)

    async def _watch(self, as_keeper: bool) -> None:
        """Return when the node changes its role or needs another parent."""
        while self._keeper.is_keeper == as_keeper:
            if not as_keeper and self._is_parent_stale():
                return
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)

    def _is_parent_stale(self) -> bool:
        """Return whether another parent may hold newer versions.

        Once the timeout has passed, it is raised to twice the time since the
        last contact with the leader, so that nodes change their parents ever
        less often while the leader is unavailable.
        """
        if self._receiver.is_parent_behind():
            return True
        age = self._receiver.seconds_since_leader()
        limit = stale_seconds(self._cfg.revocation_ms, STALE_SECONDS)
        if age < limit:
            self._stale_timeout = limit
        if age < self._stale_timeout:
            return False
        self._stale_timeout = min(age * 2, MAX_STALE_SECONDS)
        return True

    async def _receive_all(self, stream: Any, address: str) -> None:
        silence_s = FIRST_MESSAGE_SECONDS
        while True:
            async with asyncio.timeout(silence_s):
                message: DownMessage | None = await stream.recv_message()
            if message is None:
                return
            if isinstance(message, Redirect):
                self._follow_redirect(message)
                return
            if not self.parent:
                logger.info('tree: attached to {}', address)
                self._record_leader(address)
                self._attached_at = time.monotonic()
            self.parent = address
            silence_s = (
                SOURCE_SILENCE_SECONDS
                if self._is_parent_source
                else PARENT_SILENCE_SECONDS
            )
            if self._receiver.receive(message):
                await stream.send_message(self._receiver.hello(full=True))
            self._sender.mark_changed()

    def _record_leader(self, address: str) -> None:
        """Record the source that has admitted this keeper as the leader.

        Only the leader admits keepers. The role of the node may change while
        it attaches, so what counts is the role in which it opened the
        stream: its parent is a source only if it was a keeper then.
        """
        if self._is_parent_source:
            self._directory.leader = address

    def _follow_redirect(self, message: Redirect) -> None:
        if self._is_parent_source:
            self._directory.leader = message.address
        self._hint = message.address
