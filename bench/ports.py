"""Ports: finds free loopback ports for the processes of an experiment.

Each pool owns a block of ports for as long as it lives, guarded by a bound
socket, so that experiments that run at the same time do not collide. The
blocks lie below the range that the kernel gives to outgoing connections.
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
# More waiting connections than a listener with the shortest queue takes.
CONNECTIONS_FILLING_QUEUE: Final = 8


class PortPool:
    """Hands out the free ports of one block, each once."""

    __slots__ = ('_guard', '_rest')

    def __init__(self) -> None:
        """Claim a block.

        Raises:
            OSError: every block is taken.
        """
        for first in _blocks():
            guard = _bind(first, socket.SOCK_STREAM)
            if guard is not None:
                self._guard = guard
                self._rest = iter(range(first + 1, first + BLOCK_PORTS))
                return
        raise OSError('every block of ports is taken')

    def allocate(self) -> int:
        """Return a port free for TCP and UDP.

        Raises:
            OSError: the block is used up.
        """
        for port in self._rest:
            if _is_free(port):
                return port
        raise OSError('the block of ports is used up')

    def allocate_address(self) -> str:
        """Return a free host:port."""
        return f'{LOOPBACK}:{self.allocate()}'

    def close(self) -> None:
        """Give the block back."""
        self._guard.close()


def _blocks() -> list[int]:
    """Return the first ports of all blocks, begun at a place of its own."""
    blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
    offset = os.getpid() % len(blocks)
    return blocks[offset:] + blocks[:offset]


def _bind(port: int, kind: int) -> socket.socket | None:
    bound = socket.socket(socket.AF_INET, kind)
    try:
        bound.bind((LOOPBACK, port))
    except OSError:
        bound.close()
        return None
    return bound


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        probe = _bind(port, kind)
        if probe is None:
            return False
        probe.close()
    return True


@contextmanager
def open_unresponsive_address() -> Iterator[str]:
    """Give an address that answers nothing, as that of a lost VM.

    Its queue of new connections is full, so opening packets are dropped.
    """
    with ExitStack() as stack:
        listener = socket.create_server((LOOPBACK, 0), backlog=0)
        stack.enter_context(listener)
        address = listener.getsockname()
        for _ in range(CONNECTIONS_FILLING_QUEUE):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(address)
        yield f'{LOOPBACK}:{address[1]}'
