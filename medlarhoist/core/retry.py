"""Retry: decides whether a call is retried after an error response.

A target may report that it is healthy and still fail some of its requests.
Callers of idempotent requests need not see these failures while another target
has a free slot. Under overload no target has one, and nothing is retried.
"""

from typing import Final

from msgspec import Struct

from medlarhoist.core.verdict import SERVER_FAULT_STATUS

# The target exhausted the time of the call, and so would the next one.
_GATEWAY_TIMEOUT: Final = 504


class AttemptResult(Struct, frozen=True, kw_only=True):
    """An attempt to which a target has sent a response.

    Args:
        status: HTTP status of the response.
        is_idempotent: whether the request may run twice.
        is_replayable: whether the complete request body is still buffered.
        arrivals: targets that the request has reached, this one included.
        attempts: maximum number of targets that it may reach.
    """

    status: int
    is_idempotent: bool
    is_replayable: bool
    arrivals: int
    attempts: int


def is_retryable(attempt: AttemptResult, left_s: float, mean_s: float) -> bool:
    """Return whether a retry is allowed and can still meet the objective.

    Args:
        attempt: the attempt that has failed.
        left_s: time left until the latency objective, seconds.
        mean_s: mean duration of a call of the route, seconds.
    """
    if (
        attempt.status < SERVER_FAULT_STATUS
        or attempt.status == _GATEWAY_TIMEOUT
    ):
        return False
    if not attempt.is_idempotent or not attempt.is_replayable:
        return False
    return attempt.arrivals < attempt.attempts and mean_s < left_s
