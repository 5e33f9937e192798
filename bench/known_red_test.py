"""Tests of the comparison with the known failures."""

import pytest

from bench.known_red import (
    count_results,
    is_accepted,
    parse_failed_tests,
    parse_known_tests,
    parse_unsteady_tests,
    split_commands,
)

OUTPUT = 'FAILED a_test.py::test_x - oops\n1 failed, 7 passed in 0.1s'
LISTED = 'test: a_test.py::test_x\ncommand: make test\n'


def test_known_and_failed_tests_are_parsed():
    assert parse_known_tests(LISTED) == parse_failed_tests(OUTPUT)
    assert count_results(OUTPUT) == (7, 1)


@pytest.mark.parametrize(
    ('exit_code', 'failed', 'known', 'accepted'),
    [
        (0, frozenset(), frozenset(), True),
        (1, frozenset('x'), frozenset('x'), True),
        (1, frozenset('xy'), frozenset('x'), False),
        (0, frozenset(), frozenset('x'), False),
        (2, frozenset(), frozenset(), False),
        (5, frozenset(), frozenset(), False),
    ],
)
def test_exactly_the_known_failures_are_accepted(
    exit_code, failed, known, accepted
):
    assert is_accepted(exit_code, failed, known) is accepted


@pytest.mark.parametrize(
    ('failed', 'accepted'),
    [('x', True), ('xu', True), ('u', False), ('xuy', False)],
)
def test_an_unsteady_test_may_pass_or_fail(failed, accepted):
    unsteady = parse_unsteady_tests('unsteady: u seen: 30 MB in 3 of 4 runs')
    found = is_accepted(1, frozenset(failed), frozenset('x'), unsteady)
    assert found is accepted


def test_commands_are_separated():
    assert split_commands(['a', '-m', 'b', '--then', 'c']) == [
        ['a', '-m', 'b'],
        ['c'],
    ]
