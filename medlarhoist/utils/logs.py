"""Logs: sets up loguru for a process.

Lines are short sentences with a fixed prefix for each part; what decided is
bound to the line as fields. Each log call writes a bounded number of lines in
an interval and the rest are counted. Lines are dropped, and counted, where
the reader of standard output does not keep up: a process never waits for it.
"""

import os
import sys
from collections.abc import Callable
from traceback import format_exception
from typing import Any, Final

from loguru import logger
from msgspec import Struct, json

from medlarhoist.core.settings import Logs
from medlarhoist.utils.clock import monotonic_seconds

RATE_INTERVAL_SECONDS: Final = 10.0
WARNINGS_PER_INTERVAL: Final = 5
# Decisions on single requests: about four busy nodes' worth of them.
INFO_LINES_PER_INTERVAL: Final = 4000
WARNING_LEVEL: Final = 30
# A pipe takes lines up to this length whole or not at all.
MAX_LINE_BYTES: Final = 4096
MAX_TRACEBACK_CHARACTERS: Final = 2000
_FIELDS_OF_LOGS: Final = frozenset(('process', 'suffix'))
_CUT: Final = b'...\n'

Clock = Callable[[], float]
Write = Callable[[bytes], bool]


class _Burst(Struct):
    """What one place has logged in the present interval."""

    since: float
    written: int = 0
    left_out: int = 0


class RateLimitFilter:
    """Lets a bounded number of lines of each place through per interval.

    A place is a log call; those of level warning or above get fewer lines.
    """

    __slots__ = ('_bursts', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Take a clock that returns seconds."""
        self._clock = clock
        self._bursts: dict[tuple[str, int], _Burst] = {}

    def __call__(self, record: Any) -> bool:
        """Say whether a line is written, and count those that are not."""
        record['extra']['suffix'] = ''
        is_warning = record['level'].no >= WARNING_LEVEL
        limit = WARNINGS_PER_INTERVAL if is_warning else INFO_LINES_PER_INTERVAL
        place = (record['name'], record['line'])
        now = self._clock()
        burst = self._bursts.setdefault(place, _Burst(now))
        if now - burst.since >= RATE_INTERVAL_SECONDS:
            if burst.left_out:
                suffix = f' ({burst.left_out} more like it before)'
                record['extra']['suffix'] = suffix
            burst = _Burst(now)
            self._bursts[place] = burst
        if burst.written >= limit:
            burst.left_out += 1
            return False
        burst.written += 1
        return True


class LineWriter:
    """Writes lines without ever waiting.

    Args:
        dropped: lines that the reader did not take, since the last one.
    """

    __slots__ = ('_in_json', '_write', 'dropped')

    def __init__(self, write: Write, *, in_json: bool) -> None:
        """Write with a function that says whether it took the line."""
        self._in_json = in_json
        self._write = write
        self.dropped = 0

    def __call__(self, message: Any) -> None:
        """Write one line."""
        record = message.record
        line = _write_json(record) if self._in_json else _write_text(record)
        if self.dropped:
            note = b'(%d lines before were dropped) ' % self.dropped
            line = line if self._in_json else note + line
        if len(line) > MAX_LINE_BYTES:
            line = line[: MAX_LINE_BYTES - len(_CUT)] + _CUT
        if self._write(line):
            self.dropped = 0
        else:
            self.dropped += 1


def set_up_logs(cfg: Logs, process: str, stream: Any = None) -> None:
    """Write the logs of this process.

    Args:
        cfg: level and form of the lines.
        process: name of the process, in each line.
        stream: text stream; standard output where it is left out.
    """
    logger.remove()
    logger.configure(extra={'process': process, 'suffix': ''})
    write = (
        create_nonblocking_write(sys.stdout)
        if stream is None
        else _write_to(stream)
    )
    logger.add(
        LineWriter(write, in_json=cfg.json),
        level=cfg.level,
        format='{message}',
        filter=RateLimitFilter(monotonic_seconds),
        backtrace=False,
        diagnose=False,
    )


def create_nonblocking_write(stream: Any) -> Write:
    """Return a function that writes to a file descriptor, or drops."""
    descriptor = stream.fileno()
    os.set_blocking(descriptor, False)

    def write(line: bytes) -> bool:  # noqa: WPS430  keeps the descriptor
        try:
            os.write(descriptor, line)
        except OSError:
            return False
        return True

    return write


def _write_to(stream: Any) -> Write:
    def write(line: bytes) -> bool:  # noqa: WPS430  keeps the stream
        stream.write(line.decode())
        return True

    return write


def _write_json(record: Any) -> bytes:
    fields = {
        'at': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'process': record['extra']['process'],
        'message': _read_message(record),
        **_bound_fields(record),
    }
    if record['exception'] is not None:
        fields['exception'] = _format_trace(record['exception'])
    return b'%b\n' % json.encode(fields, enc_hook=str)


def _write_text(record: Any) -> bytes:
    at = record['time'].isoformat(timespec='milliseconds')
    extra = record['extra']
    bound = _bound_fields(record).items()
    parts = [at, record['level'].name, extra['process'], _read_message(record)]
    parts.extend(f'{name}={told}' for name, told in bound)
    if record['exception'] is not None:
        parts.append(f'\n{_format_trace(record["exception"])}')
    return '{}\n'.format(' '.join(parts)).encode()


def _read_message(record: Any) -> str:
    return '{}{}'.format(record['message'], record['extra']['suffix'])


def _format_trace(raised: Any) -> str:
    """Return the newest part of a traceback, which names the place."""
    text = ''.join(
        format_exception(raised.type, raised.value, raised.traceback)
    )
    return text[-MAX_TRACEBACK_CHARACTERS:]


def _bound_fields(record: Any) -> dict[str, Any]:
    extra = record['extra']
    return {name: extra[name] for name in extra if name not in _FIELDS_OF_LOGS}
