"""Pool: the connections to one address, and attempts over them."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Final

from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import Failure, Request
from medlarhoist.node.proxy.call_log import log_malformed_response
from medlarhoist.node.proxy.client import USER_TIMEOUT_MS, ClientConnection
from medlarhoist.node.proxy.response import Response

# 100 times as long as a connection between failure domains takes. It ends
# before a lost SYN is retransmitted, which TCP does after one second.
CONNECT_TIMEOUT_S: Final = 0.3
MAX_IDLE_S: Final = 4.0
MAX_FRESH_IDLE_S: Final = 1.0
CountMalformed = Callable[[], None]
_NOT_REACHABLE: Final = Failure(
    Verdict.DID_NOT_RUN,
    'not reachable',
    is_unreachable=True,
)
_NOT_SENT: Final = Failure(
    Verdict.DID_NOT_RUN,
    'connection lost before the request',
)


class ConnectionPool:
    """The connections to one address.

    Args:
        address: host:port.
        limit: maximum number of connections, zero for no limit.
        opened: connections opened so far.
    """

    __slots__ = (
        '_connections',
        '_count_malformed',
        '_idle',
        'address',
        'limit',
        'opened',
    )

    def __init__(self, address: str, count_malformed: CountMalformed) -> None:
        """Start without connections.

        Args:
            address: host:port.
            count_malformed: called once for each malformed response.
        """
        self._count_malformed = count_malformed
        self.address = address
        self._idle: deque[ClientConnection] = deque()
        self._connections: set[ClientConnection] = set()
        self.limit = 0
        self.opened = 0

    @property
    def size(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def is_full(self) -> bool:
        """Return whether no more connections may be opened."""
        return bool(self.limit) and self.size >= self.limit

    async def acquire(
        self,
        *,
        fresh_only: bool,
    ) -> ClientConnection | None:
        """Return an idle connection, or open one.

        Args:
            fresh_only: skip connections idle for MAX_FRESH_IDLE_S, which the
                remote end may be closing at this moment. Set for requests that
                must not be repeated.

        Returns:
            The connection. None if the limit is reached or none can be opened.
        """
        max_idle_s = MAX_FRESH_IDLE_S if fresh_only else MAX_IDLE_S
        while self._idle:
            conn = self._idle.pop()
            is_recent = time.monotonic() - conn.idle_since < max_idle_s
            if is_recent and conn.is_open and conn.has_no_input():
                return conn
            conn.abort()
        if self.is_full:
            return None
        return await self._open()

    def add_idle(self, conn: ClientConnection) -> None:
        """Keep an idle connection for a later request."""
        conn.idle_since = time.monotonic()
        self._idle.append(conn)

    def remove(self, conn: ClientConnection) -> None:
        """Remove a closed or aborted connection."""
        self._connections.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)

    def report_malformed(self, caller_id: str, reason: str) -> None:
        """Count and log bytes that are no response, or in excess of one."""
        self._count_malformed()
        log_malformed_response(caller_id, self.address, reason)

    def sweep(self, now: float) -> None:
        """Close the connections that have been idle for MAX_IDLE_S.

        Args:
            now: seconds of the monotonic clock.
        """
        while self._idle and now - self._idle[0].idle_since > MAX_IDLE_S:
            self._idle[0].abort()

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for conn in tuple(self._idle):
            conn.abort()

    def close(self) -> None:
        """Abort every connection."""
        for conn in tuple(self._connections):
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
        self._connections.add(conn)
        conn.set_user_timeout(USER_TIMEOUT_MS)
        return conn


async def send_request(
    pool: ConnectionPool,
    request: Request,
) -> Response | Failure:
    """Send a request over a connection of a pool.

    Cancellation aborts the connection, which cancels the request at the remote
    end.

    Returns:
        The response, whose close must be called, or the failure.
    """
    fresh_only = not request.is_idempotent
    conn = await pool.acquire(fresh_only=fresh_only)
    if conn is None:
        return _NOT_REACHABLE
    try:
        response = await conn.send(request)
    except BaseException:
        conn.abort()
        raise
    if response is None:
        conn.abort()
        if request.progress.verdict is Verdict.DID_NOT_RUN:
            return _NOT_SENT
        reason = 'connection lost'
        if conn.fault:
            reason = f'malformed response: {conn.fault}'
        return Failure(
            request.progress.verdict,
            reason,
            502,
            is_lost=not conn.fault,
        )
    return response
