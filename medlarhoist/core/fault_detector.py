"""Detects faults of a new version in the evidence of a move.

Each route of each failure domain is tested for failures and for latency, then
each route over all domains, then all routes together. This detects a fault of
one route in ten, and also a small fault for which no single domain has enough
calls.
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

# Windows after the first step in which new targets may still be warming up.
COLD_WINDOWS: Final = 3
# Fraction of the threshold that a single window may add to a score.
MAX_WINDOW_SHARE: Final = 0.6
REPORTED_QUANTILE: Final = 0.9

Trials = tuple[Trial, ...]
Weights = tuple[Weight, ...]
CreateTrials = Callable[[Sequence[Pair]], Trials]


class Symptom(StrEnum):
    """Kind of a fault."""

    FAILURES = 'failures'
    LATENCY = 'latency'


class Finding(Struct, frozen=True, kw_only=True):
    """A statistically significant fault of the new version.

    Args:
        symptom: failures or latency.
        route: the affected route, empty for all routes together.
        domain: the affected failure domain, empty for all domains together.
        score: score of the evidence.
        limit: threshold of the score.
    """

    symptom: Symptom
    route: str
    domain: str
    score: float
    limit: float

    def describe(self) -> str:
        """Return a one-line description for operators."""
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
    """Return the windows in which new targets may still be warming up.

    The first step sends calls to all new targets, so they are warm at later
    steps, where only the window of the step itself is excluded.

    Args:
        steps: windows in which the share was changed, in ascending order.

    Returns:
        The windows whose latency is not evidence against the new version.
    """
    first = range(steps[0], steps[0] + COLD_WINDOWS) if steps else ()
    return frozenset((*first, *steps))


def find_fault(
    series: Sequence[Series],
    cold: frozenset[int],
    false_alarms: float,
) -> Finding | None:
    """Return the most significant fault of the new version, if any.

    A single window is not sufficient: a target that crashes fails many calls
    at once, which does not make its version faulty.

    Args:
        series: the evidence of both versions.
        cold: windows whose latency is excluded.
        false_alarms: probability of a finding for a healthy version.

    Returns:
        The finding with the highest score, None if no score reaches the
        threshold.
    """
    groups = [
        group
        for group in _failure_groups(series) + _latency_groups(series, cold)
        if any(group.weights)
    ]
    windows = {pair.window for entry in series for pair in entry.pairs}
    limit = threshold(len(groups), len(windows), false_alarms)
    findings = [
        Finding(
            symptom=group.symptom,
            route=group.route,
            domain=group.domain,
            score=score(group.weights, limit * MAX_WINDOW_SHARE),
            limit=limit,
        )
        for group in groups
    ]
    worst = max(findings, key=_score_of, default=None)
    return worst if worst and worst.score >= limit else None


def failure_rate(series: Iterable[Series]) -> float:
    """Return an upper estimate of the failure rate of the old version."""
    old = [pair.old for entry in series for pair in entry.pairs]
    failed = sum(tally.failed for tally in old)
    return upper_rate(failed, sum(tally.calls for tally in old))


def describe_series(series: Iterable[Series]) -> tuple[str, ...]:
    """Return a line for operators for each route and failure domain."""
    return tuple(_describe_counts(entry) for entry in series)


def _failure_groups(series: Sequence[Series]) -> list[_Group]:
    prior_rate = failure_rate(series)
    return _groups(
        series,
        Symptom.FAILURES,
        lambda pairs: failure_trials(pairs, prior_rate),
    )


def _latency_groups(
    series: Sequence[Series],
    cold: frozenset[int],
) -> list[_Group]:
    return _groups(
        series,
        Symptom.LATENCY,
        lambda pairs: _exclude_windows(latency_trials(pairs), cold),
    )


def _exclude_windows(trials: Trials, windows: frozenset[int]) -> Trials:
    return tuple(trial for trial in trials if trial.window not in windows)


def _groups(
    series: Sequence[Series],
    symptom: Symptom,
    create_trials: CreateTrials,
) -> list[_Group]:
    groups = []
    routes: dict[str, list[Weights]] = {}
    for entry in series:
        weights = tuple(weigh(trial) for trial in create_trials(entry.pairs))
        groups.append(_Group(symptom, entry.route, entry.domain, (weights,)))
        routes.setdefault(entry.route, []).append(weights)
    if len(groups) > len(routes):
        for route, parts in routes.items():
            groups.append(_Group(symptom, route, '', tuple(parts)))
    if len(routes) > 1:
        all_weights = tuple(chain.from_iterable(routes.values()))
        groups.append(_Group(symptom, '', '', all_weights))
    return groups


def _score_of(finding: Finding) -> float:
    return finding.score


def _describe_counts(series: Series) -> str:
    old, new = NO_CALLS, NO_CALLS
    for pair in series.pairs:
        old = add_tallies(old, pair.old)
        new = add_tallies(new, pair.new)
    location = f'{series.route} in {series.domain}'
    return f'{location}: new {_describe_tally(new)}; old {_describe_tally(old)}'


def _describe_tally(tally: Tally) -> str:
    failed = f'failed {tally.failed} of {tally.calls}'
    if not tally.succeeded:
        return failed
    high_ms = quantile_us(tally.latency, REPORTED_QUANTILE) / 1000
    return f'{failed}, p90 {high_ms:.1f} ms'
