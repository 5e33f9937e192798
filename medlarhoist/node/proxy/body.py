"""Body: a bounded stream of bytes from one connection to another.

The writer is paused while more than HIGH_WATER_BYTES wait to be read.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

HIGH_WATER_BYTES: Final = 131_072
SwitchReading = Callable[[bool], None]


class ShortBody(Exception):
    """The connection ended before the body did."""


class BodyTooLarge(Exception):
    """The body is longer than the node passes on."""


class Body:
    """The bytes of one message, in order."""

    __slots__ = ('_chunks', '_fault', '_switch', '_waiter', 'ended', 'size')

    def __init__(self, switch: SwitchReading) -> None:
        """Start an empty stream.

        Args:
            switch: tells the connection to read on (True) or to pause.
        """
        self._chunks: deque[bytes] = deque()
        self._fault: Exception | None = None
        self._switch = switch
        self._waiter: asyncio.Future[None] | None = None
        self.size = 0
        self.ended = False

    @property
    def is_whole(self) -> bool:
        """Say whether the rest can be had without waiting."""
        return self.ended and self._fault is None

    def feed(self, piece: bytes) -> None:
        """Add bytes."""
        self._chunks.append(piece)
        self.size += len(piece)
        if self.size > HIGH_WATER_BYTES:
            self._switch(False)
        self._wake()

    def end(self) -> None:
        """Say that all bytes were added."""
        self.ended = True
        self._wake()

    def fail(self, fault: Exception) -> None:
        """Say that the rest will not come."""
        if not self.ended:
            self.ended = True
            self._fault = fault
            self._wake()

    async def read(self) -> bytes:
        """Return what waits, or nothing at the end.

        Raises:
            ShortBody: the rest will not come.
            BodyTooLarge: the body passed its limit.
        """
        while not self._chunks and not self.ended:
            waiter = asyncio.get_running_loop().create_future()
            self._waiter = waiter
            await waiter
        return self.pop_buffered()

    def pop_buffered(self) -> bytes:
        """Return what waits now.

        Raises:
            ShortBody: the rest will not come.
            BodyTooLarge: the body passed its limit.
        """
        if not self._chunks:
            if self._fault is not None:
                raise self._fault
            return b''
        pieces = b''.join(self._chunks)
        self._chunks.clear()
        if self.size > HIGH_WATER_BYTES:
            self._switch(True)
        self.size = 0
        return pieces

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
