"""Slots: the requests that a target runs, and those that wait for a slot."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Final

from medlarhoist.core.limit import START_ESTIMATE_S, Admission, Load, admit

CANCEL_HOLD_S: Final = 0.05
_SMOOTHING: Final = 0.1


class Slots:
    """The slots of the target beside this node.

    Args:
        used: slots in use.
        peak: most slots ever in use at once.
    """

    __slots__ = ('_busy_s', '_count', '_waiters', 'peak', 'used')

    def __init__(self, count: Callable[[], int]) -> None:
        """Start without a request.

        Args:
            count: returns how many slots there are.
        """
        self._busy_s = START_ESTIMATE_S
        self._count = count
        self._waiters: deque[asyncio.Future[bool]] = deque()
        self.peak = 0
        self.used = 0

    @property
    def load(self) -> Load:
        """Return the present load."""
        return Load(
            self._count(),
            self.used,
            len(self._waiters),
            self._busy_s,
        )

    async def take(self, deadline: float, *, is_spilled: bool) -> bool:
        """Take a slot, at once or after a wait; say whether there is one.

        Args:
            deadline: end of the call, seconds of the monotonic clock.
            is_spilled: whether it comes from another failure domain.
        """
        left_s = deadline - time.monotonic()
        admission = admit(self.load, left_s, is_spilled=is_spilled)
        if admission is Admission.REFUSE:
            return False
        if admission is Admission.WAIT:
            return await self._wait()
        self.used += 1
        self.peak = max(self.peak, self.used)
        return True

    def free(self) -> None:
        """Hand the slot to the first that waits, or give it up."""
        while self._waiters and self.used <= self._count():
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(True)
                return
        self.used -= 1

    def free_later(self) -> None:
        """Free the slot once the target can have seen the cancellation."""
        loop = asyncio.get_running_loop()
        loop.call_later(CANCEL_HOLD_S, self.free)

    def end(self, started: float, *, is_whole: bool) -> None:
        """Free the slot of a request that has ended.

        Args:
            started: when it took the slot, seconds of the monotonic clock.
            is_whole: whether the whole answer came.
        """
        if not is_whole:
            self.free_later()
            return
        took_s = time.monotonic() - started
        self._busy_s += _SMOOTHING * (took_s - self._busy_s)
        self.free()

    def refuse_waiters(self) -> None:
        """Refuse all that wait."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(False)

    async def _wait(self) -> bool:
        """Wait until a slot is handed over, or refused."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[bool] = loop.create_future()
        self._waiters.append(waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            elif waiter.done() and not waiter.cancelled() and waiter.result():
                self.free()
            raise
