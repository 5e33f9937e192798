"""Tests of the metrics of a source."""

from medlarhoist.core.command import Status
from medlarhoist.core.resource import Service, TargetVersion
from medlarhoist.source.api_test import FakeLedger
from medlarhoist.source.distributor import DomainStatus
from medlarhoist.source.metrics import list_source_samples
from medlarhoist.source.transition_test import put
from medlarhoist.utils.metrics import create_metrics

DOMAIN = DomainStatus(
    domain='a',
    nodes=5,
    active=3,
    staged=3,
    keepers=(),
    lagging=(),
    silent_seconds=1.5,
)


def test_samples_cover_the_state_and_the_domains():
    ledger = FakeLedger()
    outcome = ledger.commit(
        put(
            'request-1',
            Service(name='seats', current='v1'),
            TargetVersion(name='seats/v1', service='seats', label='v1'),
        ),
    )
    assert outcome.status is Status.PENDING
    metrics = create_metrics()
    metrics.add(lambda: list_source_samples(ledger, (DOMAIN,)))
    rendered = metrics.render().decode()
    assert 'medlarhoist_source_leads 1' in rendered
    assert 'medlarhoist_domain_nodes_behind{domain="a"} 2' in rendered
    assert 'medlarhoist_requests_remembered{status="pending"} 1' in rendered
    assert 'medlarhoist_staged_since_seconds 0.001' in rendered
