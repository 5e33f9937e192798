"""Tests of the sequential test and of the fault detector based on it."""

from random import Random

import pytest

from bench.synthetic import (
    NEW,
    OLD,
    Health,
    SampleInterval,
    Traffic,
    sample_rows,
)
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


def sample_series(seed, health_of, *, traffic=None, seconds=20):
    random = Random(seed)
    rows = []
    for second in range(seconds):
        share = SHARES[second * len(SHARES) // seconds]
        span = SampleInterval(at_s=second, length_s=1, window=second)
        added = sample_rows(
            random, traffic or Traffic(), health_of, span, share
        )
        rows.extend(added)
    return summarize(rows, OLD, NEW)


def always_healthy(_moment):
    return HEALTHY


def faulty_new_version(**fault):
    return lambda moment: Health(**fault) if moment.label == NEW else HEALTHY


def test_upper_rate_converges_to_the_rate_from_above():
    few, many = upper_rate(10, 1000), upper_rate(10_000, 1_000_000)
    assert few < 2 * TRUE_RATE
    assert TRUE_RATE < many < few


def test_late_fault_is_not_hidden_by_earlier_healthy_windows():
    bad = [weigh(Trial(window, 5, 5, 0.01)) for window in range(1000, 1003)]
    good = [weigh(Trial(window, 1000, 0, 0.01)) for window in range(1000)]
    assert score([good + bad]) == pytest.approx(score([bad]))


def test_too_few_bad_calls_are_not_evidence():
    assert not score([[weigh(Trial(1, 0, 2, 0.000001))]])


def test_one_window_adds_at_most_its_limit():
    burst = [weigh(Trial(1, 50, 20, 0.01))]
    persistent = [weigh(Trial(window, 50, 20, 0.01)) for window in (1, 2)]
    assert score([burst], 5) == pytest.approx(5)
    assert score([persistent], 5) == pytest.approx(10)


def test_threshold_grows_with_tests_and_required_confidence():
    assert threshold(30, 60, 0.001) > threshold(1, 60, 0.001)
    assert threshold(1, 1, 0.0001) > threshold(1, 1, 0.001)


def test_healthy_version_has_no_finding():
    found = [
        find_fault(
            sample_series(seed, always_healthy), frozenset(), FALSE_ALARMS
        )
        for seed in range(20)
    ]
    assert found == [None] * 20


@pytest.mark.parametrize(
    'fault', [Health(0.3), Health(0.002, 6)], ids=['failing', 'slow']
)
def test_fault_of_both_versions_is_not_evidence(fault):
    def health_of(moment):
        is_affected = moment.domain == 'b' and 6 <= moment.at_s < 18
        return fault if is_affected else HEALTHY

    found = [
        find_fault(sample_series(seed, health_of), frozenset(), FALSE_ALARMS)
        for seed in range(5)
    ]
    assert found == [None] * 5


@pytest.mark.parametrize('seed', range(3))
def test_failures_are_detected(seed):
    series = sample_series(
        seed, faulty_new_version(failure_rate=0.2), seconds=10
    )
    finding = find_fault(series, frozenset(), FALSE_ALARMS)
    assert finding.symptom is Symptom.FAILURES
    assert 'failures on' in finding.describe()


@pytest.mark.parametrize('seed', range(3))
def test_slowness_is_detected(seed):
    series = sample_series(seed, faulty_new_version(slowness=3), seconds=10)
    finding = find_fault(series, frozenset(), FALSE_ALARMS)
    assert finding.symptom is Symptom.LATENCY


def test_finding_names_the_faulty_route():
    routes = tuple(f'route-{number}' for number in range(10))

    def health_of(moment):
        is_faulty = moment.label == NEW and moment.route == 'route-7'
        return Health(0.9) if is_faulty else HEALTHY

    traffic = Traffic(routes=routes)
    series = sample_series(3, health_of, traffic=traffic, seconds=10)
    finding = find_fault(series, frozenset(), FALSE_ALARMS)
    assert finding.route == 'route-7'


def test_latency_of_cold_windows_is_excluded():
    def health_of(moment):
        is_cold = moment.label == NEW and moment.at_s < 3
        return Health(0.002, 30) if is_cold else HEALTHY

    series = sample_series(1, health_of, seconds=40)
    assert find_fault(series, frozenset(), FALSE_ALARMS) is not None
    assert find_fault(series, cold_windows([0]), FALSE_ALARMS) is None


def test_description_holds_both_versions():
    line = describe_series(sample_series(1, always_healthy))[0]
    assert line.startswith('book in a: new failed ')
    assert 'old failed ' in line
