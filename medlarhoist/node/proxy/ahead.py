"""Ahead: requests that a caller sends before earlier responses are complete.

They are served side by side. Their responses are kept and sent in the order of
the requests.
"""

import asyncio
from collections.abc import Iterable
from typing import Final, Protocol

from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import BAD_GATEWAY_STATUS, Failure
from medlarhoist.node.proxy.body import HIGH_WATER_BYTES, READ_BYTES
from medlarhoist.node.proxy.exchange import Exchange, ResponseWriter
from medlarhoist.node.proxy.relay import refuse

# Requests in progress on a connection. A caller can have more side by side on
# further connections, whose number is limited as well.
IN_PROGRESS_LIMIT: Final = 8
# A response may keep that much before its turn: a piece that waits for room, and
# what is received behind it.
_WAITING_BYTES: Final = 2 * (HIGH_WATER_BYTES + READ_BYTES)
# Part of the limit of client memory for the responses that wait.
_WAITING_SHARE: Final = 0.25
# Bytes of kept responses on a connection, above which the next piece waits.
KEPT_BYTES: Final = 65_536
_BROKEN_OFF: Final = Failure(
    Verdict.MAY_HAVE_RUN,
    'response broke off',
    BAD_GATEWAY_STATUS,
)


class ReadAheadCounts:
    """Numbers of requests read ahead on the connections of a listener.

    Args:
        current: requests in progress behind others.
        limit: most of them.
        peak: most requests ever in progress on one connection.
        total: requests read ahead since the start.
    """

    __slots__ = ('current', 'limit', 'peak', 'total')

    def __init__(self, memory_bytes: int) -> None:
        """Start at zero.

        Args:
            memory_bytes: bytes that all clients may hold.
        """
        waiting_bytes = memory_bytes * _WAITING_SHARE
        self.limit = max(1, int(waiting_bytes / _WAITING_BYTES))
        self.current = 0
        self.peak = 0
        self.total = 0


class ReadAheadOwner(Protocol):
    """The listener of a connection.

    Args:
        is_draining: whether connections close after their current request.
        reads_ahead: whether requests are served while earlier ones of their
            connection are in progress.
        read_ahead: counts of such requests.
    """

    is_draining: bool
    reads_ahead: bool
    read_ahead: ReadAheadCounts


class AheadConnection(ResponseWriter, Protocol):
    """The connection that requests are read ahead on."""

    def update_memory(self) -> None:
        """Count again what the connection holds."""


class KeptResponse:
    """The response to a request that was read ahead, until its turn.

    Args:
        exchange: the request.
        pieces: bytes of the response that are kept.
        is_write_blocked: whether a write waits for room.
    """

    __slots__ = (
        '_conn',
        '_queue',
        '_room',
        'exchange',
        'is_write_blocked',
        'pieces',
    )

    def __init__(
        self,
        exchange: Exchange,
        conn: AheadConnection,
        queue: 'ReadAhead',
    ) -> None:
        """Keep the response of an exchange.

        Args:
            exchange: the request that was read ahead.
            conn: the connection, which is written to from its turn on.
            queue: the requests read ahead on the connection.
        """
        self._conn = conn
        self._queue = queue
        self._room: asyncio.Future[None] | None = None
        self.exchange = exchange
        self.is_write_blocked = False
        self.pieces: list[bytes] = []

    def will_keep_alive(self, exchange: Exchange) -> bool:
        """Return whether the connection stays open after the response."""
        return self._conn.will_keep_alive(exchange)

    def buffer(self, raw: bytes) -> None:
        """Keep bytes until the turn of the response."""
        self._queue.kept_bytes += len(raw)
        self.pieces.append(raw)

    def flush(self) -> None:
        """Do nothing, as nothing is sent before the turn."""

    async def write(self, raw: bytes) -> None:
        """Keep bytes, or send them if the turn has come during the wait.

        It waits for room while KEPT_BYTES are kept on the connection.
        """
        while self._queue.is_full and self._queue.holds(self):
            self.is_write_blocked = True
            self._conn.update_memory()
            self._room = asyncio.get_running_loop().create_future()
            await self._room
        self.is_write_blocked = False
        if self._queue.holds(self):
            self.buffer(raw)
        else:
            await self._conn.write(raw)

    def finish(self, exchange: Exchange) -> None:
        """Do nothing, as a complete response is sent at its turn."""

    def break_off(self, exchange: Exchange) -> None:
        """Replace a response that cannot be completed by a failure."""
        self._queue.kept_bytes -= sum(map(len, self.pieces))
        self.pieces.clear()
        replace_response(exchange)
        self._queue.wake_writers()

    def wake_writer(self) -> None:
        """Wake the write that waits for room, if there is one."""
        if self._room is not None and not self._room.done():
            self._room.set_result(None)


class ReadAhead:
    """The requests of a connection that were read ahead, the earliest first.

    Args:
        kept_bytes: bytes of their responses that are kept.
    """

    __slots__ = ('_counts', '_kept', '_owner', 'kept_bytes')

    def __init__(self, owner: ReadAheadOwner) -> None:
        """Start without requests.

        Args:
            owner: the listener of the connection.
        """
        self._owner = owner
        self._counts = owner.read_ahead
        self._kept: list[KeptResponse] = []
        self.kept_bytes = 0

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._kept)

    @property
    def is_full(self) -> bool:
        """Return whether no further piece of a response may be kept."""
        return self.kept_bytes >= KEPT_BYTES

    def count_held(self, first: Exchange | None) -> int:
        """Return the bytes that requests in progress and kept responses take.

        Args:
            first: the first request in progress, None if there is none.
        """
        held = 0 if first is None else first.held_bytes
        if not self._kept:
            return held
        return held + self.kept_bytes + sum(map(_count_kept, self._kept))

    def drop(self, first: Exchange | None) -> None:
        """Free what was received of requests in progress, which then fail.

        Args:
            first: the first request in progress, None if there is none.
        """
        if first is not None:
            first.drop()
        for kept in self._kept:
            kept.exchange.drop()

    def may_read(self, last: Exchange) -> bool:
        """Return whether to read another request behind those in progress.

        Args:
            last: the last request that was read.
        """
        if not self._owner.reads_ahead or self._owner.is_draining:
            return False
        if last.will_close or not last.head.keep_alive:
            return False
        return (
            len(self._kept) + 1 < IN_PROGRESS_LIMIT
            and self._counts.current < self._counts.limit
            and not self.is_full
        )

    def holds_back(self, pieces: Iterable[bytes]) -> bool:
        """Return whether to keep the beginning of the first response.

        While later requests are in progress, up to KEPT_BYTES are kept until it
        is complete: if it breaks off, it is replaced.

        Args:
            pieces: its bytes, of which none were sent.
        """
        return bool(self._kept) and sum(map(len, pieces)) < KEPT_BYTES

    def holds(self, kept: KeptResponse) -> bool:
        """Return whether the turn of a response has not come."""
        return kept in self._kept

    def add(self, exchange: Exchange, conn: AheadConnection) -> None:
        """Keep the response of another request until its turn.

        Args:
            exchange: the request.
            conn: the connection that it was received on.
        """
        kept = KeptResponse(exchange, conn, self)
        exchange.turn = asyncio.get_running_loop().create_future()
        exchange.attach(kept)
        self._kept.append(kept)
        self._counts.total += 1
        self._counts.current += 1
        self._counts.peak = max(self._counts.peak, len(self._kept) + 1)

    def pop(self) -> KeptResponse:
        """Remove and return the earliest request, whose turn has come."""
        kept = self._kept.pop(0)
        self._counts.current -= 1
        self.kept_bytes -= sum(map(len, kept.pieces))
        kept.wake_writer()
        self.wake_writers()
        turn = kept.exchange.turn
        if turn is not None and not turn.done():
            turn.set_result(None)
        return kept

    def cancel(self) -> None:
        """End all requests, as their responses cannot be sent any more."""
        self._counts.current -= len(self._kept)
        for kept in self._kept:
            kept.exchange.cancel()
        self._kept.clear()

    def wake_writers(self) -> None:
        """Wake the writes that wait for room."""
        for kept in self._kept:
            kept.wake_writer()


def _count_kept(kept: KeptResponse) -> int:
    """Return the bytes that a request takes whose response is kept."""
    waiting = _WAITING_BYTES if kept.is_write_blocked else 0
    return kept.exchange.held_bytes + waiting


def replace_response(exchange: Exchange) -> None:
    """Replace a response, of which nothing was sent, by a failure.

    Args:
        exchange: its request; what was buffered of the response is discarded
            by the caller.
    """
    exchange.started = False
    refuse(exchange, _BROKEN_OFF)
