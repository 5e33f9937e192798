"""Running: the requests at the target beside a node, whose calls are nested.

A nested call carries no key, so the id of the request that makes it shows to
which client account it belongs. A request whose connection was lost may still
run until its deadline, and make nested calls.
"""

import time
from typing import Final

from msgspec import Struct

MAX_LOST: Final = 1024


class _Parent(Struct, frozen=True):
    """A request at the target.

    Args:
        account: name of its client account, empty for none.
        deadline: its deadline, seconds of the monotonic clock.
    """

    account: str
    deadline: float


class RunningRequests:
    """The requests that the target is processing, by the callers' ids."""

    __slots__ = ('_lost', '_running')

    def __init__(self) -> None:
        """Start without requests."""
        self._lost: dict[str, _Parent] = {}
        self._running: dict[str, _Parent] = {}

    def __contains__(self, caller_id: str) -> bool:
        """Return whether a request waits for its response."""
        return caller_id in self._running

    def add(self, caller_id: str, account: str, deadline: float) -> None:
        """Record a request that is sent to the target.

        Args:
            caller_id: the caller's id, empty if it sent none.
            account: name of its client account, empty for none.
            deadline: its deadline, seconds of the monotonic clock.
        """
        if caller_id:
            self._running[caller_id] = _Parent(account, deadline)

    def end(self, caller_id: str, *, is_lost: bool) -> None:
        """Record that a request has got its response, or that it is lost.

        Args:
            caller_id: the caller's id.
            is_lost: whether it may still run.
        """
        parent = self._running.pop(caller_id, None)
        if parent is None or not is_lost:
            return
        self._lost[caller_id] = parent
        while len(self._lost) > MAX_LOST:
            self._lost.pop(next(iter(self._lost)))

    def find_account(self, caller_id: str) -> str | None:
        """Return the account of a request that runs or may run.

        Returns:
            Its name, empty if the request has none; None for no such request.
        """
        parent = self._running.get(caller_id) or self._lost.get(caller_id)
        if parent is None or parent.deadline < time.monotonic():
            return None
        return parent.account
