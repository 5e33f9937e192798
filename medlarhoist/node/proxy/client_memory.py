"""Client memory: charges connections for what they make this process hold.

The decisions are in core.client_memory. A connection that may not be read is
paused, so that its client waits; a refused one is answered 503 if none of its
requests has begun, and reset otherwise.
"""

import asyncio
import time
from typing import Any, Final, Protocol

from loguru import logger

from medlarhoist.core.client_memory import MemoryBudget
from medlarhoist.node.proxy.body import HIGH_WATER_BYTES, READ_BYTES
from medlarhoist.node.proxy.sockets import DisconnectCheck, count_unread_bytes

DEFAULT_LIMIT_BYTES: Final = 67_108_864
# What paused connections hold may be used up without an event of their own.
RECHECK_S: Final = 0.25
# A connection whose body cannot be read on for longer is refused.
PAUSE_LIMIT_S: Final = 2.0
LOG_INTERVAL_S: Final = 10.0


class MemoryOwner(Protocol):
    """The listener of a connection.

    Args:
        client_memory: what its connections hold.
    """

    client_memory: 'ClientMemory'


class Holder(Protocol):
    """A connection that holds bytes for its client."""

    @property
    def is_write_blocked(self) -> bool:
        """Return whether writes wait, as the remote end reads too slowly."""

    @property
    def is_receiving_body(self) -> bool:
        """Return whether the rest of the body of a request is awaited."""

    def count_held(self) -> int:
        """Return the bytes that are received or wait for their turn."""

    def give_up(self) -> None:
        """Refuse or close the connection, for lack of memory."""


class ClientMemory:
    """The memory that the clients of a node's listeners share.

    Args:
        budget: what they hold, and the limit.
        paused: times that a connection was not read on.
        refused: connections that were refused or closed.
    """

    __slots__ = (
        '_charged',
        '_logged_at',
        '_logged_refused',
        '_paused',
        '_recheck',
        'budget',
        'paused',
        'refused',
    )

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Start without connections.

        Args:
            limit_bytes: bytes that all connections may hold.
        """
        self.budget = MemoryBudget(limit_bytes)
        self.paused = 0
        self.refused = 0
        # Insertion order makes the choice among equal ones reproducible.
        self._charged: dict[ConnectionMemory, None] = {}
        self._paused: dict[ConnectionMemory, None] = {}
        self._recheck: asyncio.TimerHandle | None = None
        self._logged_at = -LOG_INTERVAL_S
        self._logged_refused = 0

    def charge(self, memory: 'ConnectionMemory', charged: int) -> None:
        """Set what a connection is charged for; pause and refuse.

        Args:
            memory: the memory of the connection.
            charged: bytes beyond CONNECTION_BYTES.
        """
        self.release(memory)
        memory.charged = charged
        self.budget.charge(memory.address, charged)
        if charged:
            self._charged[memory] = None
        self._refuse_excess()
        self.apply_pause(memory)

    def release(self, memory: 'ConnectionMemory') -> None:
        """Stop to charge a connection."""
        self.budget.charge(memory.address, -memory.charged)
        memory.charged = 0
        self._charged.pop(memory, None)

    def forget(self, memory: 'ConnectionMemory') -> None:
        """Remove a closed connection."""
        self.release(memory)
        self.budget.count_connections(-1)
        self._paused.pop(memory, None)

    def apply_pause(self, memory: 'ConnectionMemory') -> None:
        """Pause or resume a connection as the budget says."""
        may_read = self.budget.may_read(memory.address, memory.charged)
        if may_read is not memory.is_paused:
            return
        if may_read:
            self._paused.pop(memory, None)
        else:
            self._paused[memory] = None
            self.paused += 1
            self._schedule_recheck()
        memory.set_paused(not may_read)

    def sweep(self) -> None:
        """Count again what connections hold; called every second."""
        for memory in tuple(self._charged):
            memory.update()
        self._refuse_excess()

    def _schedule_recheck(self) -> None:
        if self._recheck is None:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(RECHECK_S, self._check_paused)

    def _check_paused(self) -> None:
        self._recheck = None
        for memory in tuple(self._paused):
            memory.update()
            self.apply_pause(memory)
        since = time.monotonic() - PAUSE_LIMIT_S
        stuck = [each for each in self._paused if each.is_stuck(since)]
        self._refuse(self.budget.pick_stuck(stuck))
        if self._paused:
            self._schedule_recheck()

    def _refuse_excess(self) -> None:
        if self.budget.is_exceeded:
            self._refuse(self.budget.pick_refused(self._charged))

    def _refuse(self, refused: list['ConnectionMemory']) -> None:
        if not refused:
            return
        self.refused += len(refused)
        for memory in refused:
            self.release(memory)
            self._paused.pop(memory, None)
            memory.is_paused = False
        self._log()
        for each in refused:
            each.give_up()

    def _log(self) -> None:
        """Log refusals, at most once in LOG_INTERVAL_S."""
        now = time.monotonic()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        logger.bind(
            refused=self.refused - self._logged_refused,
            charged=len(self._charged),
            limit_bytes=self.budget.limit,
        ).warning('proxy: clients hold too much memory; refusing the largest')
        self._logged_at = now
        self._logged_refused = self.refused


class ConnectionMemory:
    """What one connection holds, and whether it is read.

    Args:
        address: address of its client, without the port.
        charged: bytes that it holds beyond CONNECTION_BYTES.
        is_paused: whether it is not read for lack of memory.
        paused_at: when that began, same clock as opened_at.
        opened_at: when it was accepted, seconds of the monotonic clock.
    """

    __slots__ = (
        '_conn',
        '_disconnect_check',
        '_is_open',
        '_is_wanted',
        '_shared',
        '_transport',
        'address',
        'charged',
        'is_paused',
        'opened_at',
        'paused_at',
    )

    def __init__(
        self, owner: MemoryOwner, transport: Any, conn: Holder
    ) -> None:
        """Start with a connection that holds nothing and is read.

        Args:
            owner: the listener.
            transport: transport of the connection.
            conn: the connection.
        """
        self._shared = owner.client_memory
        self._transport = transport
        self._conn = conn
        self._disconnect_check = DisconnectCheck(transport)
        # Whether the connection itself wants to be read.
        self._is_wanted = True
        peer = transport.get_extra_info('peername')
        self.address = str(peer[0]) if peer else ''
        self.charged = 0
        self.is_paused = False
        self.opened_at = time.monotonic()
        self.paused_at = self.opened_at
        self._is_open = True
        self._shared.budget.count_connections(1)

    def update(self) -> None:
        """Count what the connection holds, after it may have changed."""
        held = self._conn.count_held()
        held += self._transport.get_write_buffer_size()
        if self.is_paused or not self._is_wanted:
            held += count_unread_bytes(self._transport)
        if self._conn.is_write_blocked:
            # More of the response is received until it waits as well.
            held += HIGH_WATER_BYTES + READ_BYTES
        if self._is_open and (held != self.charged or self.is_paused):
            self._shared.charge(self, held)

    def close(self) -> None:
        """End the accounts of a closed connection; called once."""
        self._is_open = False
        self._shared.forget(self)

    def is_stuck(self, since: float) -> bool:
        """Return whether a body has not been read on for long.

        Args:
            since: when that began at the latest, same clock as opened_at.
        """
        return self.paused_at < since and self._conn.is_receiving_body

    def give_up(self) -> None:
        """Refuse or close the connection."""
        self._conn.give_up()

    def set_reading(self, is_on: bool) -> None:
        """Resume reading (True) or pause it (False), as the connection wants.

        It stays paused for lack of memory.
        """
        self._is_wanted = is_on
        self._disconnect_check.stop()
        if self._transport.is_closing():
            return
        if is_on and not self.is_paused:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
            self._disconnect_check.start()

    def set_paused(self, is_paused: bool) -> None:
        """Pause reading for lack of memory (True), or end that (False)."""
        self.is_paused = is_paused
        self.paused_at = time.monotonic()
        self.set_reading(self._is_wanted)
