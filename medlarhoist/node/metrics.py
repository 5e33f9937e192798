"""Metrics of a node, read from the same views as its dump."""

from collections.abc import Iterator, Mapping
from typing import Final

from medlarhoist.core.latency import Latencies
from medlarhoist.node.account_limits import AccountLimitsView
from medlarhoist.node.lag_monitor import LagView
from medlarhoist.node.proxy.proxy import ProxyDump
from medlarhoist.node.recorder import Totals
from medlarhoist.node.view import DistributionView
from medlarhoist.utils.metrics import Family, Metric, Sample
from medlarhoist.utils.traffic import Volume

_US_PER_SECOND: Final = 1_000_000
CONFIGURATION_VERSION: Final = Metric(
    name='node_configuration_version',
    doc='Configuration version in force at this node; zero for none.',
)
KEEPER_VERSION: Final = Metric(
    name='node_keeper_version',
    doc='Newest active version that this node holds as a keeper.',
)
LAG_BUCKET: Final = Metric(
    name='configuration_lag_within_total',
    doc='Versions in force here within `le` seconds of acceptance; cumulative.',
    family=Family.COUNTER,
)
LAG_SUM: Final = Metric(
    name='configuration_lag_seconds_total',
    doc='Time from acceptance until versions were in force here, together.',
    family=Family.COUNTER,
)
VERSIONS_FETCHED: Final = Metric(
    name='configuration_fetched_total',
    doc='Versions that came from another member than the parent.',
    family=Family.COUNTER,
)
CALLS: Final = Metric(
    name='calls_total',
    doc='Calls by service, route, target version and result.',
    family=Family.COUNTER,
)
LATENCY_BUCKET: Final = Metric(
    name='calls_within_total',
    doc='Calls by service that ended within `le` seconds; cumulative.',
    family=Family.COUNTER,
)
LATENCY_SUM: Final = Metric(
    name='call_seconds_total',
    doc='Time that the calls of a service took together.',
    family=Family.COUNTER,
)
CALL_RETRIES: Final = Metric(
    name='call_retries_total',
    doc='Attempts after the first.',
    family=Family.COUNTER,
)
MALFORMED_REQUESTS: Final = Metric(
    name='malformed_requests_total',
    doc='Requests that were no HTTP.',
    family=Family.COUNTER,
)
CLIENT_MEMORY: Final = Metric(
    name='client_memory_bytes',
    doc='Memory that connections of callers and nodes hold, as counted.',
)
CLIENT_PAUSES: Final = Metric(
    name='client_memory_pauses_total',
    doc='Times that a connection was not read on for what it held.',
    family=Family.COUNTER,
)
CLIENT_REFUSALS: Final = Metric(
    name='client_memory_refusals_total',
    doc='Connections that were refused or closed for what they held.',
    family=Family.COUNTER,
)
CALLS_READ_AHEAD: Final = Metric(
    name='calls_read_ahead_total',
    doc='Calls read while earlier ones of their connection were in progress.',
    family=Family.COUNTER,
)
CONNECTION_CALLS_PEAK: Final = Metric(
    name='connection_calls_peak',
    doc='Most calls in progress at once on a connection, 0 with none read ahead.',
)
MISMATCHED_RESPONSES: Final = Metric(
    name='crossed_answers_total',
    doc='Answers that did not belong to their request.',
    family=Family.COUNTER,
)
MALFORMED_RESPONSES: Final = Metric(
    name='malformed_responses_total',
    doc='Answers of targets and nodes that were no HTTP, or went on too long.',
    family=Family.COUNTER,
)
SLOTS: Final = Metric(name='slots', doc='Slots of the target of this VM.')
SLOTS_USED: Final = Metric(name='slots_used', doc='Slots in use.')
CALLS_WAITING: Final = Metric(
    name='calls_waiting', doc='Calls that wait for a slot.'
)
TARGET_RATE_LIMIT: Final = Metric(
    name='target_rate_limit',
    doc='Requests per second that the target of this VM accepts, 0 for any.',
)
DRAINED_DOMAINS: Final = Metric(
    name='drained_domains',
    doc='Failure domains whose targets receive no calls, as known here.',
)
DRAIN_REFUSALS: Final = Metric(
    name='drain_refusals_total',
    doc='Calls refused as the domain of the target, or of all, is drained.',
    family=Family.COUNTER,
)
TARGET_COLD: Final = Metric(
    name='target_cold_seconds',
    doc='How much longer the target of this VM is limited as a cold one.',
)
COLD_STARTS: Final = Metric(
    name='target_cold_starts_total',
    doc='How often the target of this VM has turned cold.',
    family=Family.COUNTER,
)
COLD_REFUSALS: Final = Metric(
    name='cold_refusals_total',
    doc='Calls that this node refused as its target is cold.',
    family=Family.COUNTER,
)
SUSPECT_REQUESTS: Final = Metric(
    name='suspect_requests',
    doc='Requests known to have crashed targets: suspected, or quarantined.',
)
QUARANTINE_REFUSALS: Final = Metric(
    name='quarantine_refusals_total',
    doc='Calls refused as their request crashes targets, or may do so.',
    family=Family.COUNTER,
)
ACCOUNT_REFUSALS: Final = Metric(
    name='account_limit_refusals_total',
    doc='Calls refused beyond the limit of their account; 64 accounts by name.',
    family=Family.COUNTER,
)
ACCOUNT_SHARES: Final = Metric(
    name='account_shares',
    doc='Accounts whose rate is divided among the nodes.',
)
ACCOUNT_CALLS: Final = Metric(
    name='account_calls_total',
    doc='Calls by client account; an empty name counts those past a bound.',
    family=Family.COUNTER,
)
UNKNOWN_KEYS: Final = Metric(
    name='unknown_keys_total',
    doc='Calls refused with 401, as they carried no known key.',
    family=Family.COUNTER,
)
UNCONFIRMED: Final = Metric(
    name='unconfirmed_calls_total',
    doc='Calls refused as their keys may have been withdrawn unnoticed.',
    family=Family.COUNTER,
)
ENDED_WITH_TARGET: Final = Metric(
    name='requests_ended_with_target_total',
    doc='Requests in progress when a run of the target of this VM ended.',
    family=Family.COUNTER,
)
CONNECTIONS: Final = Metric(
    name='connections',
    doc='Open connections by listener.',
)
DOMAIN_MEMBERS: Final = Metric(
    name='domain_members',
    doc='Nodes of the failure domain by what this node holds of them.',
)
CONTROL_BYTES: Final = Metric(
    name='control_bytes_total',
    doc='Encoded control messages by direction and kind, without framing.',
    family=Family.COUNTER,
)
CONTROL_MESSAGES: Final = Metric(
    name='control_messages_total',
    doc='Control messages by direction and kind.',
    family=Family.COUNTER,
)
NODE_METRICS: Final = (
    CONFIGURATION_VERSION,
    KEEPER_VERSION,
    LAG_BUCKET,
    LAG_SUM,
    VERSIONS_FETCHED,
    CALLS,
    LATENCY_BUCKET,
    LATENCY_SUM,
    CALL_RETRIES,
    MALFORMED_REQUESTS,
    CLIENT_MEMORY,
    CLIENT_PAUSES,
    CLIENT_REFUSALS,
    CALLS_READ_AHEAD,
    CONNECTION_CALLS_PEAK,
    MISMATCHED_RESPONSES,
    MALFORMED_RESPONSES,
    SLOTS,
    SLOTS_USED,
    CALLS_WAITING,
    TARGET_RATE_LIMIT,
    DRAINED_DOMAINS,
    DRAIN_REFUSALS,
    TARGET_COLD,
    COLD_STARTS,
    COLD_REFUSALS,
    SUSPECT_REQUESTS,
    QUARANTINE_REFUSALS,
    ACCOUNT_REFUSALS,
    ACCOUNT_SHARES,
    ACCOUNT_CALLS,
    UNKNOWN_KEYS,
    UNCONFIRMED,
    ENDED_WITH_TARGET,
    CONNECTIONS,
    DOMAIN_MEMBERS,
    CONTROL_BYTES,
    CONTROL_MESSAGES,
)


def list_node_samples(
    distribution: DistributionView,
    proxy: ProxyDump,
    totals: tuple[Totals, ...],
    latencies: Mapping[str, Latencies],
) -> Iterator[Sample]:
    """Yield the samples of a node; called at each request for its metrics.

    Args:
        distribution: view of the configuration, the keeper, the members of
            the domain and the control messages.
        proxy: view of slots, connections and retries.
        totals: calls since the start by route and target version.
        latencies: latencies of the calls since the start, by service.
    """
    active = distribution.configuration.active or 0
    yield Sample(metric=CONFIGURATION_VERSION, number=active)
    yield Sample(metric=KEEPER_VERSION, number=distribution.keeper.held)
    yield from _list_lags(distribution.lag)
    yield Sample(metric=VERSIONS_FETCHED, number=distribution.fetched)
    gossip = distribution.gossip
    for state, count in (
        ('alive', gossip.alive),
        ('suspected', len(gossip.suspected)),
        ('dead', len(gossip.dead)),
        ('left', len(gossip.left)),
        ('slow', len(gossip.slow)),
    ):
        labels = {'state': state}
        yield Sample(metric=DOMAIN_MEMBERS, number=count, labels=labels)
    traffic = distribution.traffic
    yield from _list_volumes('sent', traffic.sent)
    yield from _list_volumes('received', traffic.received)
    yield from _list_account_limits(distribution.account_limits)
    yield from _list_proxy(proxy)
    for total in totals:
        yield from _list_calls(total)
    for service, service_latencies in latencies.items():
        yield from _list_latencies(service, service_latencies)


def _list_lags(lag: LagView) -> Iterator[Sample]:
    for bound, count in lag.within.items():
        labels = {'le': bound}
        yield Sample(metric=LAG_BUCKET, number=count, labels=labels)
    yield Sample(metric=LAG_SUM, number=lag.total_seconds)


def _list_account_limits(limits: AccountLimitsView) -> Iterator[Sample]:
    yield Sample(metric=ACCOUNT_SHARES, number=len(limits.shares))
    for account, count in limits.refused.items():
        labels = {'account': account}
        yield Sample(metric=ACCOUNT_REFUSALS, number=count, labels=labels)


def _list_proxy(proxy: ProxyDump) -> Iterator[Sample]:
    for metric, number in (
        (CALL_RETRIES, proxy.retries),
        (MALFORMED_REQUESTS, proxy.malformed),
        (CLIENT_MEMORY, proxy.client_memory_bytes),
        (CLIENT_PAUSES, proxy.client_memory_paused),
        (CLIENT_REFUSALS, proxy.client_memory_refused),
        (CALLS_READ_AHEAD, proxy.read_ahead),
        (CONNECTION_CALLS_PEAK, proxy.read_ahead_peak),
        (MISMATCHED_RESPONSES, proxy.crossed),
        (MALFORMED_RESPONSES, proxy.malformed_responses),
        (SLOTS, proxy.slots),
        (SLOTS_USED, proxy.slots_used),
        (CALLS_WAITING, proxy.waiting),
        (TARGET_RATE_LIMIT, proxy.rate_limit),
        (DRAINED_DOMAINS, len(proxy.drained_domains)),
        (DRAIN_REFUSALS, proxy.refused_by_drain),
        (TARGET_COLD, proxy.target_cold_s),
        (COLD_STARTS, proxy.cold_starts),
        (COLD_REFUSALS, proxy.cold_refusals),
        (QUARANTINE_REFUSALS, proxy.quarantine_refusals),
        (UNKNOWN_KEYS, proxy.unknown_keys),
        (UNCONFIRMED, proxy.unconfirmed),
        (ENDED_WITH_TARGET, proxy.target_deaths),
    ):
        yield Sample(metric=metric, number=number)
    for account, count in proxy.account_calls.items():
        labels = {'account': account}
        yield Sample(metric=ACCOUNT_CALLS, number=count, labels=labels)
    suspects = [record for record in proxy.quarantine if record.deaths]
    quarantined = sum(record.is_quarantined for record in suspects)
    for state, count in (
        ('suspected', len(suspects) - quarantined),
        ('quarantined', quarantined),
    ):
        labels = {'state': state}
        yield Sample(metric=SUSPECT_REQUESTS, number=count, labels=labels)
    for listener, count in (
        ('entry', proxy.entry_connections),
        ('peer', proxy.peer_connections),
    ):
        labels = {'listener': listener}
        yield Sample(metric=CONNECTIONS, number=count, labels=labels)


def _list_latencies(service: str, latencies: Latencies) -> Iterator[Sample]:
    labels = {'service': service}
    for bound, count in latencies.list_buckets():
        bucket = {**labels, 'le': bound}
        yield Sample(metric=LATENCY_BUCKET, number=count, labels=bucket)
    total_s = latencies.total_us / _US_PER_SECOND
    yield Sample(metric=LATENCY_SUM, number=total_s, labels=labels)


def _list_calls(total: Totals) -> Iterator[Sample]:
    for result, count in (
        ('succeeded', total.succeeded),
        ('failed', total.failed),
        ('refused', total.refused),
    ):
        labels = {
            'service': total.service,
            'route': total.route,
            'version': total.label,
            'result': result,
        }
        yield Sample(metric=CALLS, number=count, labels=labels)


def _list_volumes(
    direction: str,
    volumes: tuple[Volume, ...],
) -> Iterator[Sample]:
    for volume in volumes:
        labels = {'direction': direction, 'kind': volume.kind}
        yield Sample(metric=CONTROL_BYTES, number=volume.octets, labels=labels)
        yield Sample(
            metric=CONTROL_MESSAGES,
            number=volume.messages,
            labels=labels,
        )
