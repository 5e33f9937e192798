"""Client memory: what clients make a process hold, and who is refused.

Every connection counts with CONNECTION_BYTES. What it holds beyond that, as
each of its requests in progress, is charged to the connection, to the address of
its client and to the process. A connection that is charged for more than an
ordinary request is large.
"""

from collections.abc import Iterable
from typing import Final, Protocol, TypeVar

# The objects of a connection without a request.
CONNECTION_BYTES: Final = 4096
# The objects of a request in progress, and of the connection that it is sent on.
REQUEST_BYTES: Final = 16_384
# A connection with one request, whose head and body are short, is not large.
_ORDINARY_BYTES: Final = REQUEST_BYTES + 8192
# Parts of the limit, in which large connections stop to be read.
_PAUSE_SHARE: Final = 0.75
_ADDRESS_SHARE: Final = 0.5
_CONNECTION_SHARE: Final = 1 / 16
# Of connections that have been paused for long, that much is refused at once.
_STUCK_SHARE: Final = 1 / 8
# After refusals, that much is left to connections that are not refused.
_REFUSE_TO_SHARE: Final = 0.75
# The text of a head is held as received, as forwarded, as sent and in the buffer
# of the connection that it is sent on.
_HEAD_COPIES: Final = 4
# Part of the memory beside that of the process at rest. The rest is for what the
# allocator cannot use, and for all else.
_CLIENT_SHARE: Final = 0.5
_MIN_LIMIT_BYTES: Final = 4_194_304
# A header line as a record, besides its text.
_LINE_BYTES: Final = 150


class Holding(Protocol):
    """What a connection holds.

    Args:
        address: address of its client, without the port.
        charged: bytes beyond CONNECTION_BYTES.
        opened_at: when it was accepted, seconds of the monotonic clock.
    """

    address: str
    charged: int
    opened_at: float


AnyHolding = TypeVar('AnyHolding', bound=Holding)


class MemoryBudget:
    """The bytes that connections hold, against the limit of the process.

    Args:
        limit: bytes that all connections may hold.
        used: bytes that they hold.
        peak: most bytes they ever held.
    """

    __slots__ = ('_by_address', 'limit', 'peak', 'used')

    def __init__(self, limit: int) -> None:
        """Start with nothing held.

        Args:
            limit: bytes that all connections may hold.
        """
        self._by_address: dict[str, int] = {}
        self.limit = limit
        self.used = 0
        self.peak = 0

    @property
    def is_exceeded(self) -> bool:
        """Return whether connections have to be refused."""
        return self.used > self.limit

    def count_connections(self, change: int) -> None:
        """Add accepted connections, or subtract closed ones."""
        self.used += change * CONNECTION_BYTES

    def charge(self, address: str, change: int) -> None:
        """Add to what a connection holds, or subtract from it.

        Args:
            address: address of its client, without the port.
            change: bytes, negative for a subtraction.
        """
        self.used += change
        self.peak = max(self.peak, self.used)
        total = self._by_address.get(address, 0) + change
        if total:
            self._by_address[address] = total
        else:
            self._by_address.pop(address, None)

    def may_read(self, address: str, charged: int) -> bool:
        """Return whether to read on from a connection.

        A connection that is not large is always read.

        Args:
            address: address of its client, without the port.
            charged: bytes that it holds beyond CONNECTION_BYTES.
        """
        if charged <= _ORDINARY_BYTES:
            return True
        by_address = self._by_address.get(address, 0)
        return (
            self.used <= self.limit * _PAUSE_SHARE
            and by_address <= self.limit * _ADDRESS_SHARE
            and charged <= self.limit * _CONNECTION_SHARE
        )

    def pick_refused(self, holdings: Iterable[AnyHolding]) -> list[AnyHolding]:
        """Return the connections to refuse, empty within the limit.

        The largest are refused first, of two the one of the address that
        holds more, then the older one, until _REFUSE_TO_SHARE is reached.

        Args:
            holdings: the connections that are charged for something.
        """
        if not self.is_exceeded:
            return []
        excess = self.used - self.limit * _REFUSE_TO_SHARE
        return self._pick_largest(holdings, excess)

    def pick_stuck(self, holdings: Iterable[AnyHolding]) -> list[AnyHolding]:
        """Return the connections to refuse that were not read on for long.

        Their requests hold slots of targets, and may wait for one another alone.

        Args:
            holdings: connections that have been paused for long within a body.
        """
        return self._pick_largest(holdings, self.limit * _STUCK_SHARE)

    def _pick_largest(
        self, holdings: Iterable[AnyHolding], excess: float
    ) -> list[AnyHolding]:
        picked: list[AnyHolding] = []
        for holding in sorted(holdings, key=self._rank):
            if excess <= 0:
                break
            picked.append(holding)
            excess -= holding.charged + CONNECTION_BYTES
        return picked

    def _rank(self, holding: Holding) -> tuple[int, int, float]:
        by_address = self._by_address.get(holding.address, 0)
        size_class = holding.charged.bit_length()
        return -size_class, -by_address, holding.opened_at


def find_client_limit(
    client_bytes: int, memory_bytes: int, resident_bytes: int
) -> int:
    """Return the bytes that connections may hold, at least _MIN_LIMIT_BYTES.

    Args:
        client_bytes: limit of the settings.
        memory_bytes: memory that the process may use, zero if unknown.
        resident_bytes: memory of the process without connections.
    """
    if not memory_bytes:
        return client_bytes
    left = int((memory_bytes - resident_bytes) * _CLIENT_SHARE)
    return max(min(client_bytes, left), _MIN_LIMIT_BYTES)


def weigh_head(size: int, lines: int) -> int:
    """Return the bytes that a parsed head takes while its request runs.

    Args:
        size: bytes of its text.
        lines: header lines that are kept as records, zero if they are packed.
    """
    return size * _HEAD_COPIES + lines * _LINE_BYTES
