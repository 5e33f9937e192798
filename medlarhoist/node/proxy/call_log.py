"""Call log: a line for each decision on a call, found by the caller's id."""

from typing import Final

from loguru import logger

from medlarhoist.core.admission import Load
from medlarhoist.node.proxy.attempt import Failure
from medlarhoist.node.proxy.call import Call

_MS_PER_SECOND: Final = 1000


def log_attempt(call: Call, failure: Failure, now: float) -> None:
    """Log an attempt that brought no answer.

    Args:
        call: the call.
        failure: why there is none.
        now: seconds of the monotonic clock.
    """
    target = call.target
    logger.bind(
        request=call.caller_id,
        target=target.node if target else '',
        attempt=len(call.tried),
        verdict=failure.verdict.value,
        reason=failure.reason,
        left_ms=_to_ms(call.deadline - now),
    ).info('calls: an attempt brought no answer')


def log_end(call: Call, status: int, outcome: str, now: float) -> None:
    """Log how a call ended.

    Args:
        call: the call.
        status: status that the caller got, zero for none.
        outcome: short phrase: answered, cut or the reason of a refusal.
        now: seconds of the monotonic clock.
    """
    target = call.target
    logger.bind(
        request=call.caller_id,
        route=call.route.name,
        service=call.service,
        label=target.label if target else call.label,
        target=target.node if target else '',
        version=call.version,
        attempts=len(call.tried),
        status=status,
        outcome=outcome,
        ms=_to_ms(now - call.started),
    ).info('calls: a call has ended')


def log_unrouted(caller_id: str, failure: Failure, version: int) -> None:
    """Log a call that was refused before a route was found for it.

    Args:
        caller_id: the caller's id of the request.
        failure: why.
        version: configuration version in force, zero for none.
    """
    logger.bind(
        request=caller_id,
        status=failure.status,
        version=version,
        outcome=failure.reason,
    ).info('calls: a call was not routed')


def log_refusal(caller_id: str, reason: str, load: Load, left_s: float) -> None:
    """Log that the node of a target refused a call before sending it.

    Args:
        caller_id: the caller's id of the request.
        reason: why.
        load: load of the target at that moment.
        left_s: time that the call had left, seconds.
    """
    logger.bind(
        request=caller_id,
        reason=reason,
        slots=load.slots,
        used=load.used,
        waiting=load.waiting,
        busy_ms=_to_ms(load.busy_s),
        left_ms=_to_ms(left_s),
    ).info('target: refused a call')


def _to_ms(seconds: float) -> int:
    return round(seconds * _MS_PER_SECOND)
