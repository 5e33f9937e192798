"""Tests of the sequential test and the judge over it."""

from random import Random

import pytest

from bench.synthetic import NEW, OLD, Health, Span, Traffic, draw_rows
from medlarhoist.core.evidence import summarize
from medlarhoist.core.fault_detector import (
    Symptom,
    cold_windows,
    describe_series,
    find_fault,
)
from medlarhoist.core.sequential_analysis import (
    Trial,
    score,
    threshold,
    upper_rate,
    weigh,
)

FALSE_ALARMS = 0.001
TRUE_RATE = 0.01
SHARES = (100, 500, 2500, 5000, 9500)
HEALTHY = Health()


def draw_series(seed, health_of, *, traffic=None, seconds=20):
    random = Random(seed)
    rows = []
    for second in range(seconds):
        share = SHARES[second * len(SHARES) // seconds]
        place = Span(at_s=second, length_s=1, window=second)
        drawn = draw_rows(random, traffic or Traffic(), health_of, place, share)
        rows.extend(drawn)
    return summarize(rows, OLD, NEW)


def be_good(_moment):
    return HEALTHY


def worsen(**bad):
    return lambda moment: Health(**bad) if moment.label == NEW else HEALTHY


def test_upper_rate_is_above_the_rate_and_nears_it():
    few, many = upper_rate(10, 1000), upper_rate(10_000, 1_000_000)
    assert few < 2 * TRUE_RATE
    assert TRUE_RATE < many < few


def test_score_restarts_so_a_late_fault_is_not_hidden_by_a_good_past():
    bad = [weigh(Trial(window, 5, 5, 0.01)) for window in range(1000, 1003)]
    good = [weigh(Trial(window, 1000, 0, 0.01)) for window in range(1000)]
    assert score([good + bad]) == pytest.approx(score([bad]))


def test_too_few_bad_calls_are_no_evidence():
    assert not score([[weigh(Trial(1, 0, 2, 0.000001))]])


def test_one_window_adds_no_more_than_its_limit():
    burst = [weigh(Trial(1, 50, 20, 0.01))]
    lasting = [weigh(Trial(window, 50, 20, 0.01)) for window in (1, 2)]
    assert score([burst], 5) == pytest.approx(5)
    assert score([lasting], 5) == pytest.approx(10)


def test_threshold_grows_with_the_chances_to_be_wrong():
    assert threshold(30, 60, 0.001) > threshold(1, 60, 0.001)
    assert threshold(1, 1, 0.0001) > threshold(1, 1, 0.001)


def test_good_version_is_not_condemned():
    found = [
        find_fault(draw_series(seed, be_good), frozenset(), FALSE_ALARMS)
        for seed in range(20)
    ]
    assert found == [None] * 20


@pytest.mark.parametrize(
    'trouble', [Health(0.3), Health(0.002, 6)], ids=['failing', 'slow']
)
def test_trouble_of_both_versions_is_no_evidence(trouble):
    def health_of(moment):
        is_hit = moment.domain == 'b' and 6 <= moment.at_s < 18
        return trouble if is_hit else HEALTHY

    found = [
        find_fault(draw_series(seed, health_of), frozenset(), FALSE_ALARMS)
        for seed in range(5)
    ]
    assert found == [None] * 5


@pytest.mark.parametrize('seed', range(3))
def test_failures_are_found(seed):
    series = draw_series(seed, worsen(failure_rate=0.2), seconds=10)
    finding = find_fault(series, frozenset(), FALSE_ALARMS)
    assert finding.symptom is Symptom.FAILURES
    assert 'failures on' in finding.describe()


@pytest.mark.parametrize('seed', range(3))
def test_slowness_is_found(seed):
    series = draw_series(seed, worsen(slowness=3), seconds=10)
    finding = find_fault(series, frozenset(), FALSE_ALARMS)
    assert finding.symptom is Symptom.LATENCY


def test_bad_route_is_named():
    routes = tuple(f'route-{number}' for number in range(10))

    def health_of(moment):
        is_bad = moment.label == NEW and moment.route == 'route-7'
        return Health(0.9) if is_bad else HEALTHY

    traffic = Traffic(routes=routes)
    series = draw_series(3, health_of, traffic=traffic, seconds=10)
    finding = find_fault(series, frozenset(), FALSE_ALARMS)
    assert finding.route == 'route-7'


def test_cold_start_is_left_out():
    def health_of(moment):
        is_cold = moment.label == NEW and moment.at_s < 3
        return Health(0.002, 30) if is_cold else HEALTHY

    series = draw_series(1, health_of, seconds=40)
    assert find_fault(series, frozenset(), FALSE_ALARMS) is not None
    assert find_fault(series, cold_windows([0]), FALSE_ALARMS) is None


def test_lines_tell_both_versions():
    line = describe_series(draw_series(1, be_good))[0]
    assert line.startswith('book in a: new failed ')
    assert 'old failed ' in line
