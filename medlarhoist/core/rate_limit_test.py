"""Tests of the limit of requests per second."""

from hypothesis import given
from hypothesis import settings as check
from hypothesis import strategies as st

from medlarhoist.core.rate_limit import MIN_COLD_S, RateLimiter, TargetLimiter

WINDOW_S = 4.0


@check(derandomize=True, deadline=None)
@given(
    st.floats(0.5, 100),
    st.lists(st.floats(0, 2), min_size=1, max_size=300),
)
def test_no_window_holds_half_as_many_again_as_the_limit(rate, gaps):
    limiter = RateLimiter()
    limiter.set_rate(rate, 0)
    now = 0
    admitted = []
    for gap in gaps:
        now += gap / rate
        if not limiter.delay_s(now):
            limiter.take(now)
            admitted.append(now)
    for start in admitted:
        inside = [at for at in admitted if start <= at < start + WINDOW_S]
        assert len(inside) <= 1.5 * rate * WINDOW_S + 5


def test_a_steady_load_gets_the_whole_limit():
    limiter = RateLimiter()
    limiter.set_rate(10, 0)
    admitted = 0
    for step in range(10_000):
        now = step / 1000
        if not limiter.delay_s(now):
            limiter.take(now)
            admitted += 1
    assert admitted >= 99


def test_an_end_of_the_limit_admits_at_once():
    limiter = RateLimiter()
    limiter.set_rate(1, 0)
    limiter.set_rate(0, 0)
    assert limiter.delay_s(0) == 0


def _admit(limiter, arrivals):
    """Return the times of the arrivals that the limiter admits."""
    admitted = []
    for now in arrivals:
        if not limiter.delay_s(now):
            limiter.take(now)
            admitted.append(now)
    return admitted


@check(derandomize=True, deadline=None)
@given(
    st.floats(0.5, 50),
    st.floats(0, 2),
    st.lists(st.floats(0, 0.3), min_size=1, max_size=300),
)
def test_no_second_of_a_cold_target_holds_more_than_its_turns(
    rate, turns_cold_at, gaps
):
    """Whatever the load, and whenever it turns cold."""
    arrivals = [sum(gaps[: count + 1]) for count in range(len(gaps))]
    limiter = TargetLimiter()
    _admit(limiter, [at for at in arrivals if at < turns_cold_at])
    limiter.set_cold(rate, 60, turns_cold_at)
    admitted = _admit(limiter, [at for at in arrivals if at >= turns_cold_at])
    for start in admitted:
        inside = [at for at in admitted if start <= at < start + 1]
        assert len(inside) <= 1.5 * rate + 2


def test_a_cold_target_is_used_up_to_its_rate():
    limiter = TargetLimiter()
    limiter.set_cold(5, 60, 0)
    assert len(_admit(limiter, [step / 1000 for step in range(10_000)])) >= 49


def test_the_lower_of_two_limits_binds():
    limiter = TargetLimiter()
    limiter.set_stated(10, 0)
    limiter.set_cold(2, 1, 0)
    assert limiter.rate == 2
    limiter.set_cold(0, 0, 1)
    assert limiter.rate == 10
    assert not limiter.cold_seconds(1)


def test_a_limit_past_the_stated_time_is_still_reported_as_cold():
    limiter = TargetLimiter()
    limiter.set_cold(2, 4, 0)
    assert limiter.cold_seconds(1) == 3
    assert limiter.cold_seconds(5) == MIN_COLD_S
