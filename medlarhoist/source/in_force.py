"""In force: lets requests wait until nodes route by a version.

A version is in force on a node that routes by it. A change is confirmed to
an operator once it is in force on every node that the leader reaches. The
wait is bounded, as a node may become unavailable meanwhile; nodes that return
later get the version with their floor (the lowest version that they may
serve). The bound counts from when nodes began to lag, so that a request that
an operator repeats after a slow response gets its response soon. It is extended
while a whole domain lags, since its nodes cannot help one another.
"""

import asyncio
from collections.abc import Mapping
from math import inf
from typing import Final

from medlarhoist.source.distributor_plan import (
    DomainView,
    Progress,
    progress_of,
)

# Together with STAGE_TIMEOUT_SECONDS less than operators wait for a response.
MAX_LAG_SECONDS: Final = 1.5
_Waiter = tuple[int, asyncio.Future[None]]


class InForceVersion:
    """The newest version that every attached node has in force."""

    __slots__ = ('_lagging_since', '_max_lag_s', '_version', '_waiters')

    def __init__(self) -> None:
        """Start without a version."""
        self._lagging_since: float = inf
        self._max_lag_s = MAX_LAG_SECONDS
        self._version = 0
        self._waiters: list[_Waiter] = []

    @property
    def version(self) -> int:
        """Return the version, zero if this source does not lead."""
        return self._version

    def record(self, version: int) -> None:
        """Set the version and wake the requests that wait for it.

        Args:
            version: the version in force, zero if this source does not lead.
        """
        self._lagging_since = inf
        self._max_lag_s = MAX_LAG_SECONDS
        self._version = version
        for awaited, waiter in self._waiters:
            if awaited <= version and not waiter.done():
                waiter.set_result(None)

    def record_lag(self, max_lag_s: float = MAX_LAG_SECONDS) -> None:
        """Record that some nodes do not have the active version in force.

        The first call since the last record() starts the bound of the wait.

        Args:
            max_lag_s: the bound, seconds; that of the last call counts.
        """
        now = asyncio.get_running_loop().time()
        self._lagging_since = min(self._lagging_since, now)
        self._max_lag_s = max_lag_s

    async def wait_for(self, version: int) -> bool:
        """Wait until a version is in force.

        The wait ends when its bound has passed since nodes began to lag, or
        since its own start if none was recorded to lag then.

        Returns:
            Whether the version was in force in time.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while self._version < version:
            lagging_since = min(started_at, self._lagging_since)
            timeout_s = lagging_since + self._max_lag_s - loop.time()
            if timeout_s <= 0:
                return False
            await self._wait(version, timeout_s)
        return True

    async def _wait(self, version: int, timeout_s: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        entry = (version, waiter)
        self._waiters.append(entry)
        try:  # noqa: WPS501 - remove the waiter on cancellation too
            await asyncio.wait({waiter}, timeout=timeout_s)
        finally:
            self._waiters.remove(entry)


def is_in_force(views: Mapping[str, DomainView]) -> bool:
    """Return whether all nodes of reachable domains have a version in force.

    Args:
        views: state of each failure domain for the version, by name.
    """
    reachable = _list_reachable(views)
    return all(progress.active >= progress.nodes for progress in reachable)


def lags_domain(views: Mapping[str, DomainView]) -> bool:
    """Return whether no node of a reachable domain has a version in force.

    Args:
        views: state of each failure domain for the version, by name.
    """
    return any(not progress.active for progress in _list_reachable(views))


def _list_reachable(views: Mapping[str, DomainView]) -> list[Progress]:
    return [progress_of(view) for view in views.values() if view.acks]
