"""Tests of nodes that are paused while requests for them arrive.

The deadline of such a request runs out, and its caller leaves, before the node
reads it. It must not run after the pause.
"""

import asyncio
import os
import signal

import pytest

from bench.calls_kill_test import CallPath
from bench.calls_mesh import format_request_head

CALLERS = 20
DEADLINE_MS = 300
# Shorter than the time for which nodes reuse an idle connection for requests
# that must run once, so that a request can be sent on without a wait.
PAUSE_S = 0.6
LINES = ('Content-Length: 1', f'X-Deadline-Ms: {DEADLINE_MS}')


@pytest.fixture(name='path')
def _path():
    path = CallPath()
    yield path
    path.stop()


def _format_post(request_id):
    head = format_request_head('POST', '/', request_id, LINES)
    return b''.join((head, b'b'))


async def _open(path):
    host, _, port = path.entry.entry.rpartition(':')
    return await asyncio.open_connection(host, int(port))


async def _send(connection, request_id):
    """Send a request and leave at its deadline, as callers do."""
    reader, writer = connection
    writer.write(_format_post(request_id))
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            await reader.readuntil(b'\r\n\r\n')
    except (TimeoutError, asyncio.IncompleteReadError):
        return
    finally:
        writer.close()


async def _warm_up(path, connections):
    """Send a request on each connection and read its response."""
    for number, (reader, writer) in enumerate(connections):
        writer.write(_format_post(f'first-{number}'))
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        length = head.lower().partition(b'content-length: ')[2]
        await reader.readexactly(int(length.split(b'\r')[0]))


def _run_with_pause(path, pids, *, is_kept):
    async def scenario():
        connections = [await _open(path) for _ in range(CALLERS)]
        if is_kept:
            await _warm_up(path, connections)
        for pid in pids:
            os.kill(pid, signal.SIGSTOP)
        if not is_kept:
            connections = [await _open(path) for _ in range(CALLERS)]
        await asyncio.gather(
            *(
                _send(connection, f'late-{number}')
                for number, connection in enumerate(connections)
            )
        )
        await asyncio.sleep(PAUSE_S - DEADLINE_MS / 1000)
        for pid in pids:
            os.kill(pid, signal.SIGCONT)
        await asyncio.sleep(PAUSE_S)
        return await path.count_runs()

    runs = asyncio.run(scenario())
    return [name for name in runs if name.startswith('late')]


@pytest.mark.parametrize('is_kept', [True, False])
def test_a_paused_entry_node_starts_no_request_of_callers_that_left(
    path, is_kept
):
    assert not _run_with_pause(path, [path.entry.pid], is_kept=is_kept)


@pytest.mark.parametrize('is_kept', [True, False])
def test_a_paused_node_of_a_target_starts_no_request_that_is_overdue(
    path, is_kept
):
    pids = [node.pid for node in path.nodes]
    assert not _run_with_pause(path, pids, is_kept=is_kept)
