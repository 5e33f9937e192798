"""Body: a stream of message bytes from one connection to another.

The sending connection is paused while more than HIGH_WATER_BYTES are
buffered, so that a slow reader bounds the memory of a body.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Final

from medlarhoist.core.head_check import HeadFault

HIGH_WATER_BYTES: Final = 65_536
# Bytes read from a connection at once; asyncio's own limit is four times that.
READ_BYTES: Final = 65_536
# The same on accepted connections. Heads and small chunks take long to parse, and
# all other connections wait meanwhile.
HEAD_READ_BYTES: Final = 16_384
BODY_READ_BYTES: Final = HIGH_WATER_BYTES + READ_BYTES - HEAD_READ_BYTES
# Pieces below it are joined, as each object takes some 50 bytes more.
_SMALL_PIECE_BYTES: Final = 2048
_TOO_LARGE_STATUS: Final = 413
SetReading = Callable[[bool], None]


def append_piece(pieces: deque[bytes], piece: bytes) -> None:
    """Append received bytes, joined with the last piece if both are small."""
    is_small = len(piece) < _SMALL_PIECE_BYTES
    if is_small and pieces and len(pieces[-1]) < _SMALL_PIECE_BYTES:
        pieces[-1] += piece
    else:
        pieces.append(piece)


class IncompleteBody(Exception):
    """The connection ended, or became malformed, before the body ended."""


class LostConnection(IncompleteBody):
    """The remote end closed or reset the connection before the body ended."""


class BodyTooLarge(Exception):
    """The body is longer than its limit."""


def make_body_fault(fault: HeadFault) -> Exception:
    """Return the exception by which a body fails that the reader refused."""
    if fault.status == _TOO_LARGE_STATUS:
        return BodyTooLarge()
    return IncompleteBody(fault.reason)


class Body:
    """The body of one message, which may still be arriving.

    Args:
        buffered_bytes: bytes received and not yet read.
        kept_bytes: bytes that were read and are kept to be sent again.
        ended: whether no more bytes will be added, also after a failure.
        ended_at: when the last byte was received, seconds of the monotonic
            clock; zero before that.
        ask_sender: called once if bytes are wanted before any has come, for a
            sender that waits to be asked; None for one that does not.
    """

    __slots__ = (
        '_chunks',
        '_fault',
        '_set_reading',
        '_waiter',
        'ask_sender',
        'buffered_bytes',
        'ended',
        'ended_at',
        'kept_bytes',
    )

    def __init__(self, set_reading: SetReading) -> None:
        """Start an empty body.

        Args:
            set_reading: called with False to pause reading from the
                connection, with True to resume it.
        """
        self._chunks: deque[bytes] = deque()
        self._fault: Exception | None = None
        self._set_reading = set_reading
        self._waiter: asyncio.Future[None] | None = None
        self.ask_sender: Callable[[], None] | None = None
        self.buffered_bytes = 0
        self.kept_bytes = 0
        self.ended = False
        self.ended_at = float()

    @property
    def is_whole(self) -> bool:
        """Return whether the body has been received completely."""
        return self.ended and self._fault is None

    @property
    def is_lost(self) -> bool:
        """Return whether the remote end ended the connection too soon."""
        return isinstance(self._fault, LostConnection)

    @property
    def is_awaited(self) -> bool:
        """Return whether everything received has been read and more is due.

        True as well if the sender has failed to send the rest.
        """
        is_read = not self.buffered_bytes and self.ask_sender is None
        return is_read and not self.is_whole

    def feed(self, piece: bytes) -> None:
        """Add received bytes."""
        self.ask_sender = None
        append_piece(self._chunks, piece)
        self.buffered_bytes += len(piece)
        if self.buffered_bytes > HIGH_WATER_BYTES:
            self._set_reading(False)
        self._wake()

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self.ended_at = time.monotonic()
        self._wake()

    def fail(self, fault: Exception) -> None:
        """Mark the body as failed, unless it has ended already.

        Args:
            fault: raised to the reader after the bytes that were received.
        """
        if not self.ended:
            self.ended = True
            self._fault = fault
            self._wake()

    def drop(self) -> None:
        """Discard what is buffered, so that the body fails, also a whole one.

        Its memory is free at once.
        """
        self.fail(IncompleteBody())
        self._fault = self._fault or IncompleteBody()
        self._chunks.clear()
        self.buffered_bytes = 0

    async def read(self) -> bytes:
        """Wait for bytes and return all that are buffered, b'' at the end.

        Raises:
            IncompleteBody: the connection failed before the end of the body.
            BodyTooLarge: the body is longer than its limit.
        """
        while not self._chunks and not self.ended:
            await self.await_bytes()
        return self.pop_buffered()

    def peek(self, size: int) -> bytes:
        """Return the first buffered bytes, at most size; they stay unread."""
        return b''.join(self._chunks)[:size] if size else b''

    def pop_buffered(self) -> bytes:
        """Remove and return the buffered bytes, b'' if there are none.

        Raises:
            IncompleteBody: nothing is buffered and the connection failed.
            BodyTooLarge: nothing is buffered and the body passed its limit.
        """
        if not self._chunks:
            if self._fault is not None:
                raise self._fault
            return b''
        pieces = b''.join(self._chunks)
        self._chunks.clear()
        if self.buffered_bytes > HIGH_WATER_BYTES:
            self._set_reading(True)
        self.buffered_bytes = 0
        return pieces

    async def await_bytes(self) -> None:
        """Wait until more bytes arrive or the body ends.

        Only one coroutine may wait at a time.
        """
        if self.ask_sender is not None:
            self.ask_sender()
            self.ask_sender = None
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
