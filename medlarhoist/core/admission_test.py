"""Tests of admission, the retry budget and deadlines."""

from random import Random

from hypothesis import given
from hypothesis import settings as check
from hypothesis import strategies as st
from pytest import approx

from medlarhoist.core.admission import (
    Admission,
    Load,
    Need,
    admit,
    order_key,
    return_seconds,
    wait_seconds,
)
from medlarhoist.core.budget import RetryBudget, earn, spend
from medlarhoist.core.deadline import (
    LONGEST_MS,
    left_for_next_hop_ms,
    parse_left_ms,
    start_deadline,
)
from medlarhoist.core.load_headers import read_need, write_need

NOW = 100.0


def _need(left=10.0, due=None, **others):
    due = left if due is None else due
    return Need(deadline=NOW + left, due=NOW + due, **others)


@check(derandomize=True, deadline=None)
@given(
    st.integers(1, 50),
    st.integers(0, 60),
    st.integers(0, 60),
    st.floats(-1, 10),
    st.floats(-1, 10),
    st.booleans(),
)
def test_no_call_starts_beyond_the_slots(
    slots,
    used,
    waiting,
    left,
    due,
    spilled,
):
    load = Load(slots, used, waiting)
    need = _need(left, min(left, due), is_spilled=spilled)
    admission = admit(load, need, NOW, waiting)
    if admission is Admission.START:
        assert used < slots
        assert left > 0
    if admission is Admission.WAIT:
        turns = (waiting + 1) / slots
        limit = need.due if need.due > NOW else need.deadline
        assert turns * load.busy_s + load.busy_s <= limit - NOW


def test_a_call_that_cannot_end_in_time_does_not_wait():
    load = Load(20, 20, 5, busy_s=1.0)
    assert admit(load, _need(1.0), NOW, 5) is Admission.REFUSE
    assert admit(load, _need(5.0), NOW, 5) is Admission.WAIT


def test_a_call_waits_for_its_objective_and_not_for_its_deadline():
    load = Load(10, 10, 30, busy_s=0.2)
    assert admit(load, _need(5.0, due=0.5), NOW, 30) is Admission.REFUSE
    assert admit(load, _need(5.0, due=0.5), NOW, 3) is Admission.WAIT
    assert admit(load, _need(5.0, due=-0.1), NOW, 30) is Admission.WAIT


def test_the_more_urgent_go_first():
    first = [
        _need(due=0.2),
        _need(due=0.3),
        _need(due=0.25, is_spilled=True),
        _need(due=-0.1),
        _need(due=0.1, priority=1),
    ]
    keys = [order_key(need, NOW) for need in first]
    assert keys == sorted(keys)


def test_own_calls_go_before_spilled_ones_that_came_together():
    own, spilled = _need(due=0.5), _need(due=0.5, is_spilled=True)
    assert order_key(own, NOW) < order_key(spilled, NOW)


def test_calls_of_running_requests_go_before_all_new_ones():
    nested = _need(due=0.3, priority=2, is_nested=True)
    new = _need(due=0.1, priority=0)
    assert order_key(nested, NOW) < order_key(new, NOW)


def test_a_call_of_a_running_request_waits_as_long_as_that_can():
    """Its objective is short, but its refusal fails the whole request."""
    load = Load(10, 10, 20, busy_s=0.1)
    assert admit(load, _need(0.5, 0.15), NOW, 10) is Admission.REFUSE
    nested = _need(0.5, 0.15, is_nested=True)
    assert admit(load, nested, NOW, 10) is Admission.WAIT
    assert admit(load, nested, NOW, 60) is Admission.REFUSE


def test_what_a_call_needs_travels_to_the_next_node():
    for is_nested in (False, True):
        need = _need(2.0, 0.5, priority=3, is_nested=is_nested)
        text = write_need(need, NOW)
        assert read_need(text, NOW + 2, NOW, is_spilled=False) == need


def test_refused_callers_return_when_there_is_room_and_spread():
    load = Load(10, 10, 20, busy_s=0.2)
    draw = Random(1)
    times = [return_seconds(load, draw) for _ in range(200)]
    assert min(times) >= 0.5 * wait_seconds(load, 20)
    assert max(times) <= 1.5 * wait_seconds(load, 20)
    assert max(times) > 2 * min(times)
    assert return_seconds(Load(0, 0, 0), draw) > 0


def test_retries_are_a_share_of_the_calls():
    budget = RetryBudget(0)
    retries = 0
    for _ in range(1000):
        budget = earn(budget)
        spent = spend(budget)
        if spent is not None:
            budget = spent
            retries += 1
    assert 95 <= retries <= 100


def test_deadlines_shrink_from_hop_to_hop():
    assert start_deadline(10.0, b'250', 5000) == approx(10.25)
    assert start_deadline(10.0, b'-1', 5000) == approx(15.0)
    assert start_deadline(10.0, None, 5000) == approx(15.0)
    assert parse_left_ms(b'9999999') == LONGEST_MS
    assert left_for_next_hop_ms(10.25, 10.0) < 250
    assert left_for_next_hop_ms(10.0, 11.0) == 0
