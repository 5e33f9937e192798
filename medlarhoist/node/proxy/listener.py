"""Listener: a listening address and the connections accepted on it."""

import asyncio
import ctypes
import socket
import struct
from typing import Final

from loguru import logger

from medlarhoist.core.compile import DEFAULT_LIMITS
from medlarhoist.core.resource import Limits
from medlarhoist.node.proxy.ahead import ReadAheadCounts
from medlarhoist.node.proxy.client_memory import ClientMemory
from medlarhoist.node.proxy.connection_owner import FindLimits
from medlarhoist.node.proxy.exchange import Serve
from medlarhoist.node.proxy.server import ServerConnection

BACKLOG: Final = 1024
# Linux's number of the option, which the socket module does not name.
_SO_ATTACH_FILTER: Final = 26
# Time in which a connection that is being set up has been set up.
HANDSHAKE_S: Final = 0.05
_LOAD_BYTE: Final = 0x30
_JUMP_IF_SET: Final = 0x45
_RETURN: Final = 6
_TCP_FLAGS_OFFSET: Final = 13
_SYN: Final = 2
_WHOLE_PACKET: Final = 0xFFFF
# A classic BPF program of (opcode, instructions to skip if true and if false,
# operand): it drops the packets that have the flag SYN.
_DROP_SYN: Final = (
    (_LOAD_BYTE, 0, 0, _TCP_FLAGS_OFFSET),
    (_JUMP_IF_SET, 0, 1, _SYN),
    (_RETURN, 0, 0, 0),
    (_RETURN, 0, 0, _WHOLE_PACKET),
)


def default_limits() -> Limits:
    """Return the limits that apply if nothing is configured."""
    return DEFAULT_LIMITS


class Listener:
    """A listening address and the connections accepted on it.

    Args:
        client_memory: what the connections hold.
        connections: the open connections.
        is_draining: whether connections close after their current request.
        reads_ahead: whether requests are served while earlier ones of their
            connection are in progress.
        read_ahead: counts of such requests.
        malformed_requests: number of malformed or too large requests.
        find_limits: returns the limits in force for received requests.
        port: port that it listens on, zero before the start.
    """

    __slots__ = (
        '_serve',
        '_server',
        '_sock',
        'client_memory',
        'connections',
        'malformed_requests',
        'find_limits',
        'is_draining',
        'port',
        'read_ahead',
        'reads_ahead',
    )

    def __init__(
        self,
        serve: Serve,
        find_limits: FindLimits = default_limits,
        *,
        reads_ahead: bool = False,
        client_memory: ClientMemory | None = None,
    ) -> None:
        """Create a listener; start makes it listen.

        Args:
            serve: coroutine function that handles each request. It awaits the
                turn of one that must not run before earlier ones of its
                connection are answered.
            find_limits: returns the limits in force for received requests.
            reads_ahead: whether requests are served while earlier ones of
                their connection are in progress.
            client_memory: what connections hold, shared with other
                listeners; None for an account of its own.
        """
        self.client_memory = client_memory or ClientMemory()
        self.reads_ahead = reads_ahead
        self.read_ahead = ReadAheadCounts(self.client_memory.budget.limit)
        self._serve = serve
        self.find_limits = find_limits
        self._server: asyncio.Server | None = None
        self._sock: socket.socket | None = None
        self.connections: set[ServerConnection] = set()
        self.is_draining = False
        self.malformed_requests = 0
        self.port = 0

    async def start(self, address: str) -> None:
        """Listen on an address.

        Args:
            address: host:port; port zero selects a free one.

        Raises:
            OSError: the address is not available for listening.
        """
        host, _, port = address.rpartition(':')
        self._sock = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._sock.setblocking(False)
        self.port = int(self._sock.getsockname()[1])
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            sock=self._sock,
            backlog=BACKLOG,
        )

    async def close(self) -> None:
        """Stop listening, after accepting the connections in the backlog.

        The system would reset these, together with requests that their
        callers have sent already, also a connection that is set up after the
        last accept. So none is set up any more from HANDSHAKE_S before.
        """
        if self._server is None or self._sock is None:
            return
        _hold_off_connections(self._sock)
        await asyncio.sleep(HANDSHAKE_S)
        accepted = _accept_all(self._sock)
        self._server.close()
        loop = asyncio.get_running_loop()
        for sock in accepted:
            await loop.connect_accepted_socket(self._accept, sock)

    def sweep(self, now: float) -> None:
        """Close connections that passed their head or idle timeout.

        Args:
            now: seconds of the monotonic clock.
        """
        for conn in tuple(self.connections):
            conn.sweep(now)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for conn in tuple(self.connections):
            conn.close_if_idle()

    def reset(self) -> None:
        """Close all connections at once with TCP resets."""
        for conn in tuple(self.connections):
            conn.reset()

    def _accept(self) -> ServerConnection:
        return ServerConnection(self, self._serve)


def _hold_off_connections(listening: socket.socket) -> None:
    """Drop the packets that ask for a connection, until it is closed.

    Their senders repeat them after a second, and are refused then.
    """
    instructions = ctypes.create_string_buffer(
        b''.join(struct.pack('HBBI', *step) for step in _DROP_SYN),
    )
    program = struct.pack('HP', len(_DROP_SYN), ctypes.addressof(instructions))
    try:
        listening.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError as exc:
        logger.warning('listener: cannot hold off connections: {}', exc)


def _accept_all(listening: socket.socket) -> list[socket.socket]:
    accepted: list[socket.socket] = []
    while True:
        try:
            sock, _ = listening.accept()
        except OSError:
            return accepted
        sock.setblocking(False)
        accepted.append(sock)
