"""Tests of withdrawals: which notices are outdated, and which record wins."""

from hypothesis import given
from hypothesis import strategies as st

from bench.calls_static import create_notice
from medlarhoist.core.withdrawal import (
    CAPACITY,
    RECORDS_PER_MESSAGE,
    UNKNOWN_START_TTL_S,
    WITHDRAWAL_TTL_S,
    Withdrawals,
)

NOW = 1000.0
BORN_MS = 5


def _create(node='n1', domain='a'):
    return Withdrawals(domain, node)


def _is_outdated(withdrawals, now=NOW, **fields):
    notice = create_notice(**{'sequence': 4, **fields})
    return withdrawals.find(notice, now) is not None


def test_all_notices_of_a_run_that_has_left_are_outdated():
    withdrawals = _create()
    withdrawals.record('i-1', BORN_MS, NOW)
    assert _is_outdated(withdrawals, sequence=10**9)
    assert _is_outdated(withdrawals, born_ms=BORN_MS - 1)
    assert not _is_outdated(withdrawals, born_ms=BORN_MS + 1, sequence=0)
    assert not _is_outdated(withdrawals, run_id='i-2')


def test_notices_before_a_drain_are_outdated():
    withdrawals = _create()
    withdrawals.record('i-1', BORN_MS, NOW, sequence=6)
    assert _is_outdated(withdrawals, sequence=5)
    assert not _is_outdated(withdrawals, sequence=6)


def test_a_run_whose_start_is_unknown_is_withdrawn_for_a_while():
    """A notice of the next run with its id looks alike."""
    withdrawals = _create()
    withdrawals.record('i-1', 0, NOW)
    assert _is_outdated(withdrawals, born_ms=0)
    assert not _is_outdated(withdrawals, NOW + UNKNOWN_START_TTL_S)


def test_a_record_of_another_node_does_not_concern_this_one():
    withdrawals = _create('n2')
    withdrawals.record('i-1', BORN_MS, NOW)
    held = _create('n1')
    held.merge(withdrawals.export('a', NOW), NOW)
    assert not _is_outdated(held)


def test_records_expire_by_their_age_wherever_they_are_held():
    withdrawals = _create()
    withdrawals.record('i-1', BORN_MS, NOW)
    held = _create()
    held.merge(withdrawals.export('a', NOW + 100), NOW + 100)
    end = NOW + WITHDRAWAL_TTL_S
    assert _is_outdated(held, end - 1)
    assert not _is_outdated(held, end)
    held.expire(end)
    held.merge(withdrawals.export('a', end), end)
    assert held.digest('a') == ''


def test_records_are_bounded():
    withdrawals = _create()
    for number in range(CAPACITY + 1):
        withdrawals.record(f'i-{number}', BORN_MS, NOW + number / CAPACITY)
    assert not _is_outdated(withdrawals, run_id='i-0')
    assert _is_outdated(withdrawals, run_id=f'i-{CAPACITY}')
    assert len(withdrawals.export('a', NOW)) == RECORDS_PER_MESSAGE


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['i-1', 'i-2']),
            st.integers(0, 3),
            st.integers(0, 3),
        ),
        max_size=8,
    ),
    st.randoms(),
)
def test_nodes_agree_whatever_the_order_of_records(said, random):
    first, second, third = _create(), _create('n2'), _create('n3')
    for run_id, born_ms, sequence in said:
        first.record(run_id, born_ms, NOW, sequence)
        second.merge(first.export('a', NOW), NOW)
    records = list(first.export('a', NOW))
    random.shuffle(records)
    for record in records:
        third.merge((record,), NOW)
    assert first.digest('a') == second.digest('a') == third.digest('a')
