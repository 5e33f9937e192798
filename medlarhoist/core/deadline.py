"""Deadline: the time that a call may take, carried from hop to hop.

Points in time are seconds of a monotonic clock; what travels is the time
left in milliseconds, so that clocks need not agree.
"""

from typing import Final

from medlarhoist.core.resource import Route

LONGEST_MS: Final = 600_000
HOP_MARGIN_MS: Final = 3
_DIGITS: Final = 7
_MS_PER_SECOND: Final = 1000


def parse_left_ms(value: bytes | None) -> int | None:
    """Return the milliseconds that a header grants, None if it grants none.

    A malformed value counts as none; a longer one is cut to LONGEST_MS.
    """
    if value is None or not value.isdigit() or len(value) > _DIGITS:
        return None
    return min(int(value), LONGEST_MS)


def start_deadline(now: float, value: bytes | None, timeout_ms: int) -> float:
    """Return the deadline of a call.

    Args:
        now: present time, seconds.
        value: the caller's header, if any.
        timeout_ms: longest time of a call, milliseconds.
    """
    left_ms = parse_left_ms(value)
    if left_ms is None or left_ms > timeout_ms:
        left_ms = timeout_ms
    return now + left_ms / _MS_PER_SECOND


def objective_time(now: float, deadline: float, route: Route) -> float:
    """Return when an answer of a call begins to lose worth, seconds.

    The objective counts from the caller's first attempt. A caller that comes
    back has less time left than the route gives, so what is missing was spent
    before.

    Args:
        now: present time, seconds.
        deadline: end of the call, seconds.
        route: its route.
    """
    objective_ms = route.objective_ms or route.timeout_ms
    spent_ms = route.timeout_ms - (deadline - now) * _MS_PER_SECOND
    due = now + (objective_ms - max(0, spent_ms)) / _MS_PER_SECOND
    return min(deadline, due)


def left_for_next_hop_ms(deadline: float, now: float) -> int:
    """Return the milliseconds to grant to the next hop, never below zero.

    The margin lets the next hop answer with its verdict before this one
    gives up.
    """
    return max(0, int((deadline - now) * _MS_PER_SECOND) - HOP_MARGIN_MS)
