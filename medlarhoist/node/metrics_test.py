"""Tests of the metrics of a node."""

from msgspec import convert

from medlarhoist.core.latency import Latencies
from medlarhoist.core.quarantine import Suspicion
from medlarhoist.node.metrics import list_node_samples
from medlarhoist.node.proxy.proxy import ProxyDump
from medlarhoist.node.recorder import Totals
from medlarhoist.node.view import DistributionView
from medlarhoist.utils.metrics import create_metrics

DISTRIBUTION = {
    'configuration': {
        'active': 7,
        'floor': 6,
        'established': 7,
        'candidates': [],
    },
    'keeper': {
        'epoch': 1,
        'members': [],
        'is_member': True,
        'recovered': 1,
        'held': 7,
        'established': 7,
        'fenced': False,
    },
    'uplink': {'parent': '', 'attempts': 0},
    'gossip': {
        'alive': 3,
        'suspected': ['n2'],
        'dead': [],
        'left': [],
        'slow': [],
        'dropped_packets': 0,
    },
    'children': [],
    'summaries': {},
    'traffic': {
        'sent': [{'kind': 'Hello', 'messages': 2, 'octets': 90}],
        'received': [],
    },
    'lag': {'within': {'1': 4, '+Inf': 5}, 'total_seconds': 2.5},
    'fetched': 6,
    'waiting_for': '',
}
PROXY = ProxyDump(
    entry_port=1,
    peer_port=2,
    entry_connections=4,
    peer_connections=5,
    malformed=0,
    client_memory_bytes=4096,
    client_memory_paused=9,
    client_memory_refused=6,
    read_ahead=8,
    read_ahead_peak=5,
    retries=6,
    crossed=0,
    malformed_responses=0,
    slots=20,
    slots_used=3,
    slots_peak=9,
    waiting=0,
    rate_limit=12.5,
    target_cold_s=1.5,
    cold_starts=2,
    cold_refusals=7,
    is_target_leaving=False,
    refused=0,
    refused_by_drain=5,
    drained_domains=('a', 'b'),
    target_deaths=3,
    quarantine_refusals=4,
    quarantine=(Suspicion('ab' * 12, deaths=3, wait_ms=1000),),
    account_calls={'studio': 8, '': 2},
    unknown_keys=9,
    unconfirmed=11,
    node_connections={},
    targets={},
)


def test_metrics_show_version_calls_and_control_bytes():
    totals = Totals('seats', 'seats', 'v1', 10, 1, 2)
    latencies = Latencies()
    latencies.record(60_000)
    metrics = create_metrics()
    metrics.add(
        lambda: list_node_samples(
            convert(DISTRIBUTION, DistributionView),
            PROXY,
            (totals,),
            {'seats': latencies},
        ),
    )
    rendered = metrics.render().decode()
    assert 'medlarhoist_node_configuration_version 7' in rendered
    assert 'configuration_lag_within_total{le="1"} 4' in rendered
    assert 'configuration_lag_seconds_total 2.5' in rendered
    assert 'configuration_fetched_total 6' in rendered
    assert 'medlarhoist_slots_used 3' in rendered
    assert 'medlarhoist_target_rate_limit 12.5' in rendered
    assert 'medlarhoist_drained_domains 2' in rendered
    assert 'medlarhoist_drain_refusals_total 5' in rendered
    assert 'medlarhoist_connections{listener="peer"} 5' in rendered
    assert 'medlarhoist_calls_read_ahead_total 8' in rendered
    assert 'medlarhoist_client_memory_bytes 4096' in rendered
    assert 'medlarhoist_client_memory_pauses_total 9' in rendered
    assert 'medlarhoist_client_memory_refusals_total 6' in rendered
    assert 'medlarhoist_connection_calls_peak 5' in rendered
    assert 'direction="sent",kind="Hello"} 90' in rendered
    assert '"refused"' in rendered
    assert 'medlarhoist_suspect_requests{state="quarantined"} 1' in rendered
    assert 'medlarhoist_suspect_requests{state="suspected"} 0' in rendered
    assert 'medlarhoist_quarantine_refusals_total 4' in rendered
    assert 'medlarhoist_requests_ended_with_target_total 3' in rendered
    assert 'calls_within_total{le="0.1",service="seats"} 1' in rendered
    assert 'calls_within_total{le="0.05",service="seats"} 0' in rendered


def test_metrics_show_calls_by_account_and_refusals_by_key():
    metrics = create_metrics()
    distribution = convert(DISTRIBUTION, DistributionView)
    metrics.add(lambda: list_node_samples(distribution, PROXY, (), {}))
    rendered = metrics.render().decode()
    assert 'medlarhoist_account_calls_total{account="studio"} 8' in rendered
    assert 'medlarhoist_account_calls_total{account=""} 2' in rendered
    assert 'medlarhoist_unknown_keys_total 9' in rendered
    assert 'medlarhoist_unconfirmed_calls_total 11' in rendered
