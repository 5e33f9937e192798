"""Cold target: keeps the limit of the target beside a node while it is cold."""

import asyncio
import time
from collections.abc import Callable
from math import inf

from loguru import logger

from medlarhoist.core.cold_start import (
    Coldness,
    cold_seconds,
    find_cold_rate,
    presume_cold,
    record_notice,
)
from medlarhoist.core.resource import Service
from medlarhoist.core.target import TargetNotice

_MS_PER_SECOND = 1000
ApplyRate = Callable[[float, float], None]


class ColdTarget:
    """Whether the target beside this node is cold.

    Args:
        rate: requests per second that it accepts as a cold one, zero for no
            such limit.
        started: how often it has turned cold.
        find_service: returns a service of the configuration in force by its
            name, None if there is none.
        is_drained: whether the failure domain of this node is drained.
        silence_s: seconds without a notice after which the target is presumed
            to have ended and to be cold once it is there again.
    """

    __slots__ = (
        '_apply',
        '_coldness',
        '_notice',
        '_silence',
        '_timer',
        'find_service',
        'is_drained',
        'rate',
        'silence_s',
        'started',
    )

    def __init__(
        self,
        find_service: Callable[[str], Service | None],
        apply: ApplyRate,
    ) -> None:
        """Start without a target.

        Args:
            find_service: returns a service of the configuration in force.
            apply: called with the rate and the seconds for which the target
                counts as cold, after each notice and when it is warm.
        """
        self._apply = apply
        self._coldness = Coldness()
        self._notice: TargetNotice | None = None
        self._silence: asyncio.TimerHandle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.find_service = find_service
        self.is_drained: Callable[[], bool] = _is_never_drained
        self.rate = float()
        self.silence_s = inf
        self.started = 0

    def set_notice(self, notice: TargetNotice, *, is_new_run: bool) -> None:
        """Update to the latest notice of the target.

        The targets of a drained domain may turn cold until it is taken back.
        They are presumed to be cold until the first notice after that.
        """
        now = time.monotonic()
        self._notice = notice
        cold_s = notice.cold_ms / _MS_PER_SECOND
        self._coldness = record_notice(
            self._coldness, cold_s, now, is_new_run=is_new_run
        )
        if self.is_drained():
            self._coldness = presume_cold(self._coldness, now)
        self._update()
        self._await_next()

    def presume(self) -> None:
        """Presume that the target is cold until its next notice.

        It accepts no connections or is silent, so the next process that is
        there may be another one, which has just started.
        """
        self._coldness = presume_cold(self._coldness, time.monotonic())
        self._update()

    def stop(self) -> None:
        """Stop to wait for the end of the coldness, and for notices."""
        _cancel(self._timer)
        _cancel(self._silence)

    def _await_next(self) -> None:
        _cancel(self._silence)
        if self.silence_s < inf:
            loop = asyncio.get_running_loop()
            self._silence = loop.call_later(self.silence_s, self.presume)

    def _update(self) -> None:
        _cancel(self._timer)
        if self._notice is None:
            return
        now = time.monotonic()
        cold_s = cold_seconds(self._coldness, now)
        service = self.find_service(self._notice.service)
        rate = find_cold_rate(service, self._coldness, now)
        if bool(rate) != bool(self.rate):
            self.started += bool(rate)
            _log_change(self._notice, rate, cold_s)
        self.rate = rate
        if rate and self._coldness.presumed_at is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(cold_s, self._update)
        self._apply(rate, cold_s)


def _log_change(notice: TargetNotice, rate: float, cold_s: float) -> None:
    logger.bind(
        service=notice.service,
        run=notice.run_id,
        rate=rate,
        cold_ms=round(cold_s * _MS_PER_SECOND),
        stated_ms=notice.cold_ms,
    ).info('target: is cold' if rate else 'target: is warm')


def _cancel(timer: asyncio.TimerHandle | None) -> None:
    if timer is not None:
        timer.cancel()


def _is_never_drained() -> bool:
    return False
