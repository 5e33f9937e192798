"""Tests of the judgement over known failures."""

import pytest

from bench.known_red import (
    count_results,
    failed_tests,
    is_accepted,
    known_tests,
)

OUTPUT = 'FAILED a_test.py::test_x - oops\n1 failed, 7 passed in 0.1s'
LISTED = 'test: a_test.py::test_x\ncommand: make test\n'


def test_reads_lists_and_outputs():
    assert known_tests(LISTED) == failed_tests(OUTPUT)
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
def test_accepts_just_the_known_failures(exit_code, failed, known, accepted):
    assert is_accepted(exit_code, failed, known) is accepted
