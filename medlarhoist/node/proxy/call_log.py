"""Call log: log lines on the attempts, refusals and end of each call.

The field `request` of a line is the caller's id of the request, empty if it
sent none, so that all lines on a call can be found by it.
"""

from typing import Final

from loguru import logger

from medlarhoist.core.admission import Load
from medlarhoist.core.condition import Condition
from medlarhoist.core.quarantine import Suspicion
from medlarhoist.node.proxy.attempt import Failure, Request
from medlarhoist.node.proxy.call import Call

_MS_PER_SECOND: Final = 1000
MAX_LOGGED_PATH: Final = 200


def log_failed_attempt(call: Call, failure: Failure, now: float) -> None:
    """Log an attempt that got no response to pass on.

    Args:
        call: the call.
        failure: how the attempt failed.
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
        status: HTTP status sent to the caller, zero if none was sent.
        outcome: `answered` for a complete response, `cut` for an incomplete
            one, otherwise the reason of the failure.
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
    """Log a call that was refused before it was routed.

    Args:
        caller_id: the caller's id of the request, empty if it sent none.
        failure: why the call was refused.
        version: version of the configuration in force, zero for none.
    """
    logger.bind(
        request=caller_id,
        status=failure.status,
        version=version,
        outcome=failure.reason,
    ).info('calls: a call was not routed')


def log_confirmation(version: int, age_s: float, *, is_confirmed: bool) -> None:
    """Log that calls with keys are refused from now on, or served again.

    Args:
        version: version of the configuration in force.
        age_s: seconds since it was known to be the newest, infinite if that
            was not known since the start.
        is_confirmed: whether they are served.
    """
    bound = logger.bind(version=version, age_s=round(age_s, 2))
    if is_confirmed:
        bound.info('accounts: calls with keys are served again')
    else:
        bound.warning('accounts: keys are not confirmed; calls are refused')


def log_refusal(caller_id: str, reason: str, load: Load, left_s: float) -> None:
    """Log that the target's node refused a call and did not send it.

    Args:
        caller_id: the caller's id of the request, empty if it sent none.
        reason: why the call was refused.
        load: present load of the target.
        left_s: time until the deadline of the call, seconds.
    """
    logger.bind(
        request=caller_id,
        reason=reason,
        slots=load.slots,
        used=load.used,
        waiting=load.waiting,
        busy_ms=_to_ms(load.busy_s),
        rate=load.rate,
        delay_ms=_to_ms(load.delay_s),
        left_ms=_to_ms(left_s),
    ).info('target: refused a call')


def log_death(
    request: Request,
    fingerprint: str,
    record: Suspicion | None,
) -> None:
    """Log that a run of the target ended while it ran a request.

    Args:
        request: the request.
        fingerprint: identifies it, whatever its id is.
        record: what is known of it, None if it was cleared meanwhile.
    """
    deaths = record.deaths if record else 0
    bound = logger.bind(
        request=request.caller_id,
        fingerprint=fingerprint,
        method=request.method.decode('latin-1'),
        path=request.url.decode('latin-1')[:MAX_LOGGED_PATH],
        deaths=deaths,
    )
    if record and record.is_quarantined:
        bound.warning('quarantine: refuses a request that crashes its targets')
    else:
        bound.info('target: has ended while it ran a request')


def log_limit(condition: Condition) -> None:
    """Log that a target begins or ends to limit its requests per second.

    Args:
        condition: what the run of the target states now.
    """
    logger.bind(run=condition.run_key, rate=condition.rate).info(
        'target: limits its requests per second'
        if condition.rate
        else 'target: limits its requests no longer',
    )


def log_malformed_response(caller_id: str, address: str, reason: str) -> None:
    """Log that a connection was closed for bytes that are no response.

    Args:
        caller_id: the caller's id of the request, empty if the connection had
            no request.
        address: host:port that sent them.
        reason: what is wrong with them.
    """
    logger.bind(
        request=caller_id,
        address=address,
        reason=reason,
    ).warning('calls: closed a connection after a malformed response')


def _to_ms(seconds: float) -> int:
    return round(seconds * _MS_PER_SECOND)
