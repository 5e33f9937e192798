"""Clients of the resource API and of the admin addresses take bounded memory.

Guards against a bound for each connection without one for all of a listener.
Nothing here depends on the speed of the machine.
"""

import pytest

from bench.calls import read_peak_rss_kb
from bench.conftest import READY_SECONDS, serves_all_calls
from bench.crowd import count_descriptors, run_watched_crowd
from bench.fleet import wait_until
from medlarhoist.ops.client import fetch

pytestmark = pytest.mark.crowd

KILOBYTE = 1024
CROWD = 150
# The smallest VM has 128 MB: besides the 45 MB of a node at rest and the 64 MB
# of the clients of its calls, 19 are left.
GROWTH_LIMIT_KB = 19 * KILOBYTE
DESCRIPTORS_MARGIN = 64
LENGTH = 1_000_000
BODY = b'Content-Length: %d\r\n\r\n%b' % (LENGTH, b'b' * (LENGTH - 1))
PAYLOADS = {
    'body-that-stops-short': b'PUT /x HTTP/1.1\r\nHost: x\r\n%b' % BODY,
    'lines-that-stop-short': b'GET /x HTTP/1.1\r\nHost: x\r\n%b'
    % (b'a:\r\n' * 3500),
}
LISTENERS = ('api', 'source-admin', 'node-admin')


@pytest.mark.parametrize('payload', PAYLOADS.values(), ids=PAYLOADS)
@pytest.mark.parametrize('listener', LISTENERS)
def test_a_crowd_takes_a_bounded_part_of_a_process(
    start_nodes, listener, payload
):
    fleet = start_nodes()
    source = fleet.sources['s1']
    node = fleet.nodes['a1']
    name, address = {
        'api': ('s1', source.api),
        'source-admin': ('s1', source.admin),
        'node-admin': ('a1', node.admin),
    }[listener]
    process = fleet.processes[name]
    rest_kb = read_peak_rss_kb(process.pid)
    rest_descriptors = count_descriptors(process.pid)
    descriptors = run_watched_crowd(address, [payload] * CROWD, process.pid)
    assert process.poll() is None
    assert read_peak_rss_kb(process.pid) - rest_kb <= GROWTH_LIMIT_KB
    assert descriptors <= rest_descriptors + CROWD + DESCRIPTORS_MARGIN
    assert wait_until(lambda: fetch(source.admin, '/healthy').status == 200, 9)
    assert wait_until(lambda: serves_all_calls(fleet), READY_SECONDS)
