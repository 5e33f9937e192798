"""Slots: counts the requests in a target and queues calls for a free slot.

A slot is the target's capacity for one request. core.admission decides which
calls start, wait or are refused.
"""

import asyncio
import time
from bisect import insort
from collections.abc import Callable
from operator import attrgetter
from typing import Final

from msgspec.structs import replace

from medlarhoist.core.admission import (
    INITIAL_BUSY_S,
    Admission,
    CallRequirements,
    Key,
    Load,
    admit,
    can_finish_in_time,
    queue_key,
)
from medlarhoist.core.rate_limit import TargetLimiter

CANCEL_HOLD_S: Final = 0.05
_SMOOTHING: Final = 0.1
_QUEUE_KEY: Final = attrgetter('key')


class _Waiter:
    """A queued call."""

    __slots__ = ('fut', 'key', 'requirements')

    def __init__(self, requirements: CallRequirements, key: Key) -> None:
        self.fut: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self.key = key
        self.requirements = requirements

    def resolve(self, *, has_slot: bool) -> bool:
        """Wake the call; return False if it was cancelled before."""
        if self.fut.done():
            return False
        self.fut.set_result(has_slot)
        return True


class Slots:
    """The slots of the target beside this node, and its queue.

    Args:
        used: slots in use.
        peak: highest number of slots ever in use at once.
    """

    __slots__ = (
        '_class_mean_s',
        '_count',
        '_limiter',
        '_mean_s',
        '_sample_count',
        '_timer',
        '_waiters',
        'peak',
        'used',
    )

    def __init__(self, count: Callable[[], int]) -> None:
        """Start with all slots free.

        Args:
            count: returns the present number of slots.
        """
        self._mean_s = INITIAL_BUSY_S
        self._count = count
        self._limiter = TargetLimiter()
        self._sample_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._class_mean_s: dict[tuple[bool, int], float] = {}
        self._waiters: list[_Waiter] = []
        self.peak = 0
        self.used = 0

    @property
    def load(self) -> Load:
        """Return the present load."""
        now = time.monotonic()
        return Load(
            self._count(),
            self.used,
            len(self._waiters),
            self._mean_s,
            self._limiter.rate,
            self._limiter.delay_s(now),
            self._limiter.cold_seconds(now),
        )

    def set_rate(self, rate: float) -> bool:
        """Limit the requests per second; zero for no limit.

        Returns:
            Whether that begins or ends a limit.
        """
        is_change = self._limiter.set_stated(rate, time.monotonic())
        self._start_waiters()
        return is_change

    def set_cold(self, rate: float, cold_s: float) -> None:
        """Limit the requests per second while the target is cold.

        Queued calls that can't have a slot soon any more are refused.

        Args:
            rate: requests per second, zero once it is warm.
            cold_s: for how much longer it is cold, seconds.
        """
        now = time.monotonic()
        if not rate and not self._limiter.cold_seconds(now):
            # Notices of warm targets come all the time.
            return
        self._limiter.set_cold(rate, cold_s, now)
        self._refuse_late(0)
        self._start_waiters()

    async def acquire(self, requirements: CallRequirements) -> bool:
        """Acquire a slot, at once or after a wait in the queue.

        Args:
            requirements: deadline, objective and priority of the call.

        Returns:
            Whether the call has a slot; False if it is refused. The holder of
            a slot calls finish, release or release_later once.
        """
        now = time.monotonic()
        requirements = replace(
            requirements,
            usual_s=self._class_mean_s.get(requirements.load_class, 0),
        )
        key = queue_key(requirements, now)
        ahead = sum(waiter.key <= key for waiter in self._waiters)
        admission = admit(self.load, requirements, now, ahead)
        if admission is Admission.REFUSE:
            return False
        if admission is Admission.WAIT:
            return await self._wait(_Waiter(requirements, key))
        self._occupy(now)
        return True

    def release(self) -> None:
        """Free a slot, which goes to the first call of the queue.

        Calls that waited for longer than predicted and cannot finish in time
        any more are refused first, so that later ones still can.
        """
        self.used -= 1
        self._refuse_late(0)
        self._start_waiters()

    def release_later(self) -> None:
        """Free a slot after CANCEL_HOLD_S, in which the target can cancel.

        It is for a request that the target may still be processing.
        """
        loop = asyncio.get_running_loop()
        loop.call_later(CANCEL_HOLD_S, self.release)

    def finish(
        self,
        requirements: CallRequirements,
        started: float,
        *,
        is_whole: bool,
        is_sample: bool,
    ) -> None:
        """Free the slot of a request that has ended.

        Args:
            requirements: those of its call.
            started: when it acquired the slot, seconds of the monotonic clock.
            is_whole: whether the response is complete.
            is_sample: whether its time counts for the mean.
        """
        if not is_whole:
            self.release_later()
            return
        if is_sample:
            self._record_time(requirements, time.monotonic() - started)
        self.release()

    def _record_time(
        self, requirements: CallRequirements, held_s: float
    ) -> None:
        """Update the moving averages by the time that a call held its slot.

        There is one mean of all calls and one for each class of calls.
        """
        self._sample_count += 1
        weight = max(_SMOOTHING, 1 / self._sample_count)
        self._mean_s += weight * (held_s - self._mean_s)
        mean_s = self._class_mean_s.get(requirements.load_class, held_s)
        mean_s += _SMOOTHING * (held_s - mean_s)
        self._class_mean_s[requirements.load_class] = mean_s

    def refuse_waiters(self) -> None:
        """Refuse all queued calls."""
        waiters = self._waiters
        self._waiters = []
        for waiter in waiters:
            waiter.resolve(has_slot=False)

    def _occupy(self, now: float) -> None:
        """Use a slot for a request that starts now."""
        self._limiter.take(now)
        self.used += 1
        self.peak = max(self.peak, self.used)

    def _start_waiters(self) -> None:
        """Give free slots to the queue, as fast as the limit allows."""
        now = time.monotonic()
        while self._waiters and self.used < self._count():
            delay_s = self._limiter.delay_s(now)
            if delay_s:
                self._wake_after(delay_s)
                return
            if self._waiters.pop(0).resolve(has_slot=True):
                self._occupy(now)

    def _wake_after(self, delay_s: float) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._refuse_late(0)
        self._start_waiters()

    async def _wait(self, waiter: _Waiter) -> bool:
        """Wait in the queue; return whether the call has got a slot."""
        insort(self._waiters, waiter, key=_QUEUE_KEY)
        self._refuse_late(self._waiters.index(waiter) + 1)
        self._start_waiters()
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            elif not waiter.fut.cancelled() and waiter.fut.result():
                self.release()
            raise

    def _refuse_late(self, start: int) -> None:
        """Refuse queued calls that cannot finish in time any more.

        Args:
            start: position in the queue of the first call to check.
        """
        if start >= len(self._waiters):
            return
        now = time.monotonic()
        load = self.load
        kept = self._waiters[:start]
        for waiter in self._waiters[start:]:
            if can_finish_in_time(load, waiter.requirements, now, len(kept)):
                kept.append(waiter)
            else:
                waiter.resolve(has_slot=False)
        self._waiters = kept
