"""Judge: looks for a fault of a new version in the evidence of a move.

Each route of each failure domain is tested for failures and for latency, then
each route over all domains, then everything. So one bad route of ten shows,
and so does a small fault that no single domain has the calls to prove.
"""

from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from itertools import chain
from typing import Final

from msgspec import Struct

from medlarhoist.core.evidence import NO_CALLS, Pair, Series, Tally, add_tallies
from medlarhoist.core.histogram import quantile_us
from medlarhoist.core.sequential_analysis import (
    Trial,
    Weight,
    failure_trials,
    latency_trials,
    score,
    threshold,
    upper_rate,
    weigh,
)

COLD_WINDOWS: Final = 3
WINDOW_PART: Final = 0.6
REPORTED_QUANTILE: Final = 0.9

Trials = tuple[Trial, ...]
Weights = tuple[Weight, ...]
TrialsOf = Callable[[Sequence[Pair]], Trials]


class Symptom(StrEnum):
    """What is wrong with a version."""

    FAILURES = 'failures'
    LATENCY = 'latency'


class Finding(Struct, frozen=True, kw_only=True):
    """A fault of the new version that the evidence proves.

    Args:
        symptom: failures or latency.
        route: the route that shows it, empty for all together.
        domain: the failure domain that shows it, empty for all together.
        score: strength of the evidence.
        limit: strength that condemns.
    """

    symptom: Symptom
    route: str
    domain: str
    score: float
    limit: float

    def describe(self) -> str:
        """Return a short sentence for the operator."""
        route = f'route {self.route}' if self.route else 'all routes'
        domain = f'domain {self.domain}' if self.domain else 'all domains'
        strength = f'score {self.score:.1f} over {self.limit:.1f}'
        return f'{self.symptom} on {route} in {domain}, {strength}'


class _Group(Struct, frozen=True):
    symptom: Symptom
    route: str
    domain: str
    weights: tuple[Weights, ...]


def cold_windows(steps: Sequence[int]) -> frozenset[int]:
    """Return the windows in which new targets may still be cold.

    The first share goes to all new targets, so that they are warm at later
    steps; then only the window of the step itself is left out.

    Args:
        steps: windows in which the share was changed, in order.

    Returns:
        The windows whose latency is no evidence against the new version.
    """
    first = range(steps[0], steps[0] + COLD_WINDOWS) if steps else ()
    return frozenset((*first, *steps))


def find_fault(
    series: Sequence[Series],
    cold: frozenset[int],
    false_alarms: float,
) -> Finding | None:
    """Look for a fault of the new version.

    A single window is not enough, so that calls that a dying target fails
    all at once do not condemn its version.

    Args:
        series: the evidence of both versions.
        cold: windows whose latency is left out.
        false_alarms: probability to find a fault in a good version.

    Returns:
        The finding that goes farthest past its limit, if any does.
    """
    groups = [
        group
        for group in _failure_groups(series) + _latency_groups(series, cold)
        if any(group.weights)
    ]
    windows = {pair.window for one in series for pair in one.pairs}
    limit = threshold(len(groups), len(windows), false_alarms)
    findings = [
        Finding(
            symptom=group.symptom,
            route=group.route,
            domain=group.domain,
            score=score(group.weights, limit * WINDOW_PART),
            limit=limit,
        )
        for group in groups
    ]
    worst = max(findings, key=_score_of, default=None)
    return worst if worst and worst.score >= limit else None


def failure_rate(series: Iterable[Series]) -> float:
    """Return an upper estimate of the failure rate of the old version."""
    old = [pair.old for one in series for pair in one.pairs]
    failed = sum(tally.failed for tally in old)
    return upper_rate(failed, sum(tally.calls for tally in old))


def describe_series(series: Iterable[Series]) -> tuple[str, ...]:
    """Return a line for each route and failure domain for the operator."""
    return tuple(_describe_one(one) for one in series)


def _failure_groups(series: Sequence[Series]) -> list[_Group]:
    usual = failure_rate(series)
    return _groups(
        series,
        Symptom.FAILURES,
        lambda pairs: failure_trials(pairs, usual),
    )


def _latency_groups(
    series: Sequence[Series],
    cold: frozenset[int],
) -> list[_Group]:
    return _groups(
        series,
        Symptom.LATENCY,
        lambda pairs: _without(latency_trials(pairs), cold),
    )


def _without(trials: Trials, windows: frozenset[int]) -> Trials:
    return tuple(trial for trial in trials if trial.window not in windows)


def _groups(
    series: Sequence[Series],
    symptom: Symptom,
    trials_of: TrialsOf,
) -> list[_Group]:
    groups = []
    routes: dict[str, list[Weights]] = {}
    for one in series:
        weights = tuple(weigh(trial) for trial in trials_of(one.pairs))
        groups.append(_Group(symptom, one.route, one.domain, (weights,)))
        routes.setdefault(one.route, []).append(weights)
    if len(groups) > len(routes):
        for route, parts in routes.items():
            groups.append(_Group(symptom, route, '', tuple(parts)))
    if len(routes) > 1:
        every = tuple(chain.from_iterable(routes.values()))
        groups.append(_Group(symptom, '', '', every))
    return groups


def _score_of(finding: Finding) -> float:
    return finding.score


def _describe_one(series: Series) -> str:
    old, new = NO_CALLS, NO_CALLS
    for pair in series.pairs:
        old = add_tallies(old, pair.old)
        new = add_tallies(new, pair.new)
    place = f'{series.route} in {series.domain}'
    return f'{place}: new {_describe_tally(new)}; old {_describe_tally(old)}'


def _describe_tally(tally: Tally) -> str:
    failed = f'failed {tally.failed} of {tally.calls}'
    if not tally.succeeded:
        return failed
    high_ms = quantile_us(tally.latency, REPORTED_QUANTILE) / 1000
    return f'{failed}, p90 {high_ms:.1f} ms'
