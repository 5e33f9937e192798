"""Tests of admission control, retry budgets and deadlines."""

from random import Random

from hypothesis import given
from hypothesis import settings as check
from hypothesis import strategies as st
from msgspec.structs import replace
from pytest import approx

from medlarhoist.core.admission import (
    Admission,
    CallRequirements,
    Load,
    admit,
    can_finish_in_time,
    queue_key,
    retry_after_seconds,
    wait_seconds,
)
from medlarhoist.core.budget import RetryBudget, add_call, try_consume
from medlarhoist.core.deadline import (
    MAX_LEFT_MS,
    left_for_next_hop_ms,
    parse_left_ms,
    start_deadline,
)
from medlarhoist.core.load_headers import (
    format_load,
    format_requirements,
    parse_load,
    parse_requirements,
)

NOW = 100.0


def _requirements(left=10.0, due=None, **others):
    due = left if due is None else due
    return CallRequirements(deadline=NOW + left, due=NOW + due, **others)


@check(derandomize=True, deadline=None)
@given(
    st.integers(1, 50),
    st.integers(0, 60),
    st.integers(0, 60),
    st.floats(-1, 10),
    st.floats(-1, 10),
    st.booleans(),
)
def test_call_starts_only_with_a_free_slot(
    slots,
    used,
    waiting,
    left,
    due,
    is_spilled,
):
    load = Load(slots, used, waiting)
    requirements = _requirements(left, min(left, due), is_spilled=is_spilled)
    admission = admit(load, requirements, NOW, waiting)
    if admission is Admission.START:
        assert used < slots
        assert left > 0
    if admission is Admission.WAIT:
        turns = (waiting + 1) / slots
        limit = (
            requirements.due
            if requirements.due > NOW
            else requirements.deadline
        )
        assert turns * load.busy_s + load.busy_s <= limit - NOW


def test_call_that_cannot_finish_in_time_is_refused():
    load = Load(20, 20, 5, busy_s=1.0)
    assert admit(load, _requirements(1.0), NOW, 5) is Admission.REFUSE
    assert admit(load, _requirements(5.0), NOW, 5) is Admission.WAIT


def test_call_waits_until_its_objective_unless_that_is_past():
    load = Load(10, 10, 30, busy_s=0.2)
    assert admit(load, _requirements(5.0, due=0.5), NOW, 30) is Admission.REFUSE
    assert admit(load, _requirements(5.0, due=0.5), NOW, 3) is Admission.WAIT
    assert admit(load, _requirements(5.0, due=-0.1), NOW, 30) is Admission.WAIT


def test_queue_is_ordered_by_priority_and_objective():
    expected_order = [
        _requirements(due=0.2),
        _requirements(due=0.3),
        _requirements(due=0.25, is_spilled=True),
        _requirements(due=-0.1),
        _requirements(due=0.1, priority=1),
    ]
    keys = [queue_key(call, NOW) for call in expected_order]
    assert keys == sorted(keys)


def test_local_call_precedes_cross_domain_call():
    local, remote = (
        _requirements(due=0.5),
        _requirements(due=0.5, is_spilled=True),
    )
    assert queue_key(local, NOW) < queue_key(remote, NOW)


def test_nested_call_precedes_all_new_requests():
    nested = _requirements(due=0.3, priority=2, is_nested=True)
    new = _requirements(due=0.1, priority=0)
    assert queue_key(nested, NOW) < queue_key(new, NOW)


def test_nested_call_waits_until_its_deadline():
    """Refusing a nested call fails its whole parent request."""
    load = Load(10, 10, 20, busy_s=0.1)
    assert admit(load, _requirements(0.5, 0.15), NOW, 10) is Admission.REFUSE
    nested = _requirements(0.5, 0.15, is_nested=True)
    assert admit(load, nested, NOW, 10) is Admission.WAIT
    assert admit(load, nested, NOW, 60) is Admission.REFUSE


def test_forwarded_requirements_are_parsed_unchanged():
    for is_nested in (False, True):
        requirements = _requirements(2.0, 0.5, priority=3, is_nested=is_nested)
        header = format_requirements(requirements, NOW)
        assert (
            parse_requirements(header, NOW + 2, NOW, is_spilled=False)
            == requirements
        )


def test_retry_after_is_randomized_around_the_predicted_wait():
    load = Load(10, 10, 20, busy_s=0.2)
    rng = Random(1)
    times = [retry_after_seconds(load, rng) for _ in range(200)]
    assert min(times) >= 0.5 * wait_seconds(load, 20)
    assert max(times) <= 1.5 * wait_seconds(load, 20)
    assert max(times) > 2 * min(times)
    assert retry_after_seconds(Load(0, 0, 0), rng) > 0


def test_retries_are_a_fraction_of_the_calls():
    budget = RetryBudget(0)
    retries = 0
    for _ in range(1000):
        budget = add_call(budget)
        consumed = try_consume(budget)
        if consumed is not None:
            budget = consumed
            retries += 1
    assert 95 <= retries <= 100


def test_time_left_shrinks_with_each_hop():
    assert start_deadline(10.0, b'250', 5000) == approx(10.25)
    assert start_deadline(10.0, b'-1', 5000) == approx(15.0)
    assert start_deadline(10.0, None, 5000) == approx(15.0)
    assert parse_left_ms(b'9999999') == MAX_LEFT_MS
    assert left_for_next_hop_ms(10.25, 10.0) < 250
    assert left_for_next_hop_ms(10.0, 11.0) == 0


def test_a_call_waits_for_its_turn_at_a_limited_target():
    load = Load(20, 1, 2, busy_s=0.1, rate=10, delay_s=0.05)
    assert wait_seconds(load, 2) == approx(0.25)
    assert admit(load, _requirements(due=1), NOW, 2) is Admission.WAIT
    assert admit(load, _requirements(due=0.3), NOW, 2) is Admission.REFUSE


def test_reported_load_includes_the_limit():
    for load in (Load(20, 3, 1, 0.1), Load(20, 3, 1, 0.1, 4.1, 0.25)):
        assert parse_load(format_load(load)) == load


COLD = Load(3, 0, 0, 0.05, rate=5, delay_s=0.1, cold_s=3)


def test_a_call_does_not_wait_long_for_a_cold_target():
    """Others may have room, so it must have the time to try them."""
    assert admit(COLD, _requirements(due=0.5), NOW, 0) is Admission.REFUSE
    assert admit(COLD, _requirements(due=1.0), NOW, 0) is Admission.WAIT
    assert admit(COLD, _requirements(due=1.0), NOW, 1) is Admission.REFUSE


def test_a_nested_call_waits_longer_for_a_cold_target():
    nested = _requirements(left=0.4, is_nested=True)
    assert admit(COLD, nested, NOW, 0) is Admission.WAIT
    assert admit(COLD, nested, NOW, 1) is Admission.REFUSE


def test_a_call_that_may_wait_for_a_cold_target_may_go_on_waiting():
    call = _requirements(due=1.0)
    for passed_s in (0.025, 0.05, 0.075, 0.1):
        load = replace(COLD, delay_s=COLD.delay_s - passed_s)
        assert can_finish_in_time(load, call, NOW + passed_s, 0)
