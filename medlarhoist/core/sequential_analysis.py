"""Statistic: a sequential test of a new version against an old one.

Each window gives a log likelihood ratio for "the new version has R times the
bad calls of the old one" against "it has as many", for a few ratios R. The
sums restart at zero (CUSUM), so a fault that begins late is found as fast as
one that was there from the start. By the union bound over tests, windows and
ratios, a good version is condemned with at most the stated probability, as
long as the estimate of the old version's rate is not too low.

The rate of the old version is the larger of an upper estimate over the whole
past and one over the latest windows, so what harms both versions at the same
time is no evidence.
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
HIGHEST_RATE: Final = 0.95
USUAL_RATE: Final = 0.02
PRIOR_CALLS: Final = 50
SHARED_CALLS: Final = 500
RECENT_WINDOWS: Final = 3
SLOW_QUANTILE: Final = 0.9
SLOW_FACTOR: Final = 1.2
LOWEST_SLOW_RATE: Final = 0.05
LEAST_OLD_CALLS: Final = 30
LEAST_RECENT_CALLS: Final = 5
LEAST_BAD_CALLS: Final = 3

Ratios = tuple[float, ...]


class Trial(Struct, frozen=True):
    """The calls of the new version in one window, and what to expect.

    Args:
        window: number of the window.
        good: calls of the new version that were good.
        bad: calls of the new version that were bad.
        expected: highest plausible rate of bad calls of the old version.
    """

    window: int
    good: int
    bad: int
    expected: float


class Weight(Struct, frozen=True):
    """What one window says against the new version.

    Args:
        window: number of the window.
        bad: calls of the new version that were bad.
        ratios: log likelihood ratio for each of RATIOS.
    """

    window: int
    bad: int
    ratios: Ratios


class _Counts(Struct, frozen=True):
    """Bad and all calls of both versions in one window."""

    window: int
    old_bad: int
    old_calls: int
    new_bad: int
    new_calls: int


class _Assumed(Struct, frozen=True, kw_only=True):
    """What is assumed of the rate of the old version.

    Args:
        rate: what to assume without calls.
        calls: calls that this assumption is worth.
        lowest: rate that is always granted.
        recent_calls: calls in the latest windows that a trial needs.
    """

    rate: float
    calls: int
    lowest: float = 0
    recent_calls: int = 0


def failure_trials(
    pairs: Sequence[Pair],
    usual_rate: float,
) -> tuple[Trial, ...]:
    """Return trials in which a failed call is a bad one.

    Args:
        pairs: windows of one route in one failure domain.
        usual_rate: failure rate of the old version everywhere, which is
            assumed here until there are enough calls.
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
    return _trials(counts, _Assumed(rate=usual_rate, calls=SHARED_CALLS))


def latency_trials(pairs: Sequence[Pair]) -> tuple[Trial, ...]:
    """Return trials in which a slow call is a bad one.

    A call is slow when it takes longer than a multiple of a high quantile of
    the old version. There are none until the old version has shown enough
    calls, and none in windows where it has none to compare with.
    """
    histograms = (pair.old.latency for pair in pairs)
    past: Counts = reduce(add_counts, histograms, EMPTY)
    if sum(past) < LEAST_OLD_CALLS:
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
    assumed = _Assumed(
        rate=USUAL_RATE,
        calls=PRIOR_CALLS,
        lowest=LOWEST_SLOW_RATE,
        recent_calls=LEAST_RECENT_CALLS,
    )
    return _trials(counts, assumed)


def upper_rate(
    bad: int,
    calls: int,
    usual_rate: float = USUAL_RATE,
    usual_calls: int = PRIOR_CALLS,
) -> float:
    """Return an upper estimate of a rate; safe for few or no calls.

    Args:
        bad: calls that were bad.
        calls: all calls.
        usual_rate: what to assume without calls.
        usual_calls: calls that this assumption is worth.
    """
    weighed = bad + usual_rate * usual_calls
    return min((weighed + sqrt(weighed)) / (calls + usual_calls), 1)


def weigh(trial: Trial) -> Weight:
    """Return the log likelihood ratios of one trial."""
    expected = min(trial.expected, HIGHEST_RATE)
    ratios = tuple(_log_ratio(trial, expected, ratio) for ratio in RATIOS)
    return Weight(trial.window, trial.bad, ratios)


def score(
    groups: Iterable[Sequence[Weight]],
    window_limit: float = inf,
) -> float:
    """Return the strongest evidence against the new version so far.

    Args:
        groups: weights of routes and domains that are judged together.
        window_limit: most that a single window may add.

    Returns:
        The highest restarted sum of log likelihood ratios of any ratio;
        zero when there is too little to judge by.
    """
    weights = sorted(chain.from_iterable(groups), key=_window_of)
    if sum(weight.bad for weight in weights) < LEAST_BAD_CALLS:
        return 0
    windows = tuple(
        tuple(weight.ratios for weight in together)
        for _, together in groupby(weights, key=_window_of)
    )
    return max(
        _highest_sum(windows, index, window_limit)
        for index in range(len(RATIOS))
    )


def threshold(tests: int, windows: int, false_alarms: float) -> float:
    """Return the score that condemns a version.

    Args:
        tests: scores that are looked at.
        windows: windows in each of them.
        false_alarms: probability to condemn a good version by any of them.
    """
    chances = max(tests, 1) * max(windows, 1) * len(RATIOS)
    return log(chances / false_alarms)


def _trials(
    counts: Sequence[_Counts],
    assumed: _Assumed,
) -> tuple[Trial, ...]:
    past_bad, past_calls = 0, 0
    trials = []
    for index, one in enumerate(counts):
        past_bad += one.old_bad
        past_calls += one.old_calls
        recent = _recent(counts, index)
        recent_calls = sum(each.old_calls for each in recent)
        if not one.new_calls or recent_calls < assumed.recent_calls:
            continue
        expected = max(
            assumed.lowest,
            upper_rate(past_bad, past_calls, assumed.rate, assumed.calls),
            _concurrent_rate(
                sum(each.old_bad for each in recent),
                recent_calls,
            ),
        )
        good = one.new_calls - one.new_bad
        trials.append(Trial(one.window, good, one.new_bad, expected))
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
    assumed = min(expected * ratio, HIGHEST_RATE)
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
