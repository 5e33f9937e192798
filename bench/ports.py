"""Ports: allocates free loopback ports to the processes of an experiment.

Each pool reserves a block of ports until it is closed, by a socket bound to
the first port, so that experiments that run at the same time do not collide.
The blocks lie below the ephemeral range, from which the kernel allocates the
ports of outgoing connections.
"""

import os
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Final

FIRST_PORT: Final = 15_000
LAST_PORT: Final = 32_000
BLOCK_PORTS: Final = 200
LOOPBACK: Final = '127.0.0.1'
# More connections than the accept queue of a listener with backlog 0 holds.
CONNECTIONS_FILLING_QUEUE: Final = 8


class PortPool:
    """Allocates the free ports of one block, each at most once."""

    __slots__ = ('_candidates', '_guard')

    def __init__(self) -> None:
        """Reserve a block.

        Raises:
            OSError: every block is reserved.
        """
        for first in _block_starts():
            guard = _bind(first, socket.SOCK_STREAM)
            if guard is not None:
                self._guard = guard
                self._candidates = iter(range(first + 1, first + BLOCK_PORTS))
                return
        raise OSError(
            f'every block of {BLOCK_PORTS} ports from {FIRST_PORT}'
            f' to {LAST_PORT} is reserved',
        )

    def allocate(self) -> int:
        """Return a port that is free for TCP and UDP.

        Raises:
            OSError: every port of the block was allocated or is in use.
        """
        for port in self._candidates:
            if _is_free(port):
                return port
        raise OSError('no free port is left in the reserved block')

    def allocate_address(self) -> str:
        """Return a free loopback address, host:port; raises as `allocate`."""
        return f'{LOOPBACK}:{self.allocate()}'

    def close(self) -> None:
        """Release the block."""
        self._guard.close()


def _block_starts() -> list[int]:
    """Return the first ports of all blocks, starting from the process id.

    So processes that start at the same time try different blocks first.
    """
    blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
    offset = os.getpid() % len(blocks)
    return blocks[offset:] + blocks[:offset]


def _bind(
    port: int,
    kind: int,
    *,
    reuse: bool = False,
) -> socket.socket | None:
    bound = socket.socket(socket.AF_INET, kind)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuse)
    try:
        bound.bind((LOOPBACK, port))
    except OSError:
        bound.close()
        return None
    return bound


def _is_free(port: int) -> bool:
    """Return whether a listener and a datagram socket can use a port.

    Listeners use ports whose last connections are in TIME_WAIT.
    """
    listener = _bind(port, socket.SOCK_STREAM, reuse=True)
    if listener is None:
        return False
    listener.close()
    datagrams = _bind(port, socket.SOCK_DGRAM)
    if datagrams is None:
        return False
    datagrams.close()
    return True


@contextmanager
def open_unresponsive_address() -> Iterator[str]:
    """Yield an address that never replies, as that of a failed VM.

    The accept queue of its listener is full, so SYN packets are dropped: a
    connection attempt neither succeeds nor is refused.
    """
    with ExitStack() as stack:
        listener = socket.create_server((LOOPBACK, 0), backlog=0)
        stack.enter_context(listener)
        address = listener.getsockname()
        for _ in range(CONNECTIONS_FILLING_QUEUE):
            pending = stack.enter_context(socket.socket())
            pending.setblocking(False)
            pending.connect_ex(address)
        yield f'{LOOPBACK}:{address[1]}'
