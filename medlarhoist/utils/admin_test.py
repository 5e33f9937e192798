"""Tests of the admin listener, dumps, metrics and log rate limits."""

import asyncio
import io
from http.client import HTTPConnection

import pytest
from loguru import logger
from msgspec import json

from medlarhoist.core.settings import Logs
from medlarhoist.core.target import TargetPhase
from medlarhoist.utils.admin import create_admin
from medlarhoist.utils.logs import (
    RATE_INTERVAL_SECONDS,
    WARNINGS_PER_INTERVAL,
    RateLimitFilter,
    set_up_logs,
)
from medlarhoist.utils.loop import create_host
from medlarhoist.utils.metrics import (
    Family,
    Metric,
    Sample,
    create_metrics,
)
from medlarhoist.utils.redact import MAX_ITEMS, encode_dump

NOTICE = {
    'service': 'seats',
    'label': 'v1',
    'port': 8000,
    'slots': 20,
    'phase': 'ready',
}


def _run(client, **parts):
    async def main():
        host = create_host(asyncio.get_running_loop())
        site = create_admin(host, '127.0.0.1:0', lambda: {'a': 1}, **parts)
        try:
            return await asyncio.to_thread(client, site.address)
        finally:
            await site.stop()

    return asyncio.run(main())


def _request(address, method, path, body=b''):
    conn = HTTPConnection(address, timeout=10)
    conn.request(method, path, body=body)
    response = conn.getresponse()
    content = response.read()
    conn.close()
    return response.status, content


def test_dump_health_and_metrics_are_served():
    metrics = create_metrics()
    calls = Metric(name='calls_total', doc='Calls.', family=Family.COUNTER)
    metrics.add(
        lambda: [Sample(metric=calls, number=3, labels={'service': 'seats'})],
    )

    def client(address):
        paths = ('/dump', '/healthy', '/metrics', '/other')
        return [_request(address, 'GET', path) for path in paths]

    dump, healthy, rendered, other = _run(client, metrics=metrics)
    assert json.decode(dump[1]) == {'a': 1}
    assert (healthy[0], other[0]) == (200, 404)
    assert b'medlarhoist_calls_total{service="seats"} 3' in rendered[1]
    assert b'# TYPE medlarhoist_calls_total counter' in rendered[1]
    assert b'medlarhoist_process_cpu_seconds_total ' in rendered[1]


def test_a_notice_that_is_nested_too_deeply_is_refused():
    body = b'{"new":%b' % (b'[' * 100_000)

    def client(address):
        return _request(address, 'PUT', '/target', body)[0]

    callbacks = {
        'on_target_notice': lambda notice: None,
        'on_target_removed': lambda: None,
    }
    assert _run(client, **callbacks) == 400


def test_an_operator_releases_a_request():
    released = []

    def release(fingerprint):
        released.append(fingerprint)
        return fingerprint == 'ab'

    def client(address):
        return [
            _request(address, 'DELETE', '/quarantine/ab')[0],
            _request(address, 'DELETE', '/quarantine/cd')[0],
            _request(address, 'GET', '/quarantine/ab')[0],
        ]

    assert _run(client, release=release) == [200, 404, 405]
    assert released == ['ab', 'cd']
    assert _run(client) == [404, 404, 405]


def test_a_target_registers_and_deregisters():
    notices = []
    body = json.encode(NOTICE)

    def client(address):
        return [
            _request(address, 'PUT', '/target', body)[0],
            _request(address, 'DELETE', '/target')[0],
            _request(address, 'POST', '/target', body)[0],
        ]

    codes = _run(
        client,
        on_target_notice=notices.append,
        on_target_removed=lambda: notices.append('gone'),
    )
    assert codes == [200, 200, 405]
    assert notices[0].phase is TargetPhase.READY
    assert notices[1] == 'gone'


@pytest.mark.parametrize(
    'change',
    [{'port': 0}, {'slots': 0}, {'phase': 'well'}, {'service': 'A B'}],
)
def test_a_malformed_target_notice_is_refused(change):
    notices = []
    body = json.encode({**NOTICE, **change})
    code, _ = _run(
        lambda address: _request(address, 'PUT', '/target', body),
        on_target_notice=notices.append,
        on_target_removed=lambda: None,
    )
    assert code == 400
    assert not notices


def test_a_process_without_a_target_accepts_no_notice():
    code, _ = _run(lambda address: _request(address, 'PUT', '/target'))
    assert code == 404


def test_a_dump_is_bounded_and_hides_secrets():
    deep = {'shared_key': 'secret'}
    for _ in range(50):
        deep = {'inner': deep, 'token_sha256': 'secret'}
    view = {'many': list(range(10_000)), 'deep': deep, 'x': {1: object()}}
    body = encode_dump(view)
    assert b'secret' not in body
    assert json.decode(body)['many'][MAX_ITEMS] == '... 9800 more'


def test_repeated_warnings_are_counted_and_suppressed():
    now = [0.0]
    rate_limit = RateLimitFilter(lambda: now[0])
    lines = []
    sink = logger.add(
        lines.append, filter=rate_limit, format='{message}{extra[suffix]}'
    )
    for _ in range(2):
        for _ in range(WARNINGS_PER_INTERVAL + 3):
            logger.warning('tree: parent is unavailable')
        now[0] += RATE_INTERVAL_SECONDS
    logger.remove(sink)
    assert len(lines) == 2 * WARNINGS_PER_INTERVAL
    assert '(3 similar lines suppressed)' in lines[WARNINGS_PER_INTERVAL]


@pytest.mark.parametrize('in_json', [False, True])
def test_each_line_names_its_process(in_json):
    stream = io.StringIO()
    set_up_logs(Logs(json=in_json), 'n1', stream)
    logger.info('tree: joined {}', '{x}')
    logger.remove()
    assert 'tree: joined {x}' in stream.getvalue()
    assert 'n1' in stream.getvalue()
    if in_json:
        assert json.decode(stream.getvalue())
