"""Sets up loguru for a process.

A line is a short sentence with a fixed prefix for its component; the inputs of
a decision are bound to the line as fields. The lines of each log statement are
rate-limited and the suppressed ones counted. If the reader of standard output
does not keep up, lines are dropped and counted: the process never blocks on it.
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
# Covers the decisions on single requests of about four busy nodes.
INFO_LINES_PER_INTERVAL: Final = 4000
WARNING_LEVEL: Final = 30
# POSIX guarantees that writes of up to this size to a pipe are atomic
# (PIPE_BUF on Linux), so a line is never written in part.
MAX_LINE_BYTES: Final = 4096
MAX_TRACEBACK_CHARACTERS: Final = 2000
_INTERNAL_FIELDS: Final = frozenset(('process', 'suffix'))
_ELLIPSIS: Final = b'...\n'

Clock = Callable[[], float]
Write = Callable[[bytes], bool]


class _StatementCount(Struct):
    """Lines of one log statement in the current interval.

    Args:
        since: start of the interval, in seconds of the filter's clock.
        written: lines that were written.
        left_out: lines that were suppressed.
    """

    since: float
    written: int = 0
    left_out: int = 0


class RateLimitFilter:
    """Limits the lines that each log statement writes per interval.

    Statements of level warning or above have a lower limit.
    """

    __slots__ = ('_clock', '_counts')

    def __init__(self, clock: Clock) -> None:
        """Measure intervals with a clock that returns seconds."""
        self._clock = clock
        self._counts: dict[tuple[str, int], _StatementCount] = {}

    def __call__(self, record: Any) -> bool:
        """Return whether to write a line; counts the suppressed lines.

        loguru calls it for each line. The first line of a new interval reports
        in its suffix how many lines the previous interval suppressed.
        """
        record['extra']['suffix'] = ''
        is_warning = record['level'].no >= WARNING_LEVEL
        limit = WARNINGS_PER_INTERVAL if is_warning else INFO_LINES_PER_INTERVAL
        statement = (record['name'], record['line'])
        now = self._clock()
        count = self._counts.setdefault(statement, _StatementCount(now))
        if now - count.since >= RATE_INTERVAL_SECONDS:
            if count.left_out:
                suffix = f' ({count.left_out} similar lines suppressed)'
                record['extra']['suffix'] = suffix
            count = _StatementCount(now)
            self._counts[statement] = count
        if count.written >= limit:
            count.left_out += 1
            return False
        count.written += 1
        return True


class LineWriter:
    """Formats log lines and writes them without blocking.

    Args:
        dropped: lines dropped since the last line that was written.
    """

    __slots__ = ('_in_json', '_write', 'dropped')

    def __init__(self, write: Write, *, in_json: bool) -> None:
        """Write with a function that returns whether it wrote the line."""
        self._in_json = in_json
        self._write = write
        self.dropped = 0

    def __call__(self, message: Any) -> None:
        """Write one line, or count it as dropped; called by loguru."""
        record = message.record
        line = _write_json(record) if self._in_json else _write_text(record)
        if self.dropped:
            prefix = b'(%d lines dropped before this one) ' % self.dropped
            line = line if self._in_json else prefix + line
        if len(line) > MAX_LINE_BYTES:
            line = line[: MAX_LINE_BYTES - len(_ELLIPSIS)] + _ELLIPSIS
        if self._write(line):
            self.dropped = 0
        else:
            self.dropped += 1


def set_up_logs(cfg: Logs, process: str, stream: Any = None) -> None:
    """Configure loguru for this process, replacing earlier handlers.

    Args:
        cfg: minimum level and format of the lines.
        process: name of the process, included in each line.
        stream: text stream to write to; standard output if None.
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
    """Make a stream non-blocking and return a function that writes to it.

    The function returns False if the line could not be written.
    """
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
        'message': _message_text(record),
        **_bound_fields(record),
    }
    if record['exception'] is not None:
        fields['exception'] = _format_trace(record['exception'])
    return b'%b\n' % json.encode(fields, enc_hook=str)


def _write_text(record: Any) -> bytes:
    at = record['time'].isoformat(timespec='milliseconds')
    extra = record['extra']
    bound = _bound_fields(record).items()
    parts = [at, record['level'].name, extra['process'], _message_text(record)]
    parts.extend(f'{name}={bound_value}' for name, bound_value in bound)
    if record['exception'] is not None:
        parts.append(f'\n{_format_trace(record["exception"])}')
    return '{}\n'.format(' '.join(parts)).encode()


def _message_text(record: Any) -> str:
    return '{}{}'.format(record['message'], record['extra']['suffix'])


def _format_trace(exception: Any) -> str:
    """Return the end of a traceback, which holds the innermost frames."""
    text = ''.join(
        format_exception(exception.type, exception.value, exception.traceback)
    )
    return text[-MAX_TRACEBACK_CHARACTERS:]


def _bound_fields(record: Any) -> dict[str, Any]:
    extra = record['extra']
    return {name: extra[name] for name in extra if name not in _INTERNAL_FIELDS}
