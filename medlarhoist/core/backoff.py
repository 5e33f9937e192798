"""Backoff: jittered exponential delay before a retry."""

from random import Random
from typing import Final

FIRST_SECONDS: Final = 0.1
LONGEST_SECONDS: Final = 5.0
SHORTEST_LIMIT_SECONDS: Final = 0.4
# What a domain's members may ask of its keepers and of the sources together.
RETRIES_PER_SECOND: Final = 50
_LARGEST_EXPONENT: Final = 16


def max_delay_seconds(members: int) -> float:
    """Return the longest delay for a member of a failure domain, seconds.

    Together the members retry at a bounded rate, so few of them may retry
    often and many must wait.

    Args:
        members: known members of the domain, this one included.
    """
    bounded = members / RETRIES_PER_SECOND
    return min(LONGEST_SECONDS, max(SHORTEST_LIMIT_SECONDS, bounded))


def delay_seconds(
    attempt: int,
    random: Random,
    longest: float = LONGEST_SECONDS,
) -> float:
    """Return how long to wait before a retry, in seconds.

    The delay is drawn evenly from the upper three quarters of an interval
    that doubles with each attempt, so that a herd spreads out.

    Args:
        attempt: number of failures so far, from zero.
        random: source of randomness.
        longest: bound of the interval, seconds.
    """
    exponent = min(attempt, _LARGEST_EXPONENT)
    ceiling = min(longest, FIRST_SECONDS * 2**exponent)
    return random.uniform(ceiling / 4, ceiling)
