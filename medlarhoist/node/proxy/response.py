"""Response: a response of a target or a node, while it is being received."""

from collections.abc import Callable
from typing import Protocol

from medlarhoist.node.proxy.body import Body, IncompleteBody
from medlarhoist.node.proxy.reader import Head


class ResponseConnection(Protocol):
    """The connection that a response is received on."""

    def set_reading(self, is_on: bool) -> None:
        """Resume reading from the connection (True) or pause it (False)."""

    def release(self) -> None:
        """Return to the pool, or abort if the connection cannot be reused."""

    def abort(self) -> None:
        """Close at once, without waiting for data in progress."""


class Response:
    """The head of a response and its body, which may still be arriving.

    Args:
        head: head of the response.
        body: body of the response.
    """

    __slots__ = ('_conn', '_on_finished', 'body', 'head')

    def __init__(self, conn: ResponseConnection, head: Head) -> None:
        """Create a response whose body has not been received.

        Args:
            conn: the connection that it is received on.
            head: its head.
        """
        self._conn = conn
        self._on_finished: Callable[[bool], None] | None = None
        self.head = head
        self.body = Body(conn.set_reading)

    def end(self) -> None:
        """Handle the end of the body."""
        self.body.end()
        self._notify_finished()

    def fail(self, fault: Exception) -> None:
        """Handle a failure before the end of the body.

        Args:
            fault: the exception that is raised to readers of the body.
        """
        self.body.fail(fault)
        self._notify_finished()

    def close(self) -> None:
        """Return the connection to its pool, or abort it if it is unfinished.

        The receiver of a response must call this, also without reading it.
        """
        self._conn.release()
        self.fail(IncompleteBody())

    def discard(self) -> None:
        """Abort the connection, as the response is for another request."""
        self._conn.abort()
        self.fail(IncompleteBody())

    def on_finished(self, callback: Callable[[bool], None]) -> None:
        """Set a function to call once when the response has ended or failed.

        Args:
            callback: called with whether the response is complete, at once if
                it has ended already.
        """
        self._on_finished = callback
        if self.body.ended:
            self._notify_finished()

    def _notify_finished(self) -> None:
        if self._on_finished is not None:
            self._on_finished(self.body.is_whole)
            self._on_finished = None
