"""Clients outside the limits cannot exhaust a node's memory or descriptors.

Guards against a node that keeps more than a bounded share of its memory for
what clients send: heads of many lines, bodies that stop short of their end and
bodies far over the limit. Nothing here depends on the speed of the machine.
"""

import asyncio

import pytest

from bench.calls import read_peak_rss_kb
from bench.conftest import READY_SECONDS, serves_all_calls
from bench.crowd import (
    ODD_LINES,
    SHORT_LINES,
    chunked_body,
    count_descriptors,
    post,
    request_head,
    run_watched_crowd,
)
from bench.fleet import wait_until
from medlarhoist.core.resource import Limits

pytestmark = pytest.mark.crowd

KILOBYTE = 1024
MEGABYTE = 1024 * KILOBYTE
HEAD_LIMIT = 16 * KILOBYTE
BODY_LIMIT = MEGABYTE
# Of a VM's 200 MB a node takes 45 at rest. A 25th of the connections that it
# accepts may take a fifth of what is left.
CROWD = 160
GROWTH_LIMIT_KB = 31 * KILOBYTE
# Besides one for each client: to the target and to other processes.
DESCRIPTORS_MARGIN = 64

ALMOST_LIMIT = BODY_LIMIT - 64 * KILOBYTE


UNFINISHED = b'Content-Length: %d' % (64 * KILOBYTE)
CROWDS = {
    'heads-of-short-lines-sent-ahead': (request_head(b'GET', SHORT_LINES) * 20),
    'heads-of-odd-lines-sent-ahead': request_head(b'GET', ODD_LINES) * 20,
    'heads-of-odd-lines-body-stops-short': post(
        b'b' * 60 * KILOBYTE, ODD_LINES, UNFINISHED
    ),
    'heads-of-short-lines-body-stops-short': post(
        b'b' * 60 * KILOBYTE, SHORT_LINES, UNFINISHED
    ),
    'head-that-stops-short': request_head(b'GET', ODD_LINES)[:-2],
    'chunks-of-one-byte': post(chunked_body(200_000, 1, is_complete=False)),
    'chunks-of-seven-bytes': post(
        chunked_body(ALMOST_LIMIT, 7, is_complete=False)
    ),
    'large-chunks': post(
        chunked_body(ALMOST_LIMIT, 64 * KILOBYTE, is_complete=False)
    ),
    'one-chunk-that-stops-short': post(
        b'%x\r\n%b' % (BODY_LIMIT, b'b' * ALMOST_LIMIT)
    ),
    'length-over-the-limit': post(
        b'b' * 4 * MEGABYTE, b'', b'Content-Length: 1000000000000'
    ),
    'chunks-over-the-limit': post(
        chunked_body(4 * MEGABYTE, 64 * KILOBYTE, is_complete=False)
    ),
}
WHOLE = {
    'head-of-odd-lines': request_head(b'GET', ODD_LINES),
    'head-of-short-lines': request_head(b'GET', SHORT_LINES),
    'chunks-of-one-byte': post(chunked_body(50_000, 1, is_complete=True)),
    'largest-body': post(
        b'b' * BODY_LIMIT, b'', b'Content-Length: %d' % BODY_LIMIT
    ),
    'largest-body-in-chunks': post(
        chunked_body(BODY_LIMIT, 64 * KILOBYTE, is_complete=True)
    ),
}


@pytest.fixture
def node(start_nodes):
    """Provide a fleet of one node with low limits, ready."""
    return start_nodes(Limits(head_bytes=HEAD_LIMIT, body_bytes=BODY_LIMIT))


async def exchange(address, request):
    """Send one request and return the status of its response."""
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    status = await reader.readline()
    writer.close()
    return int(status.split()[1])


@pytest.mark.parametrize('payload', CROWDS.values(), ids=CROWDS)
def test_a_crowd_takes_a_bounded_part_of_a_node(node, payload):
    process = node.processes['a1']
    rest_kb = read_peak_rss_kb(process.pid)
    rest_descriptors = count_descriptors(process.pid)
    descriptors = run_watched_crowd(
        node.nodes['a1'].entry, [payload] * CROWD, process.pid
    )
    assert process.poll() is None
    assert read_peak_rss_kb(process.pid) - rest_kb <= GROWTH_LIMIT_KB
    assert descriptors <= rest_descriptors + CROWD + DESCRIPTORS_MARGIN
    assert wait_until(lambda: serves_all_calls(node), READY_SECONDS)


def test_a_single_request_inside_the_limits_serves_all_calls(node):
    entry = node.nodes['a1'].entry
    statuses = {
        name: asyncio.run(exchange(entry, request))
        for name, request in WHOLE.items()
    }
    assert set(statuses.values()) == {200}, statuses
