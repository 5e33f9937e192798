"""Tests of what a target states of itself in its responses."""

import pytest

from medlarhoist.core.condition import (
    MIN_RATE,
    NO_CONDITION,
    Condition,
    RunCondition,
    format_condition,
    parse_condition,
    read_condition,
)
from medlarhoist.core.header_names import DEFAULT_HEADER_NAMES

LIMITED = Condition('i-1/5', rate=12.5)


def _read(value):
    headers = ((DEFAULT_HEADER_NAMES.rate_limit, value),)
    return read_condition(DEFAULT_HEADER_NAMES, 'i-1/5', headers)


@pytest.fixture(name='run')
def _run():
    """Return the condition of run i-1/5, and a list of its changes."""
    changes = []
    stated = RunCondition(changes.append)
    stated.start_run(LIMITED.run_key)
    return stated, changes


@pytest.mark.parametrize(
    ('value', 'rate'),
    [
        (b'12.5', 12.5),
        (b'3', 3),
        (b'0', MIN_RATE),
        (b'-1', 0),
        (b'nan', 0),
        (b'inf', 0),
        (b'many', 0),
        (b'1_0', 0),
        (b'9' * 400, 0),
        (b'20.123456789012345', 20.123456789012345),
        (b'', 0),
    ],
)
def test_a_limit_is_a_decimal_number(value, rate):
    assert _read(value).rate == rate


@pytest.mark.parametrize(
    'condition',
    [LIMITED, Condition('a b\r\n/é', 0, is_leaving=True), Condition(rate=3)],
)
def test_a_condition_reaches_other_nodes_unchanged(condition):
    assert parse_condition(format_condition(condition)) == condition


@pytest.mark.parametrize(
    'value', [None, b'', b'1 0', b'x 0 i-1', b'-1 0 i-1', b'1 0 a b']
)
def test_a_malformed_condition_is_ignored(value):
    assert parse_condition(value) is None


def test_a_response_of_an_earlier_run_is_ignored(run):
    stated, changes = run
    stated.start_run('i-2/9')
    stated.record(LIMITED)
    assert stated.condition == NO_CONDITION
    assert not changes


def test_reports_count_only_before_the_first_response(run):
    stated, changes = run
    stated.adopt(LIMITED)
    stated.record(Condition(LIMITED.run_key))
    stated.adopt(LIMITED)
    assert changes == [LIMITED, Condition(LIMITED.run_key)]


def test_no_run_takes_its_leave_back(run):
    stated, _ = run
    stated.adopt(Condition(LIMITED.run_key, is_leaving=True))
    stated.record(LIMITED)
    assert stated.condition == Condition(LIMITED.run_key, 12.5, True)
    stated.start_run('i-2/9')
    assert stated.condition == NO_CONDITION


def test_a_leave_that_an_entry_node_knows_of_counts_at_any_time(run):
    stated, _ = run
    stated.record(LIMITED)
    stated.adopt(Condition(LIMITED.run_key, is_leaving=True))
    assert stated.condition == Condition(LIMITED.run_key, 12.5, True)


def test_a_leave_of_a_target_without_run_id_is_ignored():
    headers = ((DEFAULT_HEADER_NAMES.leaving, b'1'),)
    stated = read_condition(DEFAULT_HEADER_NAMES, '', headers)
    assert not stated.is_leaving


def test_reports_of_a_target_without_run_id_are_ignored():
    stated = RunCondition(lambda condition: None)
    stated.adopt(Condition(rate=1))
    assert stated.condition == NO_CONDITION
