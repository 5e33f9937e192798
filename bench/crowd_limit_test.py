"""A node keeps to its limit of client memory, by its resident memory.

Guards against a count that leaves out what a node holds for clients. The limit
is low, so that a small crowd reaches it. Calls are forwarded: the crowd connects
to a node without a target. Nothing here depends on the speed of the machine.
"""

import resource

import pytest

from bench.calls import read_peak_rss_kb
from bench.conftest import READY_SECONDS, serves_all_calls
from bench.crowd import (
    CHUNKED,
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
CLIENT_MEMORY_MB = 8
# The smallest VM has 128 MB. A node takes 45 at rest, clients may take 64 by
# default: 19 are left besides the limit, whatever it is.
GROWTH_LIMIT_KB = (CLIENT_MEMORY_MB + 19) * KILOBYTE
CROWD = 200
LARGE_CROWD = 2400
# A node has a descriptor for the client and one for the target's node.
DESCRIPTORS = 2 * LARGE_CROWD + 1000
# Requests that a node reads ahead for all clients, each with a connection.
READ_AHEAD = 256
# To the target and to other processes.
DESCRIPTORS_MARGIN = 64

BARE = b'GET /seats HTTP/1.1\r\nHost:x\r\n'
BARE_REQUEST = b'%b\r\n' % BARE
SOME_LINES = b''.join(b'X-H%d: a\r\n' % each for each in range(50))
MOST_LINES = b'b:\r\n' * 3900
ALMOST_LIMIT = BODY_LIMIT - 64 * KILOBYTE
LENGTH_2000 = b'Content-Length: 2000'
LENGTH_60000 = b'Content-Length: 60000'
CROWDS = {
    'heads-of-odd-lines-sent-ahead': request_head(b'GET', ODD_LINES) * 20,
    'bare-heads-of-odd-lines-sent-ahead': (b'%b%b\r\n' % (BARE, MOST_LINES))
    * 40,
    'heads-of-short-lines-sent-ahead': request_head(b'GET', SHORT_LINES) * 20,
    'heads-of-some-lines-sent-ahead': request_head(b'GET', SOME_LINES) * 60,
    'posts-of-short-lines-sent-ahead': (
        post(b'b' * 2000, SHORT_LINES, LENGTH_2000) * 20
    ),
    'bare-requests-sent-ahead': BARE_REQUEST * 3000,
    'large-answers-sent-ahead': b'%bX-Size: 1000000\r\n\r\n' % BARE * 20,
    'odd-lines-chunks-of-one-byte': post(
        chunked_body(200_000, 1, is_complete=False), ODD_LINES
    ),
    'chunks-of-one-byte': post(chunked_body(200_000, 1, is_complete=False)),
    'chunks-of-300-bytes': post(
        chunked_body(ALMOST_LIMIT, 300, is_complete=False)
    ),
    'large-chunks': post(
        chunked_body(ALMOST_LIMIT, 64 * KILOBYTE, is_complete=False)
    ),
    'head-that-stops-short': request_head(b'GET', ODD_LINES)[:-2],
    'long-paths': b'GET /seats%b HTTP/1.1\r\nHost: x\r\n\r\n' % (b'/' * 16_000),
}
SLOW = {
    'heads-of-odd-lines': request_head(b'GET', ODD_LINES) * 4,
    'chunks-of-one-byte': post(chunked_body(6000, 1, is_complete=False)),
}
SLOW_PIECE_BYTES = 700
SLOW_PACE_S = 0.02
BEGUN = {
    'begun-bodies': post(b'a' * 12_000, SOME_LINES, LENGTH_60000),
    'begun-small-bodies': post(b'a', b'', LENGTH_60000),
    'begun-chunks': post(b'5\r\nbbb', b'', CHUNKED),
}


@pytest.fixture
def descriptors():
    """Let this process, and those that it starts, have many descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (min(max(soft, DESCRIPTORS), hard), hard)
    )
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.fixture
def pair(descriptors, fleet, start_nodes):
    """Provide a fleet of two nodes with low limits, the target beside a1."""
    fleet.node_options = {'client_memory_mb': CLIENT_MEMORY_MB}
    limits = Limits(head_bytes=HEAD_LIMIT, body_bytes=BODY_LIMIT)
    return start_nodes(limits, nodes=('a1', 'a2'))


def check_crowd(pair, payloads, **pace):
    """Let a crowd connect to a2 and check both nodes during and after it."""
    nodes = [pair.processes[name] for name in pair.nodes]
    rest_kb = [read_peak_rss_kb(node.pid) for node in nodes]
    entry = pair.processes['a2']
    rest_descriptors = count_descriptors(entry.pid)
    descriptors = run_watched_crowd(
        pair.nodes['a2'].entry, payloads, entry.pid, **pace
    )
    assert [node.poll() for node in nodes] == [None, None]
    peak_kb = [read_peak_rss_kb(node.pid) for node in nodes]
    growth_kb = [peak - rest for peak, rest in zip(peak_kb, rest_kb)]
    assert max(growth_kb) <= GROWTH_LIMIT_KB
    # A request in progress has a connection of its client and one to a1.
    most = 2 * len(payloads) + READ_AHEAD + DESCRIPTORS_MARGIN
    assert descriptors <= rest_descriptors + most
    assert wait_until(lambda: serves_all_calls(pair), READY_SECONDS)


@pytest.mark.parametrize('payload', CROWDS.values(), ids=CROWDS)
def test_a_crowd_takes_no_more_than_the_limit(pair, payload):
    check_crowd(pair, [payload] * CROWD)


@pytest.mark.parametrize('payload', SLOW.values(), ids=SLOW)
def test_a_slow_crowd_takes_no_more_than_the_limit(pair, payload):
    check_crowd(
        pair,
        [payload] * CROWD,
        piece_bytes=SLOW_PIECE_BYTES,
        pace_s=SLOW_PACE_S,
    )


@pytest.mark.parametrize('payload', BEGUN.values(), ids=BEGUN)
def test_many_begun_requests_take_no_more_than_the_limit(pair, payload):
    check_crowd(pair, [payload] * LARGE_CROWD)


def test_a_mixed_crowd_takes_no_more_than_the_limit(pair):
    shapes = [*CROWDS.values(), *BEGUN.values()]
    check_crowd(pair, [shapes[each % len(shapes)] for each in range(CROWD)])
