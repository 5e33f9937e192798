"""Exchange: one request on a connection and the answer to it."""

from collections.abc import Iterable
from typing import Final, Protocol

from medlarhoist.core.head_check import Framing
from medlarhoist.core.headers import Header
from medlarhoist.node.proxy.body import Body
from medlarhoist.node.proxy.head import (
    LAST_CHUNK,
    REASONS,
    write_answer_head,
    write_chunk,
)
from medlarhoist.node.proxy.reader import Head

CLOSE: Final = (b'connection', b'close')
_NO_BODY_STATUS: Final = frozenset((204, 304))


class Connection(Protocol):
    """What an exchange asks of its connection."""

    def switch_reading(self, is_on: bool) -> None:
        """Read on from the caller, or pause."""

    def will_keep(self, exchange: 'Exchange') -> bool:
        """Say whether the connection stays after this answer."""

    @property
    def is_held_up(self) -> bool:
        """Say whether the caller reads more slowly than the answer comes."""

    def buffer(self, raw: bytes) -> None:
        """Keep bytes to send them with the next ones."""

    def flush(self) -> None:
        """Send what is held back."""

    async def write(self, raw: bytes) -> None:
        """Send bytes; waits while too many are on their way."""

    def finish(self, exchange: 'Exchange') -> None:
        """End the answer and go on with the next request."""

    def reset(self) -> None:
        """Cut the connection at once."""


class Exchange:
    """One request and the answer to it.

    Args:
        head: head of the request.
        body: body of the request.
        started: whether bytes of the answer went out.
        finished: whether the whole answer went out.
    """

    __slots__ = ('_conn', '_framing', 'body', 'finished', 'head', 'started')

    def __init__(self, conn: Connection, head: Head) -> None:
        """Start the exchange of one request."""
        self._conn = conn
        self._framing = Framing()
        self.head = head
        self.body = Body(conn.switch_reading)
        self.started = False
        self.finished = False

    def start(
        self,
        status: int,
        headers: Iterable[Header],
        framing: Framing,
        reason: bytes | None = None,
    ) -> None:
        """Send the head of the answer."""
        self.started = True
        fields = list(headers)
        if not self._conn.will_keep(self):
            fields.append(CLOSE)
        if self.head.is_old and framing.chunked:
            framing = Framing()
        phrase = REASONS.get(status, b'') if reason is None else reason
        self._conn.buffer(write_answer_head(status, phrase, fields, framing))
        has_none = self.head.method == b'HEAD' or status in _NO_BODY_STATUS
        self._framing = Framing() if has_none else framing

    async def write(self, piece: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        if self._framing.chunked:
            piece = write_chunk(piece)
        await self._conn.write(piece)

    def finish(self) -> None:
        """Send the end of the answer."""
        if self._framing.chunked:
            self._conn.buffer(LAST_CHUNK)
        self.finished = True
        self._conn.finish(self)

    def answer(
        self,
        status: int,
        headers: Iterable[Header],
        content: bytes,
    ) -> None:
        """Send a whole small answer."""
        self.start(status, headers, Framing(len(content), declared=True))
        if self.head.method != b'HEAD':
            self._conn.buffer(content)
        self.finish()

    def flush(self) -> None:
        """Send what is held back."""
        self._conn.flush()

    @property
    def is_held_up(self) -> bool:
        """Say whether the caller reads more slowly than the answer comes."""
        return self._conn.is_held_up

    def abort(self) -> None:
        """Reset the connection, so that the answer cannot pass as whole."""
        self._conn.reset()
