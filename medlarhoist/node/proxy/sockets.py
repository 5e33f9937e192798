"""Sockets: states and closes of connections that asyncio does not offer."""

import asyncio
import fcntl
import select
import socket
import struct
import sys
import termios
import time
from collections.abc import Callable
from typing import Any, Final

CLOSE_LINGER_S: Final = 1.0
# Callers that send for longer after their response are cut off.
MAX_CLOSE_LINGER_S: Final = 10.0
# Well below half a second, after which no request may start for a caller that
# has left.
DISCONNECT_CHECK_S: Final = 0.1
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
_INT_BYTES: Final = struct.calcsize('i')
_DISCONNECTED: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def poll_events(transport: Any, events: int) -> int:
    """Return which events the socket of a transport has now; zero for none.

    Args:
        transport: transport of an open connection.
        events: the events to look for, constants of the module select. Errors
            and hang-ups are returned as well.
    """
    poller = select.poll()
    poller.register(transport.get_extra_info('socket').fileno(), events)
    return sum(found for _, found in poller.poll(0))


def is_disconnected(transport: Any) -> bool:
    """Return whether the remote end has closed, also behind unread bytes."""
    return bool(poll_events(transport, select.POLLRDHUP) & _DISCONNECTED)


def has_unread_bytes(transport: Any) -> bool:
    """Return whether bytes have arrived that the loop has not read."""
    return bool(poll_events(transport, select.POLLIN))


def count_unread_bytes(transport: Any) -> int:
    """Return the received bytes that the loop has not read from the socket."""
    found = bytearray(_INT_BYTES)
    try:
        fcntl.ioctl(
            transport.get_extra_info('socket').fileno(),
            termios.FIONREAD,
            found,
        )
    except (OSError, ValueError):
        # The connection is closed.
        return 0
    return int.from_bytes(found, sys.byteorder)


def reset_connection(transport: Any) -> None:
    """Close a connection at once with a TCP reset, unless it is closing.

    A connection that is closing is aborted.
    """
    if not transport.is_closing():
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


def close_gracefully(
    transport: Any,
    find_received_at: Callable[[], float],
) -> None:
    """Close for writing now, and completely once the remote end is silent.

    Closing at once would reset the connection if the remote end still sends,
    which might discard the response before it is read.

    Args:
        transport: transport of a connection whose reading is on.
        find_received_at: returns when bytes arrived last, seconds of the
            monotonic clock.
    """
    try:
        transport.write_eof()
    except OSError:
        transport.abort()
        return
    _close_when_silent(transport, find_received_at, time.monotonic())


def _close_when_silent(
    transport: Any,
    find_received_at: Callable[[], float],
    since: float,
) -> None:
    """Close if nothing has arrived for CLOSE_LINGER_S, else check again later.

    After MAX_CLOSE_LINGER_S it is closed even if bytes still arrive.

    Args:
        transport: transport of the connection.
        find_received_at: returns when bytes arrived last, seconds of the
            monotonic clock.
        since: when it was closed for writing, same clock.
    """
    silent_at = max(find_received_at(), since) + CLOSE_LINGER_S
    left_s = min(silent_at, since + MAX_CLOSE_LINGER_S) - time.monotonic()
    if left_s <= 0:
        transport.close()
    elif not transport.is_closing():
        asyncio.get_running_loop().call_later(
            left_s,
            _close_when_silent,
            transport,
            find_received_at,
            since,
        )


class DisconnectCheck:
    """Aborts a connection that the remote end closes while it is not read.

    The loop reports no disconnect while reading is paused.
    """

    __slots__ = ('_timer', '_transport')

    def __init__(self, transport: Any) -> None:
        """Create a check that has not been started.

        Args:
            transport: transport of the connection.
        """
        self._transport = transport
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check each DISCONNECT_CHECK_S until it is stopped."""
        self.stop()
        self._timer = asyncio.get_running_loop().call_later(
            DISCONNECT_CHECK_S,
            self._check,
        )

    def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._transport.is_closing():
            return
        if is_disconnected(self._transport):
            self._transport.abort()
        else:
            self.start()
