"""Metrics of a source: its replicated state and the failure domains."""

from collections import Counter
from collections.abc import Iterator
from typing import Final

from medlarhoist.core.interfaces import Ledger
from medlarhoist.core.state import State
from medlarhoist.source.distributor import DomainStatus
from medlarhoist.utils.metrics import Metric, Sample

LEADS: Final = Metric(
    name='source_leads',
    doc='Whether this source leads and its lease is valid.',
)
VERSION: Final = Metric(
    name='configuration_version',
    doc='Configuration version in force.',
)
STAGED_SINCE: Final = Metric(
    name='staged_since_seconds',
    doc='Time at which the staged version was staged; zero for none.',
)
RESOURCES: Final = Metric(name='resources', doc='Resources in force.')
MOVES: Final = Metric(name='moves', doc='Moves that are kept, by phase.')
REQUESTS: Final = Metric(
    name='requests_remembered',
    doc='Operator requests whose outcome is kept, by status.',
)
EVENTS: Final = Metric(
    name='event_sequence',
    doc='Sequence of the newest event that a watch can get.',
)
DOMAIN_NODES: Final = Metric(
    name='domain_nodes',
    doc='Nodes of a failure domain that the leader counts.',
)
DOMAIN_BEHIND: Final = Metric(
    name='domain_nodes_behind',
    doc='Nodes of a failure domain without the version in force.',
)
DOMAIN_SILENT: Final = Metric(
    name='domain_silent_seconds',
    doc='Time since a keeper of a failure domain was attached.',
)
STORAGE_FAULT: Final = Metric(
    name='storage_refuses_writes',
    doc='Whether the disk of this source, member or standby, is full.',
)
SOURCE_METRICS: Final = (
    LEADS,
    STORAGE_FAULT,
    VERSION,
    STAGED_SINCE,
    RESOURCES,
    MOVES,
    REQUESTS,
    EVENTS,
    DOMAIN_NODES,
    DOMAIN_BEHIND,
    DOMAIN_SILENT,
)
_MILLISECONDS_PER_SECOND: Final = 1000


def list_source_samples(
    ledger: Ledger,
    domains: tuple[DomainStatus, ...],
) -> Iterator[Sample]:
    """Yield the samples of a source, for each scrape of its metrics.

    Args:
        ledger: the replicated log.
        domains: the distributor's status of each failure domain; empty if
            this source does not lead.
    """
    yield Sample(metric=LEADS, number=int(ledger.is_leader))
    yield from _list_state_samples(ledger.state)
    for domain in domains:
        labels = {'domain': domain.domain}
        behind = domain.nodes - domain.active
        yield Sample(metric=DOMAIN_NODES, number=domain.nodes, labels=labels)
        yield Sample(metric=DOMAIN_BEHIND, number=behind, labels=labels)
        yield Sample(
            metric=DOMAIN_SILENT,
            number=domain.silent_seconds,
            labels=labels,
        )


def sample_storage(fault: str) -> Sample:
    """Return the sample of the disk of a source.

    Args:
        fault: why it refuses writes, empty if it doesn't.
    """
    return Sample(metric=STORAGE_FAULT, number=int(bool(fault)))


def _list_state_samples(state: State) -> Iterator[Sample]:
    yield Sample(metric=VERSION, number=state.active.version)
    staged_ms = state.staged.at_ms if state.staged else 0
    staged_seconds = staged_ms / _MILLISECONDS_PER_SECOND
    yield Sample(metric=STAGED_SINCE, number=staged_seconds)
    yield Sample(metric=EVENTS, number=state.events.last)
    kinds = Counter(str(entry.key.kind) for entry in state.entries.values())
    yield from _list_counts(RESOURCES, 'kind', kinds)
    phases = Counter(move.phase.value for move in state.moves.values())
    yield from _list_counts(MOVES, 'phase', phases)
    statuses = Counter(
        request.status.value for request in state.requests.values()
    )
    yield from _list_counts(REQUESTS, 'status', statuses)


def _list_counts(
    metric: Metric,
    label: str,
    counts: Counter[str],
) -> Iterator[Sample]:
    for name, count in sorted(counts.items()):
        yield Sample(metric=metric, number=count, labels={label: name})
