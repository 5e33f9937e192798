"""Ledger link: sends consensus messages from one source to another.

Each link sends one batch at a time and waits for its receipt. Messages that
cannot be sent are dropped; the consensus protocol resends what is needed.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from loguru import logger
from msgspec import Struct

from medlarhoist.consensus.message import Message
from medlarhoist.consensus.replacement import MembershipReply, MembershipRequest
from medlarhoist.core.settings import Peer, SourceSettings
from medlarhoist.wire.rpc import Method, call, create_channel

MAX_QUEUED_MESSAGES: Final = 64
SEND_TIMEOUT_SECONDS: Final = 2.0
RETRY_SECONDS: Final = 0.2


class Envelope(Struct, frozen=True, kw_only=True):
    """A batch of messages from one source to another, oldest first."""

    messages: tuple[Message, ...]


class Receipt(Struct, frozen=True):
    """Acknowledges an envelope; its messages have been handled."""


DELIVER: Final = Method(
    path='/medlarhoist.Consensus/Deliver',
    request=Envelope,
    reply=Receipt,
)
REQUEST_MEMBERSHIP: Final = Method(
    path='/medlarhoist.Consensus/Offer',
    request=MembershipRequest,
    reply=MembershipReply,
)
_FAILURES: Final = (
    GRPCError,
    OSError,
    StreamTerminatedError,
    asyncio.TimeoutError,
)


class PeerLink:
    """Sends messages to one peer.

    Args:
        endpoint: endpoint of the peer, see endpoint_of.
    """

    __slots__ = (
        '_connect',
        '_is_up',
        '_name',
        '_queue',
        '_task',
        '_wake',
        'endpoint',
    )

    def __init__(
        self,
        name: str,
        endpoint: str,
        connect: Callable[[], Channel],
    ) -> None:
        """Create the queue; start() begins to send.

        Args:
            name: name of the peer.
            endpoint: endpoint of the peer, see endpoint_of.
            connect: opens a channel to the peer.
        """
        self._name = name
        self.endpoint = endpoint
        self._connect = connect
        self._queue: deque[Message] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._is_up = False

    @property
    def is_up(self) -> bool:
        """Return whether the peer acknowledged the last batch."""
        return self._is_up

    def start(self) -> None:
        """Start the task that sends what is queued."""
        self._task = asyncio.create_task(self._run())

    def send(self, message: Message) -> None:
        """Queue a message; a full queue drops its oldest message."""
        self._queue.append(message)
        self._wake.set()

    def close(self) -> None:
        """Stop sending, without waiting for the task to end."""
        if self._task is not None:
            self._task.cancel()

    async def stop(self) -> None:
        """Stop sending and wait until the task has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            channel = self._connect()
            try:
                await self._send_all(channel)
            except _FAILURES as exc:
                self._record_state(is_up=False, detail=f' ({exc!r})')
            finally:
                channel.close()
            self._queue.clear()
            await asyncio.sleep(RETRY_SECONDS)

    async def _send_all(self, channel: Channel) -> None:
        while True:
            self._wake.clear()
            while self._queue:
                await self._send_batch(channel)
            await self._wake.wait()

    async def _send_batch(self, channel: Channel) -> None:
        envelope = Envelope(messages=tuple(self._queue))
        self._queue.clear()
        async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
            await call(channel, DELIVER, envelope)
        self._record_state(is_up=True)

    def _record_state(self, *, is_up: bool, detail: str = '') -> None:
        if is_up is self._is_up:
            return
        self._is_up = is_up
        state = 'up' if is_up else 'down'
        logger.info('ledger: link to {} is {}{}', self._name, state, detail)


def create_link(cfg: SourceSettings, name: str, endpoint: str) -> PeerLink:
    """Return a link from this source to a peer; start() begins to send.

    Args:
        cfg: settings of this source.
        name: name of the peer.
        endpoint: endpoint of the peer, see endpoint_of.
    """
    key = cfg.shared_key.encode()
    control = peer_from_endpoint(name, endpoint).control
    return PeerLink(
        name,
        endpoint,
        partial(create_channel, control, key, cfg.name),
    )


def endpoint_of(peer: Peer) -> str:
    """Return the endpoint of a source as one text, as the log stores it.

    That is its control address and its API address, separated by a blank.
    """
    return f'{peer.control} {peer.api}'


def peer_from_endpoint(name: str, endpoint: str) -> Peer:
    """Return name and addresses of a source; reverses endpoint_of.

    Args:
        name: name of the source.
        endpoint: its control address and API address, separated by a blank.
    """
    control, _, api = endpoint.partition(' ')
    return Peer(name=name, control=control, api=api)
