"""Sequential test of the rate of bad calls of a new version against an old one.

A bad call is a failed or a slow one. For each window and for a few ratios R,
the test computes the log likelihood ratio of "the new version has R times the
rate of bad calls of the old one" to "it has the same rate". The sums restart
at zero (CUSUM), so a fault that begins late is detected as fast as one that
was present from the start. By the union bound over tests, windows and ratios,
a healthy version is reported faulty with at most the given probability, as
long as the rate of the old version is not underestimated.

The rate of the old version is the larger of an upper estimate over all windows
so far and one over the latest windows, so a fault that affects both versions
at the same time is not evidence against the new one.
"""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from functools import reduce
from itertools import chain, groupby
from math import inf, log, sqrt
from typing import Final

from msgspec import Struct

from medlarhoist.core.evidence import Pair
from medlarhoist.core.histogram import (
    EMPTY,
    UPPER_BOUNDS_US,
    Counts,
    add_counts,
    count_above,
    quantile_us,
)

RATIOS: Final = (2, 5, 20, 100)
MAX_RATE: Final = 0.95
PRIOR_RATE: Final = 0.02
PRIOR_CALLS: Final = 50
SHARED_PRIOR_CALLS: Final = 500
RECENT_WINDOWS: Final = 3
SLOW_QUANTILE: Final = 0.9
SLOW_FACTOR: Final = 1.2
MIN_SLOW_RATE: Final = 0.05
MIN_OLD_CALLS: Final = 30
MIN_RECENT_CALLS: Final = 5
MIN_BAD_CALLS: Final = 3

Ratios = tuple[float, ...]


class Trial(Struct, frozen=True):
    """Calls of the new version in one window and the expected rate.

    Args:
        window: number of the window.
        good: number of good calls of the new version.
        bad: number of bad calls of the new version.
        expected: upper estimate of the old version's rate of bad calls.
    """

    window: int
    good: int
    bad: int
    expected: float


class Weight(Struct, frozen=True):
    """Weight of the evidence of one window against the new version.

    Args:
        window: number of the window.
        bad: number of bad calls of the new version.
        ratios: log likelihood ratio for each of RATIOS.
    """

    window: int
    bad: int
    ratios: Ratios


class _Counts(Struct, frozen=True):
    """Number of bad and of all calls of both versions in one window."""

    window: int
    old_bad: int
    old_calls: int
    new_bad: int
    new_calls: int


class _Prior(Struct, frozen=True, kw_only=True):
    """Prior assumptions about the old version's rate of bad calls.

    Args:
        rate: rate that is assumed without calls.
        calls: number of calls that the assumption counts as.
        lowest: minimum of the estimated rate.
        recent_calls: calls of the old version in the latest windows that are
            required for a trial.
    """

    rate: float
    calls: int
    lowest: float = 0
    recent_calls: int = 0


def failure_trials(
    pairs: Sequence[Pair],
    prior_rate: float,
) -> tuple[Trial, ...]:
    """Return trials in which failed calls are bad.

    Args:
        pairs: windows of one route in one failure domain.
        prior_rate: failure rate of the old version over all routes and
            domains, assumed here until there are enough calls.
    """
    counts = [
        _Counts(
            pair.window,
            pair.old.failed,
            pair.old.calls,
            pair.new.failed,
            pair.new.calls,
        )
        for pair in pairs
    ]
    return _trials(counts, _Prior(rate=prior_rate, calls=SHARED_PRIOR_CALLS))


def latency_trials(pairs: Sequence[Pair]) -> tuple[Trial, ...]:
    """Return trials in which slow calls are bad.

    A call is slow if it takes longer than SLOW_FACTOR times the SLOW_QUANTILE
    of the old version, rounded up to a bucket bound. There are no trials until
    the old version has MIN_OLD_CALLS calls, and none in windows where it has
    too few recent calls to compare with.

    Args:
        pairs: windows of one route in one failure domain.
    """
    histograms = (pair.old.latency for pair in pairs)
    past: Counts = reduce(add_counts, histograms, EMPTY)
    if sum(past) < MIN_OLD_CALLS:
        return ()
    edge_us = SLOW_FACTOR * quantile_us(past, SLOW_QUANTILE)
    edge = bisect_left(UPPER_BOUNDS_US, edge_us)
    counts = [
        _Counts(
            pair.window,
            count_above(pair.old.latency, edge),
            pair.old.succeeded,
            count_above(pair.new.latency, edge),
            pair.new.succeeded,
        )
        for pair in pairs
    ]
    prior = _Prior(
        rate=PRIOR_RATE,
        calls=PRIOR_CALLS,
        lowest=MIN_SLOW_RATE,
        recent_calls=MIN_RECENT_CALLS,
    )
    return _trials(counts, prior)


def upper_rate(
    bad: int,
    calls: int,
    prior_rate: float = PRIOR_RATE,
    prior_calls: int = PRIOR_CALLS,
) -> float:
    """Return an upper estimate of a rate, also usable for few or no calls.

    Args:
        bad: number of bad calls.
        calls: number of all calls.
        prior_rate: rate that is assumed without calls.
        prior_calls: number of calls that the assumption counts as.
    """
    estimated_bad = bad + prior_rate * prior_calls
    return min((estimated_bad + sqrt(estimated_bad)) / (calls + prior_calls), 1)


def weigh(trial: Trial) -> Weight:
    """Return the weight of evidence of one trial."""
    expected = min(trial.expected, MAX_RATE)
    ratios = tuple(_log_ratio(trial, expected, ratio) for ratio in RATIOS)
    return Weight(trial.window, trial.bad, ratios)


def score(
    groups: Iterable[Sequence[Weight]],
    window_limit: float = inf,
) -> float:
    """Return the score of the evidence against the new version so far.

    Args:
        groups: weights of routes and domains that are tested together.
        window_limit: maximum that a single window may add.

    Returns:
        The highest restarted sum of log likelihood ratios over all RATIOS;
        zero with fewer than MIN_BAD_CALLS bad calls.
    """
    weights = sorted(chain.from_iterable(groups), key=_window_of)
    if sum(weight.bad for weight in weights) < MIN_BAD_CALLS:
        return 0
    windows = tuple(
        tuple(weight.ratios for weight in group)
        for _, group in groupby(weights, key=_window_of)
    )
    return max(
        _highest_sum(windows, index, window_limit)
        for index in range(len(RATIOS))
    )


def threshold(tests: int, windows: int, false_alarms: float) -> float:
    """Return the score from which a version is considered faulty.

    Args:
        tests: number of scores that are compared with the threshold.
        windows: number of windows in each of them.
        false_alarms: probability that any of them reaches the threshold for
            a healthy version.
    """
    comparisons = max(tests, 1) * max(windows, 1) * len(RATIOS)
    return log(comparisons / false_alarms)


def _trials(
    counts: Sequence[_Counts],
    prior: _Prior,
) -> tuple[Trial, ...]:
    past_bad, past_calls = 0, 0
    trials = []
    for index, count in enumerate(counts):
        past_bad += count.old_bad
        past_calls += count.old_calls
        recent = _recent(counts, index)
        recent_calls = sum(each.old_calls for each in recent)
        if not count.new_calls or recent_calls < prior.recent_calls:
            continue
        expected = max(
            prior.lowest,
            upper_rate(past_bad, past_calls, prior.rate, prior.calls),
            _concurrent_rate(
                sum(each.old_bad for each in recent),
                recent_calls,
            ),
        )
        good = count.new_calls - count.new_bad
        trials.append(Trial(count.window, good, count.new_bad, expected))
    return tuple(trials)


def _recent(counts: Sequence[_Counts], index: int) -> Sequence[_Counts]:
    earliest = counts[index].window - RECENT_WINDOWS
    first = index
    while first and counts[first - 1].window > earliest:
        first -= 1
    return counts[first : index + 1]


def _concurrent_rate(bad: int, calls: int) -> float:
    return min((bad + sqrt(bad)) / calls, 1) if calls else 0


def _window_of(weight: Weight) -> int:
    return weight.window


def _log_ratio(trial: Trial, expected: float, ratio: int) -> float:
    assumed = min(expected * ratio, MAX_RATE)
    if assumed <= expected:
        return 0
    total = trial.good * log((1 - assumed) / (1 - expected))
    if trial.bad:
        total += trial.bad * log(assumed / expected)
    return total


def _highest_sum(
    windows: Sequence[Sequence[Ratios]],
    index: int,
    window_limit: float,
) -> float:
    highest: float = 0
    running: float = 0
    for window in windows:
        step = sum(ratios[index] for ratios in window)
        running = max(running + min(step, window_limit), 0)
        highest = max(highest, running)
    return highest
