"""Target headers: what a node adds to a request for its target."""

import time

from medlarhoist.core.deadline import left_for_next_hop_ms
from medlarhoist.core.header_names import HeaderNames
from medlarhoist.core.headers import (
    REQUEST_HEADER,
    Header,
    drop_headers,
)
from medlarhoist.node.proxy.attempt import Request, replace_headers
from medlarhoist.node.proxy.forwarded import ForwardedCall


def add_target_headers(
    request: Request,
    call: ForwardedCall,
    names: HeaderNames,
    run_id: str,
) -> Request:
    """Return the request with attempt id, deadline and run id added."""
    left_ms = left_for_next_hop_ms(call.deadline, time.monotonic())
    added: list[Header] = [
        (REQUEST_HEADER, call.request_id),
        (names.deadline, b'%d' % left_ms),
    ]
    if names.expected_target and run_id:
        added.append((names.expected_target, run_id.encode()))
    kept = drop_headers(request.headers, {names.deadline})
    return replace_headers(request, kept, added)
