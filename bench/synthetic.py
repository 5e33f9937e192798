"""Synthetic: samples the outcomes of calls at a given share of a version.

Stands in for callers, nodes and targets in tests and benchmarks of the move
policy. It uses no network and no processes: the calls of an interval are
sampled from given failure rates and latencies.
"""

from collections.abc import Callable
from itertools import product
from random import Random
from typing import Final

from msgspec import Struct

from medlarhoist.core.evidence import EvidenceKey, EvidenceRow
from medlarhoist.core.histogram import BUCKETS, bucket_of, trim_counts
from medlarhoist.core.snapshot import FULL_SHARE

SERVICE: Final = 'bookings'
OLD: Final = 'v1'
NEW: Final = 'v2'
MEDIAN_US: Final = 8000
SPREAD: Final = 0.5


class Health(Struct, frozen=True):
    """Failure rate and latency of the calls of one version on one route.

    Args:
        failure_rate: fraction of the calls that fail.
        slowness: factor on the latency; 1 gives a median of MEDIAN_US.
    """

    failure_rate: float = 0.002
    slowness: float = 1


class CallContext(Struct, frozen=True, kw_only=True):
    """Route, version and time for which calls are sampled.

    Args:
        at_s: time since the start of the move, in seconds.
        domain: failure domain.
        route: name of the route.
        label: version that receives the calls.
        basis_points: share of the new version, of 10,000.
        new_for_s: time since the new version received its first share, in
            seconds.
    """

    at_s: float
    domain: str
    route: str
    label: str
    basis_points: int
    new_for_s: float = 0


class SampleInterval(Struct, frozen=True, kw_only=True):
    """An interval for which calls are sampled at a constant share.

    Args:
        at_s: end of the interval, in seconds since the start of the move.
        length_s: length of the interval, in seconds.
        window: number of the evidence window that contains it.
        new_for_s: time since the new version received its first share, in
            seconds.
    """

    at_s: float
    length_s: float
    window: int
    new_for_s: float = 0


HealthModel = Callable[[CallContext], Health]


class Traffic(Struct, frozen=True, kw_only=True):
    """The arriving calls, spread evenly over domains and routes.

    Args:
        calls_per_s: mean rate of all routes and domains together.
        domains: names of the failure domains.
        routes: names of the routes.
    """

    calls_per_s: float = 600
    domains: tuple[str, ...] = ('a', 'b', 'c')
    routes: tuple[str, ...] = ('book', 'pay')


def sample_rows(
    random: Random,
    traffic: Traffic,
    health_of: HealthModel,
    interval: SampleInterval,
    basis_points: int,
) -> list[EvidenceRow]:
    """Sample the evidence of the calls of an interval.

    Args:
        random: random number generator.
        traffic: the arriving calls.
        health_of: returns failure rate and latency for a context.
        interval: the interval to sample.
        basis_points: share of the new version, of 10,000.

    Returns:
        A row for each domain, route and version with at least one call.
    """
    pairs = tuple(product(traffic.domains, traffic.routes))
    mean = traffic.calls_per_s * interval.length_s / len(pairs)
    rows = []
    for label, share in _split(basis_points):
        for domain, route in pairs:
            context = CallContext(
                at_s=interval.at_s,
                domain=domain,
                route=route,
                label=label,
                basis_points=basis_points,
                new_for_s=interval.new_for_s,
            )
            calls = (sample_count(random, mean * share), interval.window)
            rows.append(_sample_row(random, context, health_of(context), calls))
    return [row for row in rows if row.succeeded or row.failed]


def _split(basis_points: int) -> tuple[tuple[str, float], ...]:
    share = basis_points / FULL_SHARE
    return (OLD, 1 - share), (NEW, share)


def sample_count(random: Random, mean: float) -> int:
    """Sample a Poisson number of arrivals.

    Above a mean of 30, the normal approximation is used.
    """
    if mean > 30:
        return max(0, round(random.gauss(mean, mean**0.5)))
    count = 0
    elapsed = random.expovariate(1)
    while elapsed < mean:
        count += 1
        elapsed += random.expovariate(1)
    return count


def _sample_row(
    random: Random,
    context: CallContext,
    health: Health,
    calls: tuple[int, int],
) -> EvidenceRow:
    count, window = calls
    failed = sum(random.random() < health.failure_rate for _ in range(count))
    buckets = [0] * BUCKETS
    for _ in range(count - failed):
        factor = random.lognormvariate(0, SPREAD) * health.slowness
        buckets[bucket_of(round(MEDIAN_US * factor))] += 1
    return EvidenceRow(
        key=EvidenceKey(context.domain, SERVICE, context.route, context.label),
        window=window,
        succeeded=count - failed,
        failed=failed,
        latency=trim_counts(buckets),
    )
