"""Relay: gives answers and refusals to whoever sent the request."""

from collections.abc import Iterable

from medlarhoist.core.head_check import Framing
from medlarhoist.core.headers import (
    ARRIVED_HEADER,
    LOAD_HEADER,
    REASON_HEADER,
    RETRY_AFTER,
    VERDICT,
    Header,
    forward_headers,
)
from medlarhoist.core.load_headers import write_load
from medlarhoist.node.proxy.attempt import Failure
from medlarhoist.node.proxy.body import BodyTooLarge, ShortBody
from medlarhoist.node.proxy.client import Response
from medlarhoist.node.proxy.exchange import Exchange


async def relay(
    exchange: Exchange,
    answer: Response,
    extra: Iterable[Header] = (),
) -> bool:
    """Pass an answer on as it comes.

    A short answer ends with a reset connection.

    Args:
        exchange: where it goes.
        answer: where it comes from.
        extra: headers to add.

    Returns:
        Whether the whole answer was passed on.
    """
    head = answer.head
    headers = forward_headers(head.headers)
    headers.extend(extra)
    framing = head.framing
    if framing.until_close:
        framing = Framing(chunked=True, declared=True)
    exchange.start(head.status, headers, framing, head.reason)
    if not answer.body.size and not answer.body.ended:
        exchange.flush()
    try:
        while piece := await answer.body.read():
            await exchange.write(piece)
    except (ShortBody, BodyTooLarge):
        exchange.abort()
        return False
    exchange.finish()
    return True


def refuse(
    exchange: Exchange,
    failure: Failure,
    extra: Iterable[Header] = (),
) -> None:
    """Answer with a failure; reset where an answer has begun."""
    if exchange.started:
        exchange.abort()
        return
    reason = failure.reason.encode()
    headers = [
        (VERDICT, failure.verdict.encode()),
        (REASON_HEADER, reason),
        (b'content-type', b'text/plain'),
        *extra,
    ]
    if failure.return_s:
        headers.append((RETRY_AFTER, b'%.3f' % failure.return_s))
    if failure.load is not None:
        headers.append((LOAD_HEADER, write_load(failure.load)))
    if failure.has_arrived:
        headers.append((ARRIVED_HEADER, b'1'))
    exchange.answer(failure.status, headers, b'%b\n' % reason)
