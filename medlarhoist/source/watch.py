"""Watch: lets coroutines wait until the replicated state meets a condition."""

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
        """Start without waiting coroutines.

        Args:
            ledger: provides the state; create_state_watch() subscribes to it.
        """
        self._ledger = ledger
        self._waiters: set[asyncio.Future] = set()

    def notify(self, *applied: Any) -> None:
        """Wake all waiting coroutines; the ledger calls this back."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_until(self, condition: Condition, timeout: float) -> bool:
        """Wait until the state meets a condition.

        Args:
            condition: evaluated now and after each applied command.
            timeout: maximum wait, in seconds.

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
        try:  # noqa: WPS501 - remove the waiter on cancellation too
            await asyncio.wait({waiter}, timeout=timeout)
        finally:
            self._waiters.discard(waiter)


def create_state_watch(ledger: Ledger) -> StateWatch:
    """Return a watch that the ledger notifies of each applied command."""
    watch = StateWatch(ledger)
    ledger.subscribe(watch.notify)
    return watch
