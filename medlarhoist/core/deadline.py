"""Deadlines of calls, propagated from hop to hop.

Points in time are seconds of the local monotonic clock. Headers hold the time
left in milliseconds, so clocks need not be synchronized.
"""

from typing import Final

from medlarhoist.core.resource import Route

MAX_LEFT_MS: Final = 600_000
HOP_MARGIN_MS: Final = 3
_MAX_DIGITS: Final = 7
_MS_PER_SECOND: Final = 1000


def parse_left_ms(value: bytes | None) -> int | None:
    """Return the time left in milliseconds that a header states.

    Args:
        value: value of the header, None where it is missing.

    Returns:
        At most MAX_LEFT_MS; None for a missing or malformed value.
    """
    if value is None or not value.isdigit() or len(value) > _MAX_DIGITS:
        return None
    return min(int(value), MAX_LEFT_MS)


def start_deadline(now: float, value: bytes | None, timeout_ms: int) -> float:
    """Return the deadline of a call, in seconds of the clock of `now`.

    Args:
        now: present time, seconds.
        value: value of the caller's deadline header, None where it is missing.
        timeout_ms: maximum duration of the call, milliseconds.
    """
    left_ms = parse_left_ms(value)
    if left_ms is None or left_ms > timeout_ms:
        left_ms = timeout_ms
    return now + left_ms / _MS_PER_SECOND


def objective_time(now: float, deadline: float, route: Route) -> float:
    """Return the time of a call's latency objective, seconds.

    The objective is measured from the caller's first attempt. A caller that
    retries has less time left than the route's timeout; the difference is
    the time that its earlier attempts have used.

    Args:
        now: present time, seconds.
        deadline: deadline of the call, seconds.
        route: its route; without an objective the timeout is used.
    """
    objective_ms = route.objective_ms or route.timeout_ms
    elapsed_ms = route.timeout_ms - (deadline - now) * _MS_PER_SECOND
    due = now + (objective_ms - max(0, elapsed_ms)) / _MS_PER_SECOND
    return min(deadline, due)


def left_for_next_hop_ms(deadline: float, now: float) -> int:
    """Return the milliseconds that the next hop may take, at least zero.

    The margin allows the response of the next hop, with its verdict, to
    arrive before this node's deadline.
    """
    return max(0, int((deadline - now) * _MS_PER_SECOND) - HOP_MARGIN_MS)
