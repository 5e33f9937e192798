"""Pool: the connections to one address, and attempts over them."""

import asyncio
import time
from collections import deque
from typing import Final

from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import Failure, Request
from medlarhoist.node.proxy.client import Answer, ClientConnection

# A hundred times as long as a connection takes between failure domains; the
# first repetition of a lost opening packet comes after a second.
CONNECT_TIMEOUT_S: Final = 0.3
# Three repetitions of a lost packet; a connection that stays silent for longer
# is cut off, and its call may be worth another attempt.
UNACKNOWLEDGED_MS: Final = 600
IDLE_LIMIT_S: Final = 4.0
FRESH_LIMIT_S: Final = 1.0
_NOT_REACHABLE: Final = Failure(
    Verdict.DID_NOT_RUN,
    'not reachable',
    is_unreachable=True,
)


class Pool:
    """The connections to one address.

    Args:
        address: host:port.
        limit: most connections, zero for no bound of its own.
        opened: connections opened so far.
    """

    __slots__ = ('_idle', '_known', 'address', 'limit', 'opened')

    def __init__(self, address: str) -> None:
        """Start without connections."""
        self.address = address
        self._idle: deque[ClientConnection] = deque()
        self._known: set[ClientConnection] = set()
        self.limit = 0
        self.opened = 0

    @property
    def size(self) -> int:
        """Return the number of open connections."""
        return len(self._known)

    async def take(
        self,
        *,
        fresh_only: bool,
    ) -> ClientConnection | None:
        """Return a connection, or None where none can be opened.

        Args:
            fresh_only: pass over connections that were idle for long, whose
                far end may be closing them at this moment.
        """
        limit_s = FRESH_LIMIT_S if fresh_only else IDLE_LIMIT_S
        while self._idle:
            conn = self._idle.pop()
            is_recent = time.monotonic() - conn.idle_since < limit_s
            if is_recent and conn.is_open and conn.is_silent():
                return conn
            conn.abort()
        if self.limit and self.size >= self.limit:
            return None
        return await self._open()

    def give_back(self, conn: ClientConnection) -> None:
        """Keep an idle connection for the next call."""
        conn.idle_since = time.monotonic()
        self._idle.append(conn)

    def forget(self, conn: ClientConnection) -> None:
        """Drop a connection that ended."""
        self._known.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)

    def sweep(self, now: float) -> None:
        """Close the connections that were idle for long."""
        while self._idle and now - self._idle[0].idle_since > IDLE_LIMIT_S:
            self._idle[0].abort()

    def close_idle(self) -> None:
        """Close the connections that carry no call."""
        for conn in tuple(self._idle):
            conn.abort()

    def close(self) -> None:
        """Cut every connection."""
        for conn in tuple(self._known):
            conn.abort()

    async def _open(self) -> ClientConnection | None:
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        opening = loop.create_connection(
            lambda: ClientConnection(self),
            host,
            int(port),
        )
        try:
            _, conn = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            return None
        conn.limit_silence(UNACKNOWLEDGED_MS)
        self._known.add(conn)
        return conn


async def send_request(pool: Pool, request: Request) -> Answer | Failure:
    """Make one attempt over a pool.

    Cancellation cuts the connection, which tells the far end.

    Returns:
        The answer, whose close must be called, or the failure.
    """
    fresh_only = not request.is_idempotent
    conn = await pool.take(fresh_only=fresh_only)
    if conn is None:
        return _NOT_REACHABLE
    try:
        answer = await conn.send(request)
    except BaseException:
        conn.abort()
        raise
    if answer is None:
        conn.abort()
        return Failure(request.progress.verdict, 'connection lost', 502)
    return answer
