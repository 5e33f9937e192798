"""Exponential backoff with jitter."""

from random import Random
from typing import Final

INITIAL_DELAY_SECONDS: Final = 0.1
MAX_DELAY_SECONDS: Final = 5.0
MIN_DELAY_LIMIT_SECONDS: Final = 0.4
# Limit for all members of a domain together; they retry calls to its keepers
# and to the sources.
RETRIES_PER_SECOND: Final = 50
_MAX_EXPONENT: Final = 16


def max_delay_seconds(members: int) -> float:
    """Return the maximum retry delay of a failure domain's members, seconds.

    It grows with the number of members, so that all of them together retry
    at a bounded rate.

    Args:
        members: number of members of the domain, this one included.
    """
    rate_limited = members / RETRIES_PER_SECOND
    return min(MAX_DELAY_SECONDS, max(MIN_DELAY_LIMIT_SECONDS, rate_limited))


def delay_seconds(
    attempt: int,
    random: Random,
    max_delay: float = MAX_DELAY_SECONDS,
) -> float:
    """Return how long to wait before a retry, in seconds.

    The delay is uniformly distributed over the upper three quarters of an
    interval that doubles with each attempt, so that processes which failed
    at the same time don't retry at the same time.

    Args:
        attempt: number of failures so far, from zero.
        random: source of randomness.
        max_delay: maximum length of the interval, seconds.
    """
    exponent = min(attempt, _MAX_EXPONENT)
    ceiling = min(max_delay, INITIAL_DELAY_SECONDS * 2**exponent)
    return random.uniform(ceiling / 4, ceiling)
