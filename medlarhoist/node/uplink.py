"""Uplink: attaches a node to its parent in the tree.

The parent of a keeper is the leader of the sources; that of another node is
a keeper or a node of lower rank. A lost parent is replaced after a jittered
exponential delay.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.backoff import delay_seconds, longest_delay
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.tree import order_parents
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper
from medlarhoist.node.uplink_receiver import Receiver
from medlarhoist.node.uplink_sender import Sender
from medlarhoist.utils.tasks import cancel_all, run_until_first
from medlarhoist.wire.channels import CALL_ERRORS, Channels
from medlarhoist.wire.message import Down, Redirect
from medlarhoist.wire.procedures import ATTACH
from medlarhoist.wire.rpc import open_stream

# A hundred times as long as a connection takes between failure domains; a VM
# that is gone answers nothing at all.
OPENING_SECONDS: Final = 0.5
# Parents send something each second.
SILENCE_SECONDS: Final = 2.5
STEADY_SECONDS: Final = 5.0
PATIENCE_SECONDS: Final = 4.0
LONGEST_PATIENCE_SECONDS: Final = 64.0
WATCH_SECONDS: Final = 0.2
Addresses = Callable[[], dict[str, str]]


class UplinkView(Struct, frozen=True, kw_only=True):
    """What a dump shows."""

    parent: str
    attempts: int


class Uplink:
    """The connection of a node to its parent."""

    __slots__ = (
        '_addresses',
        '_asks_source',
        '_cfg',
        '_channels',
        '_directory',
        '_hint',
        '_keeper',
        '_patience',
        '_random',
        '_receiver',
        '_sender',
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
        """Start without a parent."""
        self._addresses: Addresses = dict
        self._asks_source = False
        self._cfg = cfg
        self._channels = channels
        self._directory = directory
        self._hint = ''
        self._keeper = keeper
        self._patience = PATIENCE_SECONDS
        self._random = random
        self._receiver = receiver
        self._sender = Sender(receiver)
        self._tasks: list[asyncio.Task[None]] = []
        self.attempts = 0
        self.parent = ''

    def use_members(self, addresses: Addresses) -> None:
        """Take the control addresses of live members by name from here."""
        self._addresses = addresses

    def mark_changed(self) -> None:
        """Acknowledge soon."""
        self._sender.mark_changed()

    def start(self) -> None:
        """Begin to attach."""
        self._tasks = [asyncio.ensure_future(self._run())]

    async def stop(self) -> None:
        """Detach."""
        await cancel_all(self._tasks)

    def view(self) -> UplinkView:
        """Return what a dump shows."""
        return UplinkView(parent=self.parent, attempts=self.attempts)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self.attempts or self._directory.domain_keepers is None:
                await self._directory.refresh(self._addresses().values())
                self._receiver.follow_directory()
            began = loop.time()
            address = self._choose_parent()
            if address:
                await self._attach_safely(address)
            if loop.time() - began > STEADY_SECONDS:
                self.attempts = 0
            longest = longest_delay(len(self._addresses()) + 1)
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
        known = {**self._addresses(), **keepers.members}
        names = order_parents(
            self._cfg.name, keepers.members, known, self._random
        )
        candidates = [known[name] for name in names if name in known]
        if not candidates:
            return ''
        return candidates[self.attempts % len(candidates)]

    def _choose_source(self) -> str:
        if self._directory.leader and not self.attempts % 2:
            return self._directory.leader
        return self._random.choice(self._directory.sources)

    async def _attach_safely(self, address: str) -> None:
        try:
            await self._attach(address)
        except CALL_ERRORS as exc:
            self._channels.drop(address)
            logger.debug('tree: parent {}: {!r}', address, exc)
        finally:
            self.parent = ''

    async def _attach(self, address: str) -> None:
        channel = self._channels.get(address)
        as_keeper = self._keeper.is_keeper
        self._asks_source = as_keeper
        async with open_stream(channel, ATTACH) as stream:
            self._receiver.begin()
            async with asyncio.timeout(OPENING_SECONDS):
                await stream.send_message(self._receiver.hello(whole=False))
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
        """End when the node's role changes or another parent is better."""
        while self._keeper.is_keeper == as_keeper:
            if not as_keeper and self._is_parent_stale():
                return
            await asyncio.sleep(WATCH_SECONDS)

    def _is_parent_stale(self) -> bool:
        if self._receiver.is_parent_behind():
            return True
        age = self._receiver.age_seconds()
        if age < PATIENCE_SECONDS:
            self._patience = PATIENCE_SECONDS
        if age < self._patience:
            return False
        self._patience = min(age * 2, LONGEST_PATIENCE_SECONDS)
        return True

    async def _receive_all(self, stream: Any, address: str) -> None:
        while True:
            async with asyncio.timeout(SILENCE_SECONDS):
                message: Down | None = await stream.recv_message()
            if message is None:
                return
            if isinstance(message, Redirect):
                self._follow(message)
                return
            if not self.parent:
                logger.info('tree: attached to {}', address)
                self._note_leader(address)
            self.parent = address
            if self._receiver.receive(message):
                await stream.send_message(self._receiver.hello(whole=True))
            self._sender.mark_changed()

    def _note_leader(self, address: str) -> None:
        """Note that the source that took this keeper in leads.

        The role may change while the node attaches; its parent is a source
        only where it asked as a keeper.
        """
        if self._asks_source:
            self._directory.leader = address

    def _follow(self, message: Redirect) -> None:
        if self._asks_source:
            self._directory.leader = message.address
        self._hint = message.address
