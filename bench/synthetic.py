"""Synthetic: draws the outcomes of calls for shares that are given.

It stands for callers, nodes and targets in tests and benchmarks of the move
policy. It knows no network and no processes: a window of calls is drawn from
stated failure rates and latencies.
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
    """How the calls of one version go on one route.

    Args:
        failure_rate: part of the calls that fail.
        slowness: factor on the latency.
    """

    failure_rate: float = 0.002
    slowness: float = 1


class CallContext(Struct, frozen=True, kw_only=True):
    """Where and when calls are drawn.

    Args:
        at_s: time since the start of the move, in seconds.
        domain: failure domain.
        route: name of the route.
        label: version that gets the calls.
        basis_points: share of the new version.
        new_for_s: time since the new version got its first share.
    """

    at_s: float
    domain: str
    route: str
    label: str
    basis_points: int
    new_for_s: float = 0


class SampleInterval(Struct, frozen=True, kw_only=True):
    """A short time.

    Args:
        at_s: its end, in seconds since the start of the move.
        length_s: its length in seconds.
        window: number of the window that it is in.
        new_for_s: time since the new version got its first share.
    """

    at_s: float
    length_s: float
    window: int
    new_for_s: float = 0


HealthModel = Callable[[CallContext], Health]


class Traffic(Struct, frozen=True, kw_only=True):
    """The calls that arrive.

    Args:
        calls_per_s: of all routes and domains together.
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
    at: SampleInterval,
    basis_points: int,
) -> list[EvidenceRow]:
    """Draw the evidence of a short time.

    Args:
        random: source of the draws.
        traffic: the calls that arrive.
        health_of: how calls go.
        at: the time for which calls are drawn.
        basis_points: share of the new version in force.
    """
    places = tuple(product(traffic.domains, traffic.routes))
    mean = traffic.calls_per_s * at.length_s / len(places)
    rows = []
    for label, share in _split(basis_points):
        for domain, route in places:
            moment = CallContext(
                at_s=at.at_s,
                domain=domain,
                route=route,
                label=label,
                basis_points=basis_points,
                new_for_s=at.new_for_s,
            )
            calls = (sample_count(random, mean * share), at.window)
            rows.append(_draw_row(random, moment, health_of(moment), calls))
    return [row for row in rows if row.succeeded or row.failed]


def _split(basis_points: int) -> tuple[tuple[str, float], ...]:
    part = basis_points / FULL_SHARE
    return (OLD, 1 - part), (NEW, part)


def sample_count(random: Random, mean: float) -> int:
    """Draw a number of arrivals, normal for high means."""
    if mean > 30:
        return max(0, round(random.gauss(mean, mean**0.5)))
    count = 0
    left = random.expovariate(1)
    while left < mean:
        count += 1
        left += random.expovariate(1)
    return count


def _draw_row(
    random: Random,
    moment: CallContext,
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
        key=EvidenceKey(moment.domain, SERVICE, moment.route, moment.label),
        window=window,
        succeeded=count - failed,
        failed=failed,
        latency=trim_counts(buckets),
    )
