"""Relay: sends responses and refusals to the sender of a request."""

from collections.abc import Iterable

from medlarhoist.core.condition import format_condition
from medlarhoist.core.head_check import Framing
from medlarhoist.core.headers import (
    ARRIVED_HEADER,
    CONDITION_HEADER,
    LOAD_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    SUSPICION_HEADER,
    VERDICT_HEADER,
    Header,
    add_headers,
    forward_headers,
)
from medlarhoist.core.load_headers import format_load
from medlarhoist.core.quarantine import format_suspicion
from medlarhoist.node.proxy.attempt import Failure
from medlarhoist.node.proxy.body import BodyTooLarge, IncompleteBody
from medlarhoist.node.proxy.exchange import Exchange
from medlarhoist.node.proxy.response import Response


async def relay(
    exchange: Exchange,
    response: Response,
    extra: Iterable[Header] = (),
) -> bool:
    """Pass a response on while it is being received.

    If the response fails part-way, the connection is reset, so that the
    receiver recognizes it as incomplete. A body that lasts until its
    connection closes is sent on in chunks.

    Args:
        exchange: the request that the response is sent to.
        response: the response of a target or of its node.
        extra: headers to add.

    Returns:
        Whether the response was complete and passed on.
    """
    head = response.head
    headers = add_headers(forward_headers(head.headers), extra)
    framing = head.framing
    if framing.until_close:
        framing = Framing(chunked=True, declared=True)
    exchange.start(head.status, headers, framing, head.reason)
    if not response.body.buffered_bytes and not response.body.ended:
        exchange.flush()
    try:
        while piece := await response.body.read():
            await exchange.write(piece)
    except (IncompleteBody, BodyTooLarge):
        exchange.abort()
        return False
    exchange.finish()
    return True


def refuse(
    exchange: Exchange,
    failure: Failure,
    extra: Iterable[Header] = (),
) -> None:
    """Send a failure as response, or reset a response that has begun.

    Args:
        exchange: the request that failed.
        failure: status, verdict and reason, which are sent as headers.
        extra: headers to add.
    """
    if exchange.started:
        exchange.abort()
        return
    reason = failure.reason.encode()
    headers = [
        (VERDICT_HEADER, failure.verdict.encode()),
        (REASON_HEADER, reason),
        (b'content-type', b'text/plain'),
        *extra,
    ]
    if failure.return_s:
        headers.append((RETRY_AFTER_HEADER, b'%.3f' % failure.return_s))
    if failure.load is not None:
        headers.append((LOAD_HEADER, format_load(failure.load)))
    if failure.condition is not None:
        condition = format_condition(failure.condition)
        headers.append((CONDITION_HEADER, condition))
    if failure.suspicion is not None:
        suspicion = format_suspicion(failure.suspicion)
        headers.append((SUSPICION_HEADER, suspicion))
    if failure.has_arrived:
        headers.append((ARRIVED_HEADER, b'1'))
    exchange.respond(failure.status, headers, b'%b\n' % reason)
