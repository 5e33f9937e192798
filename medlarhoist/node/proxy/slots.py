"""Slots: the requests that a target runs, and those that wait for a slot."""

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

CANCEL_HOLD_S: Final = 0.05
_SMOOTHING: Final = 0.1
_KEY: Final = attrgetter('key')


class _Waiter:
    """A call that waits for a slot."""

    __slots__ = ('fut', 'key', 'need')

    def __init__(self, need: CallRequirements, key: Key) -> None:
        self.fut: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self.key = key
        self.need = need

    def end(self, *, has_slot: bool) -> bool:
        """Tell the call; say whether it was still there."""
        if self.fut.done():
            return False
        self.fut.set_result(has_slot)
        return True


class Slots:
    """The slots of the target beside this node.

    Args:
        used: slots in use.
        peak: most slots ever in use at once.
    """

    __slots__ = (
        '_busy_s',
        '_count',
        '_ended',
        '_usual_s',
        '_waiters',
        'peak',
        'used',
    )

    def __init__(self, count: Callable[[], int]) -> None:
        """Start without a request.

        Args:
            count: returns how many slots there are.
        """
        self._busy_s = INITIAL_BUSY_S
        self._count = count
        self._ended = 0
        self._usual_s: dict[tuple[bool, int], float] = {}
        self._waiters: list[_Waiter] = []
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

    async def acquire(self, need: CallRequirements) -> bool:
        """Take a slot, at once or after a wait; say whether there is one."""
        now = time.monotonic()
        need = replace(need, usual_s=self._usual_s.get(need.load_class, 0))
        key = queue_key(need, now)
        ahead = sum(waiter.key <= key for waiter in self._waiters)
        admission = admit(self.load, need, now, ahead)
        if admission is Admission.REFUSE:
            return False
        if admission is Admission.WAIT:
            return await self._wait(_Waiter(need, key))
        self.used += 1
        self.peak = max(self.peak, self.used)
        return True

    def release(self) -> None:
        """Hand the slot to the first that waits, or give it up.

        Whoever waits longer than was predicted makes room for those that can
        still end in time.
        """
        self._refuse_hopeless(0)
        while self._waiters and self.used <= self._count():
            if self._waiters.pop(0).end(has_slot=True):
                return
        self.used -= 1

    def free_later(self) -> None:
        """Free the slot once the target can have seen the cancellation."""
        loop = asyncio.get_running_loop()
        loop.call_later(CANCEL_HOLD_S, self.release)

    def finish(
        self,
        need: CallRequirements,
        started: float,
        *,
        is_whole: bool,
        is_sample: bool,
    ) -> None:
        """Free the slot of a request that has ended.

        Args:
            need: what it needed.
            started: when it took the slot, seconds of the monotonic clock.
            is_whole: whether the whole answer came.
            counts: whether its time tells what requests usually take.
        """
        if not is_whole:
            self.free_later()
            return
        if is_sample:
            self._note_time(need, time.monotonic() - started)
        self.release()

    def _note_time(self, need: CallRequirements, took_s: float) -> None:
        """Take in how long a good call held its slot."""
        self._ended += 1
        weight = max(_SMOOTHING, 1 / self._ended)
        self._busy_s += weight * (took_s - self._busy_s)
        usual_s = self._usual_s.get(need.load_class, took_s)
        usual_s += _SMOOTHING * (took_s - usual_s)
        self._usual_s[need.load_class] = usual_s

    def refuse_waiters(self) -> None:
        """Refuse all that wait."""
        waiters = self._waiters
        self._waiters = []
        for waiter in waiters:
            waiter.end(has_slot=False)

    async def _wait(self, waiter: _Waiter) -> bool:
        """Wait until a slot is handed over, or refused."""
        insort(self._waiters, waiter, key=_KEY)
        self._refuse_hopeless(self._waiters.index(waiter) + 1)
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            elif not waiter.fut.cancelled() and waiter.fut.result():
                self.release()
            raise

    def _refuse_hopeless(self, place: int) -> None:
        """Refuse those from a place on that cannot end in time any more."""
        if place >= len(self._waiters):
            return
        now = time.monotonic()
        load = self.load
        kept = self._waiters[:place]
        for waiter in self._waiters[place:]:
            if can_finish_in_time(load, waiter.need, now, len(kept)):
                kept.append(waiter)
            else:
                waiter.end(has_slot=False)
        self._waiters = kept
