"""Tests of the benchmark of moves: one seed of each case ends rightly."""

import pytest

from bench.moves import format_runs
from bench.moves_cases import CASES, find_case
from bench.moves_simulation import Trial, run_case

TOO_SMALL_TO_PROVE = '1% fail, not 0.5%'


def make_trial(name, *, is_product=True, deadline_ms=30_000):
    return Trial(
        case=name,
        is_product=is_product,
        deadline_ms=deadline_ms,
        calls_per_s=0,
    )


@pytest.mark.parametrize(
    'name', [one.name for one in CASES if one.name != TOO_SMALL_TO_PROVE]
)
def test_product_ends_each_case_rightly(name):
    run = run_case(make_trial(name), 1)
    assert run.completed == find_case(name).is_good
    assert run.ended_ms <= 30_000
    assert run.completed or run.zero_ms is not None


def test_canary_completes_a_slow_version():
    trial = make_trial('3 times slower', is_product=False)
    runs = (run_case(trial, 1),)
    assert runs[0].completed
    assert format_runs(trial, runs).split()[:4] == [
        '3',
        'times',
        'slower',
        'canary',
    ]
