"""Session: the stream of one child that is attached to this process.

Messages to the child wait in a bounded queue. A child whose queue overflows is
disconnected; when it attaches again, it gets only the newest version.
"""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from typing import Any, Final

from msgspec import Struct

from medlarhoist.core.confirmation import Anchor
from medlarhoist.utils.clock import boot_seconds
from medlarhoist.utils.tasks import run_until_first
from medlarhoist.wire.channels import CALL_ERRORS
from medlarhoist.wire.message import Ack, DownMessage, Hello, Stage, UpMessage

# Limit for queued messages to one child, and for digests of sent versions.
QUEUE_LENGTH: Final = 64
# Limit for versions whose acknowledgements are kept per child.
MAX_ACKS: Final = 4
# Five heartbeat intervals of a child.
RECEIVE_TIMEOUT_SECONDS: Final = 2.5


class DeltaBase(Struct, frozen=True):
    """The newest version that a child holds, which deltas can be based on.

    Args:
        version: the version, zero for none.
        digest: digest of its snapshot, empty for none.
    """

    version: int = 0
    digest: str = ''


class Session:
    """State and outgoing queue of one attached child.

    Attributes:
        acks: acknowledgements of the child by version.
        anchor: the latest message that says when the child sent it, None if
            the child needs no contacts.
        delta_base: version that deltas to the child are based on.
        closed: set to disconnect the child without sending what is queued.
        hello: newest hello of the child.
        sent_digests: digests of the versions sent to the child; such a
            version becomes the delta base when the child holds it.
    """

    __slots__ = (
        '_queue',
        'acks',
        'anchor',
        'delta_base',
        'closed',
        'hello',
        'sent_digests',
    )

    def __init__(self, hello: Hello) -> None:
        """Start with the first message of the child."""
        self._queue: asyncio.Queue[DownMessage | None] = asyncio.Queue(
            QUEUE_LENGTH
        )
        self.hello = hello
        self.acks: dict[int, Ack] = {}
        self.delta_base = DeltaBase(hello.active, hello.digest)
        self.sent_digests: dict[int, str] = {}
        self.closed = asyncio.Event()
        self.anchor: Anchor | None = None
        self._record_sending(hello.sent_ms)

    @property
    def name(self) -> str:
        """Return the name of the child."""
        return self.hello.node

    def send(self, message: DownMessage) -> None:
        """Queue a message; a child whose queue is full is disconnected."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self.closed.set()

    def send_stage(self, stage: Stage, digest: str) -> None:
        """Queue the message that stages a version.

        Args:
            stage: the message.
            digest: digest of the version's snapshot, empty if unknown; then
                the version does not become a delta base.
        """
        self.sent_digests[stage.version] = digest
        while len(self.sent_digests) > QUEUE_LENGTH:
            self.sent_digests.pop(min(self.sent_digests))
        self.send(stage)

    def record_hello(self, hello: Hello) -> None:
        """Store a later hello; one with `whole` clears the delta base."""
        self.hello = hello
        self.delta_base = DeltaBase(hello.active, hello.digest)
        if hello.whole:
            self.delta_base = DeltaBase()
        self._record_sending(hello.sent_ms)

    def record_ack(self, ack: Ack) -> None:
        """Store an acknowledgement; a version held becomes the delta base."""
        self.acks[ack.version] = ack
        while len(self.acks) > MAX_ACKS:
            self.acks.pop(min(self.acks))
        self._record_sending(ack.sent_ms)
        digest = self.sent_digests.get(ack.version)
        if digest and ack.holds and ack.version >= self.delta_base.version:
            self.delta_base = DeltaBase(ack.version, digest)

    def close(self) -> None:
        """Disconnect the child after all queued messages are sent."""
        try:
            self._queue.put_nowait(None)
        except asyncio.QueueFull:
            self.closed.set()

    def ack_for(self, version: int) -> Ack | None:
        """Return the acknowledgement of a version or of the next later one.

        None where the child has acknowledged neither.
        """
        later = [acked for acked in self.acks if acked >= version]
        return self.acks[min(later)] if later else None

    def newest_ack(self) -> Ack | None:
        """Return the acknowledgement of the highest version, None for none."""
        return self.acks[max(self.acks)] if self.acks else None

    async def next_message(self) -> DownMessage | None:
        """Wait for the next message to send; None closes the stream."""
        return await self._queue.get()

    def _record_sending(self, sent_ms: int) -> None:
        if sent_ms:
            self.anchor = Anchor(sent_ms, boot_seconds())


MessageHandler = Callable[[Session, UpMessage], None]


def send_to_child(
    sessions: Mapping[str, Session], name: str, message: DownMessage
) -> None:
    """Queue a message for a child if it is attached.

    Args:
        sessions: the attached children by name.
        name: name of the child.
        message: the message.
    """
    session = sessions.get(name)
    if session is not None:
        session.send(message)


async def serve_session(
    stream: Any,
    on_open: Callable[[Session], bool],
    on_message: MessageHandler,
    on_close: Callable[[Session], None],
) -> None:
    """Serve one child until either side closes the stream.

    A child that sends nothing for `RECEIVE_TIMEOUT_SECONDS` is disconnected.
    A stream that does not begin with a hello is closed at once.

    Args:
        stream: the grpclib stream.
        on_open: called with the session after the first hello; if it returns
            False, the child is disconnected after all queued messages are
            sent.
        on_message: called with each later message, after the session has
            recorded it.
        on_close: called once when an admitted session ends.
    """
    hello = await stream.recv_message()
    if not isinstance(hello, Hello):
        return
    session = Session(hello)
    if not on_open(session):
        session.close()
        await _send_all(stream, session)
        return
    async with AsyncExitStack() as stack:
        stack.callback(on_close, session)
        await run_until_first(
            _send_all(stream, session),
            _receive_all(stream, session, on_message),
            session.closed.wait(),
        )


async def _send_all(stream: Any, session: Session) -> None:
    while True:
        message = await session.next_message()
        if message is None:
            return
        await stream.send_message(message)


async def _receive_all(
    stream: Any,
    session: Session,
    on_message: MessageHandler,
) -> None:
    while True:
        try:
            async with asyncio.timeout(RECEIVE_TIMEOUT_SECONDS):
                message = await stream.recv_message()
        except CALL_ERRORS:
            return
        if message is None:
            return
        if isinstance(message, Hello):
            session.record_hello(message)
        if isinstance(message, Ack):
            session.record_ack(message)
        on_message(session, message)
