"""Tests of the limit of requests per second."""

from hypothesis import given
from hypothesis import settings as check
from hypothesis import strategies as st

from medlarhoist.core.rate_limit import RateLimiter

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
