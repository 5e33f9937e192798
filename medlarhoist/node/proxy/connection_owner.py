"""Connection owner: what a connection needs of the listener that accepted it."""

from collections.abc import Callable
from typing import Any, Final, Protocol

from medlarhoist.core.resource import Limits
from medlarhoist.node.proxy.ahead import ReadAheadOwner
from medlarhoist.node.proxy.client_memory import MemoryOwner

CONNECTION_LIMIT: Final = 4096
FindLimits = Callable[[], Limits]


class ConnectionOwner(ReadAheadOwner, MemoryOwner, Protocol):
    """The listener that a connection was accepted by.

    Args:
        connections: the open connections.
        malformed_requests: number of malformed or too large requests.
        find_limits: returns the limits in force for received requests.
    """

    connections: set[Any]
    malformed_requests: int
    find_limits: FindLimits
