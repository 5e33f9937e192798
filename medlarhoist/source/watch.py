"""Watch: lets coroutines wait for a change of the replicated state."""

import asyncio
from collections.abc import Callable
from typing import Any

from medlarhoist.core.interfaces import Ledger
from medlarhoist.core.state import State

Condition = Callable[[State], bool]


class StateWatch:
    """Wakes waiting coroutines after each applied command."""

    __slots__ = ('_ledger', '_waiters')

    def __init__(self, ledger: Ledger) -> None:
        """Subscribe to a ledger; see create_state_watch."""
        self._ledger = ledger
        self._waiters: set[asyncio.Future] = set()

    def notify(self, *applied: Any) -> None:
        """Wake all waiting coroutines."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_until(self, condition: Condition, timeout: float) -> bool:
        """Wait until the state meets a condition.

        Args:
            condition: looked at once now and after each command.
            timeout: longest wait, in seconds.

        Returns:
            Whether the condition was met in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        while not condition(self._ledger.state):
            left = end - loop.time()
            if left <= 0:
                return False
            await self._wait(left)
        return True

    async def _wait(self, timeout: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:  # noqa: WPS501 - a cancelled waiter goes too
            await asyncio.wait({waiter}, timeout=timeout)
        finally:
            self._waiters.discard(waiter)


def create_state_watch(ledger: Ledger) -> StateWatch:
    """Return a watch that is notified by a ledger."""
    watch = StateWatch(ledger)
    ledger.subscribe(watch.notify)
    return watch
