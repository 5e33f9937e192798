"""Tests of callers that send requests before earlier ones are answered.

They guard against requests that wait for each other, responses in another
order, and requests that are lost or run twice where a connection ends.
"""

import asyncio

import pytest

from bench.calls_mesh import format_request_head
from bench.calls_raw import open_caller, read_responses
from medlarhoist.node.proxy.ahead import IN_PROGRESS_LIMIT

SLOW_MS = 300
BIG = 300_000


def _get(name, path='/sights', lines=()):
    return format_request_head('GET', f'{path}?{name}', name, tuple(lines))


def _slow(name='slow', path='/sights', lines=()):
    return _get(name, path, (f'X-Work-Ms: {SLOW_MS}', *lines))


def _statuses(answers):
    return [status for status, _, _ in answers]


@pytest.fixture(name='exchange')
def _exchange(run_mesh):
    """Return a function that sends bytes and returns responses and records.

    The last request must close the connection.
    """

    def run(*sent, compiled=None):
        async def scenario(mesh):
            await mesh.add(slots=20)
            reader, writer = await open_caller(mesh)
            began = asyncio.get_running_loop().time()
            writer.write(b''.join(sent))
            answers = await read_responses(reader)
            took_s = asyncio.get_running_loop().time() - began
            writer.close()
            return answers, mesh.records[0].ran, took_s, mesh.nodes[0].dump()

        return run_mesh(scenario, compiled)

    return run


LAST = _get('last', lines=('Connection: close',))


def test_requests_sent_ahead_run_side_by_side_and_are_answered_in_order(
    exchange,
):
    names = ('a', 'b', 'c')
    answers, _, took_s, dump = exchange(*map(_slow, names), LAST)
    assert _statuses(answers) == [200] * 4
    bodies = [body for _, _, body in answers]
    for name, body in zip((*names, 'last'), bodies, strict=True):
        assert f'"{name}"'.encode() in body
    assert took_s < 2 * SLOW_MS / 1000
    assert (dump.read_ahead, dump.read_ahead_peak) == (3, 4)


def test_no_more_than_the_limit_are_in_progress(exchange):
    count = IN_PROGRESS_LIMIT + 4
    slow = [_slow(f'r{number}') for number in range(count)]
    answers, _, took_s, dump = exchange(*slow, LAST)
    assert _statuses(answers) == [200] * (count + 1)
    assert dump.read_ahead_peak == IN_PROGRESS_LIMIT
    assert took_s > 2 * SLOW_MS / 1000


def test_one_that_must_not_run_twice_waits_for_its_turn(exchange):
    answers, _, took_s, _ = exchange(_slow(), _slow('once', '/'), LAST)
    assert _statuses(answers) == [200] * 3
    assert took_s > 2 * SLOW_MS / 1000


def test_a_call_that_waited_past_its_deadline_does_not_run(exchange):
    late = _get('late', '/', ('X-Deadline-Ms: 100',))
    answers, ran, _, _ = exchange(_slow(), late, LAST)
    assert _statuses(answers) == [200, 503, 200]
    assert b'did-not-run' in answers[1][1]
    assert sum(ran.values()) == 2


CLOSING = {
    'the caller asked to close': _slow(lines=('Connection: close',)),
    'HTTP/1.0': _slow().replace(b'HTTP/1.1', b'HTTP/1.0'),
}


@pytest.mark.parametrize('closing', CLOSING.values(), ids=CLOSING)
@pytest.mark.parametrize('path', ['/', '/sights'])
def test_nothing_runs_behind_a_response_that_closes(exchange, closing, path):
    answers, ran, _, _ = exchange(_slow('a'), closing, _get('unread', path))
    assert _statuses(answers) == [200, 200]
    assert b'connection: close' in answers[1][1]
    assert sum(ran.values()) == 2


MALFORMED = {
    'malformed': (b'no HTTP\r\n\r\n', 400),
    'large head': (_get('b', lines=(f'X-A: {"a" * 70_000}',)), 431),
    'large body': (_get('b', lines=(f'Content-Length: {10**13}',)), 413),
}


@pytest.mark.parametrize('case', MALFORMED.values(), ids=MALFORMED)
def test_malformed_bytes_behind_requests_cost_them_no_response(exchange, case):
    raw, status = case
    answers, _, _, dump = exchange(_slow('a'), _slow('b'), raw)
    assert _statuses(answers) == [200, 200, status]
    assert dump.malformed == 1


def test_a_refusal_in_the_middle_keeps_order_and_connection(exchange):
    expired = _get('expired', lines=('X-Deadline-Ms: 0',))
    answers, _, _, _ = exchange(_slow('a'), expired, _get('b'), LAST)
    assert _statuses(answers) == [200, 503, 200, 200]
    assert b'"b"' in answers[2][2]


MIDDLE = {
    'chunked body': b''.join(
        (
            _get('m', lines=('Transfer-Encoding: chunked',)),
            b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
        )
    ),
    'body of a length': b''.join(
        (
            _get('m', lines=('Content-Length: 5',)),
            b'abcde',
        )
    ),
    'upgrade': _get('m', lines=('Connection: upgrade', 'Upgrade: x')),
    'large response': _get('m', lines=(f'X-Size: {BIG}',)),
}


@pytest.mark.parametrize('middle', MIDDLE.values(), ids=MIDDLE)
def test_a_request_in_the_middle_is_answered_whole(exchange, middle):
    answers, _, _, _ = exchange(_slow('a'), middle, LAST)
    assert _statuses(answers) == [200] * 3
    assert b'"m"' in answers[1][2]
    assert b'Content-Length: 5' not in middle or b'bytes":5' in answers[1][2]
    assert b'X-Size' not in middle or len(answers[1][2]) == BIG


def test_small_responses_are_kept_behind_a_large_one(exchange):
    large = _get('large', lines=(f'X-Size: {20 * BIG}', 'X-Work-Ms: 100'))
    answers, _, _, _ = exchange(large, _get('a'), _get('b'), LAST)
    assert _statuses(answers) == [200] * 4
    assert len(answers[0][2]) == 20 * BIG
    assert [b'"a"' in answers[1][2], b'"b"' in answers[2][2]] == [True, True]
