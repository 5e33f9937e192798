"""In force: lets requests wait until nodes have put a version in force.

What is confirmed to an operator is in force on every node that the leader
reaches. The wait is bounded, as a node may be lost meanwhile; others that
come back later get the version with their floor. The bound counts from when
nodes began to lag, so that an order that is sent again, since its answer took
long, is answered soon.
"""

import asyncio
from collections.abc import Mapping
from math import inf
from typing import Final

from medlarhoist.source.distributor_plan import DomainView, progress_of

# With the wait for staging still less than operators wait for an answer.
MAX_LAG_SECONDS: Final = 1.5
_Waiter = tuple[int, asyncio.Future[None]]


class InForceVersion:
    """The newest version that every attached node has put in force."""

    __slots__ = ('_lagging_since', '_version', '_waiters')

    def __init__(self) -> None:
        """Start without a version."""
        self._lagging_since: float = inf
        self._version = 0
        self._waiters: list[_Waiter] = []

    @property
    def version(self) -> int:
        """Return the version, zero where this source does not lead."""
        return self._version

    def record(self, version: int) -> None:
        """Take in what the leader sees, and wake those that waited for it."""
        self._lagging_since = inf
        self._version = version
        for wanted, waiter in self._waiters:
            if wanted <= version and not waiter.done():
                waiter.set_result(None)

    def record_lag(self) -> None:
        """Take in that nodes do not have the active version in force yet."""
        now = asyncio.get_running_loop().time()
        self._lagging_since = min(self._lagging_since, now)

    async def wait_for(self, version: int) -> bool:
        """Wait until a version is in force, but not for long.

        Returns:
            Whether it was in force in time.
        """
        if self._version >= version:
            return True
        lag_s = asyncio.get_running_loop().time() - self._lagging_since
        timeout_s = MAX_LAG_SECONDS - max(0, lag_s)
        if timeout_s <= 0:
            return False
        waiter = asyncio.get_running_loop().create_future()
        entry = (version, waiter)
        self._waiters.append(entry)
        try:  # noqa: WPS501 - a cancelled waiter goes too
            done, _ = await asyncio.wait({waiter}, timeout=timeout_s)
        finally:
            self._waiters.remove(entry)
        return bool(done)


def is_in_force(views: Mapping[str, DomainView]) -> bool:
    """Say whether the nodes of all reachable domains have a version in force.

    Args:
        views: what is known of each failure domain about the version.
    """
    progress = [progress_of(view) for view in views.values() if view.acks]
    return all(one.active >= one.nodes for one in progress)
