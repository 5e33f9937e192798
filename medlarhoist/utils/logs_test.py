"""Tests of log lines: complete, limited in rate and size, non-blocking."""

import json
import os

from loguru import logger

from medlarhoist.core.settings import Logs
from medlarhoist.utils import logs


def _read_all(descriptor):
    os.set_blocking(descriptor, False)
    found = b''
    while True:
        try:
            chunk = os.read(descriptor, 65_536)
        except BlockingIOError:
            return found
        if not chunk:
            return found
        found += chunk


def _open_pipe():
    reading, writing = os.pipe()
    return reading, os.fdopen(writing, 'w')


def test_bound_fields_are_written():
    reading, stream = _open_pipe()
    lines = logs.LineWriter(logs.create_nonblocking_write(stream), in_json=True)
    sink = logger.add(
        lines, filter=logs.RateLimitFilter(float), format='{message}'
    )
    logger.bind(process='n1', request='9c41', used=3).info('target: refused')
    logger.remove(sink)
    line = json.loads(_read_all(reading))
    assert line['request'] == '9c41'
    assert (line['process'], line['used']) == ('n1', 3)
    assert line['message'] == 'target: refused'


def test_a_stalled_reader_does_not_block_the_process():
    reading, stream = _open_pipe()
    lines = logs.LineWriter(
        logs.create_nonblocking_write(stream), in_json=False
    )
    sink = logger.add(lines, filter=lambda record: True, format='{message}')
    bound = logger.bind(process='n1', suffix='')
    for number in range(3000):
        bound.info('calls: {} {}', number, 'x' * 80)
    assert lines.dropped > 0
    _read_all(reading)
    bound.info('calls: after the pause')
    logger.remove(sink)
    written = _read_all(reading).decode()
    assert 'lines dropped before this one' in written
    assert lines.dropped == 0


def test_a_long_line_is_truncated():
    reading, stream = _open_pipe()
    lines = logs.LineWriter(
        logs.create_nonblocking_write(stream), in_json=False
    )
    sink = logger.add(lines, filter=lambda record: True, format='{message}')
    logger.bind(process='n1', suffix='').info('x' * 10_000)
    logger.remove(sink)
    assert len(_read_all(reading)) <= logs.MAX_LINE_BYTES


def test_info_lines_are_rate_limited(monkeypatch):
    monkeypatch.setattr(logs, 'INFO_LINES_PER_INTERVAL', 7)
    now = [0.0]
    written = []
    sink = logger.add(
        written.append,
        filter=logs.RateLimitFilter(lambda: now[0]),
        format='{message}{extra[suffix]}',
    )
    for _ in range(2):
        for _ in range(10):
            logger.info('calls: a call has ended')
        now[0] += logs.RATE_INTERVAL_SECONDS
    logger.remove(sink)
    assert len(written) == 14
    assert '(3 similar lines suppressed)' in written[7]


def test_a_process_writes_to_standard_output(capfd):
    logs.set_up_logs(Logs(json=True), 'n1')
    logger.bind(domain='a').info('node: starts')
    logger.remove()
    assert json.loads(capfd.readouterr().out)['domain'] == 'a'
