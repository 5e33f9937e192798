"""Sockets: looks at the state of a connection that the loop has not reported."""

import select
from typing import Any


def poll_events(transport: Any, events: int) -> int:
    """Return which events the socket of a transport has now; zero for none.

    Args:
        transport: transport of an open connection.
        events: the events to look for, constants of the module select. Errors
            and hang-ups are returned as well.
    """
    poller = select.poll()
    poller.register(transport.get_extra_info('socket').fileno(), events)
    return sum(found for _, found in poller.poll(0))
