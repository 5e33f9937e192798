"""Verdict: whether a request that failed may have run on a target.

Every refusal or failure of a call has exactly one verdict, and the rules for
safe retries depend on verdicts only.
"""

from enum import StrEnum
from typing import Final

# A response with this or a higher HTTP status is a failure of the target.
SERVER_FAULT_STATUS: Final = 500
VERDICT_HEADER: Final = 'x-medlarhoist-verdict'


class Verdict(StrEnum):
    """Whether a target has executed a request, as far as a node can prove."""

    DID_NOT_RUN = 'did-not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


def may_retry(verdict: Verdict, *, idempotent: bool) -> bool:
    """Return whether another attempt is safe.

    Args:
        verdict: verdict on the failed attempt.
        idempotent: whether the route declares its requests idempotent.

    Returns:
        True where a second attempt cannot run a request twice, or where
        running it twice does no harm.
    """
    if verdict is Verdict.DID_NOT_RUN:
        return True
    return idempotent and verdict is Verdict.MAY_HAVE_RUN
