"""Logs: sets up loguru for a process.

Lines are short sentences with a fixed prefix for each part. Where a fault
repeats, a few lines per interval are written and the rest are counted.
"""

import sys
from collections.abc import Callable
from typing import Any, Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.settings import Logs
from medlarhoist.utils.clock import monotonic_seconds

REPEAT_INTERVAL_SECONDS: Final = 10.0
LINES_PER_INTERVAL: Final = 5
WARNING_LEVEL: Final = 30
_TEXT_FORMAT: Final = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[process]} {message}'
    '{extra[suffix]}\n{exception}'
)

Clock = Callable[[], float]


class _Burst(Struct):
    """What one place has logged in the present interval."""

    since: float
    written: int = 0
    left_out: int = 0


class RepeatFilter:
    """Lets a few lines of each place through per interval.

    A place is a log call of level warning or above. Lines below that level
    are never held back.
    """

    __slots__ = ('_bursts', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Take a clock that returns seconds."""
        self._clock = clock
        self._bursts: dict[tuple[str, int], _Burst] = {}

    def __call__(self, record: Any) -> bool:
        """Say whether a line is written, and count those that are not."""
        record['extra']['suffix'] = ''
        if record['level'].no < WARNING_LEVEL:
            return True
        place = (record['name'], record['line'])
        now = self._clock()
        burst = self._bursts.setdefault(place, _Burst(now))
        if now - burst.since >= REPEAT_INTERVAL_SECONDS:
            if burst.left_out:
                suffix = f' ({burst.left_out} more like it before)'
                record['extra']['suffix'] = suffix
            burst = _Burst(now)
            self._bursts[place] = burst
        if burst.written >= LINES_PER_INTERVAL:
            burst.left_out += 1
            return False
        burst.written += 1
        return True


def set_up_logs(cfg: Logs, process: str, stream: Any = None) -> None:
    """Write the logs of this process to a stream.

    Args:
        cfg: level and form of the lines.
        process: name of the process, in each line.
        stream: text stream; standard output where it is left out.
    """
    logger.remove()
    logger.configure(extra={'process': process, 'suffix': ''})
    logger.add(
        stream or sys.stdout,
        level=cfg.level,
        format=_format_text,
        filter=RepeatFilter(monotonic_seconds),
        serialize=cfg.json,
        backtrace=False,
        diagnose=False,
    )


def _format_text(record: Any) -> str:
    return _TEXT_FORMAT
