"""Session: one child that is attached to this process.

Messages wait in a bounded queue. A child that does not read is cut off; when
it attaches again it gets the newest version only.
"""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any, Final

from msgspec import Struct

from medlarhoist.utils.tasks import run_until_first
from medlarhoist.wire.channels import CALL_ERRORS
from medlarhoist.wire.message import Ack, Down, Hello, Stage, Up

QUEUE_LENGTH: Final = 64
KEPT_ACKS: Final = 4
# Five beats of a child.
SILENCE_SECONDS: Final = 2.5


class Base(Struct, frozen=True):
    """The newest version that a child is known to hold."""

    version: int = 0
    digest: str = ''


class Session:
    """What is known of one attached child."""

    __slots__ = (
        '_queue',
        'acks',
        'delta_base',
        'closed',
        'hello',
        'offered',
    )

    def __init__(self, hello: Hello) -> None:
        """Start with what the child said of itself."""
        self._queue: asyncio.Queue[Down | None] = asyncio.Queue(QUEUE_LENGTH)
        self.hello = hello
        self.acks: dict[int, Ack] = {}
        self.delta_base = Base(hello.active, hello.digest)
        self.offered: dict[int, str] = {}
        self.closed = asyncio.Event()

    @property
    def name(self) -> str:
        """Return the name of the child."""
        return self.hello.node

    def send(self, message: Down) -> None:
        """Queue a message; a child whose queue is full is cut off."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self.closed.set()

    def offer(self, stage: Stage, digest: str) -> None:
        """Queue a version and remember its digest as a coming base."""
        self.offered[stage.version] = digest
        while len(self.offered) > QUEUE_LENGTH:
            self.offered.pop(min(self.offered))
        self.send(stage)

    def note_hello(self, hello: Hello) -> None:
        """Take a later hello over; a whole one voids the base."""
        self.hello = hello
        self.delta_base = Base(hello.active, hello.digest)
        if hello.whole:
            self.delta_base = Base()

    def note_ack(self, ack: Ack) -> None:
        """Take an acknowledgement over; what was compiled is a base."""
        self.acks[ack.version] = ack
        while len(self.acks) > KEPT_ACKS:
            self.acks.pop(min(self.acks))
        digest = self.offered.get(ack.version)
        if digest and ack.holds and ack.version >= self.delta_base.version:
            self.delta_base = Base(ack.version, digest)

    def close(self) -> None:
        """Cut the child off once all that is queued is sent."""
        try:
            self._queue.put_nowait(None)
        except asyncio.QueueFull:
            self.closed.set()

    def ack_for(self, version: int) -> Ack | None:
        """Return the acknowledgement of a version, or of the next later."""
        later = [known for known in self.acks if known >= version]
        return self.acks[min(later)] if later else None

    def newest_ack(self) -> Ack | None:
        """Return the acknowledgement of the highest version."""
        return self.acks[max(self.acks)] if self.acks else None

    async def next_message(self) -> Down | None:
        """Return the next message to send, None for the end."""
        return await self._queue.get()


Serve = Callable[[Session, Up], None]


async def serve_session(
    stream: Any,
    opened: Callable[[Session], bool],
    received: Serve,
    ended: Callable[[Session], None],
) -> None:
    """Serve one attached child until either side ends.

    Args:
        stream: the grpclib stream.
        opened: gets the session after the first hello; False refuses the
            child after what was queued is sent.
        received: gets each later message.
        ended: called once after an admitted session.
    """
    hello = await stream.recv_message()
    if not isinstance(hello, Hello):
        return
    session = Session(hello)
    if not opened(session):
        session.close()
        await _send_all(stream, session)
        return
    async with AsyncExitStack() as stack:
        stack.callback(ended, session)
        await run_until_first(
            _send_all(stream, session),
            _receive_all(stream, session, received),
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
    received: Serve,
) -> None:
    while True:
        try:
            async with asyncio.timeout(SILENCE_SECONDS):
                message = await stream.recv_message()
        except CALL_ERRORS:
            return
        if message is None:
            return
        if isinstance(message, Hello):
            session.note_hello(message)
        if isinstance(message, Ack):
            session.note_ack(message)
        received(session, message)
