"""Tests of the repetition of failures that targets answered."""

import pytest
from msgspec.structs import replace

from medlarhoist.core.retry import Ended, is_repeatable

FAILED = Ended(
    status=500,
    is_idempotent=True,
    is_replayable=True,
    arrivals=1,
    attempts=2,
)


def test_a_failure_is_repeated_while_there_is_time():
    assert is_repeatable(FAILED, 0.3, 0.2)
    assert not is_repeatable(FAILED, 0.1, 0.2)


@pytest.mark.parametrize(
    'changes',
    [
        {'status': 200},
        {'status': 404},
        {'status': 504},
        {'is_idempotent': False},
        {'is_replayable': False},
        {'arrivals': 2},
    ],
)
def test_nothing_else_is_repeated(changes):
    assert not is_repeatable(replace(FAILED, **changes), 1, 0.2)
