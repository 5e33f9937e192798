"""In force: lets requests wait until nodes route by a version.

A version is in force on a node that routes by it. A change is confirmed to
an operator once it is in force on every node that the leader reaches. The
wait is bounded, as a node may become unavailable meanwhile; nodes that return
later get the version with their floor (the lowest version that they may
serve). The bound counts from when nodes began to lag, so that a request that
an operator repeats after a slow response gets its response soon.
"""

import asyncio
from collections.abc import Mapping
from math import inf
from typing import Final

from medlarhoist.source.distributor_plan import DomainView, progress_of

# Together with STAGE_TIMEOUT_SECONDS less than operators wait for a response.
MAX_LAG_SECONDS: Final = 1.5
_Waiter = tuple[int, asyncio.Future[None]]


class InForceVersion:
    """The newest version that every attached node has in force."""

    __slots__ = ('_lagging_since', '_version', '_waiters')

    def __init__(self) -> None:
        """Start without a version."""
        self._lagging_since: float = inf
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
        self._version = version
        for awaited, waiter in self._waiters:
            if awaited <= version and not waiter.done():
                waiter.set_result(None)

    def record_lag(self) -> None:
        """Record that some nodes do not have the active version in force.

        The first call since the last record() starts the bound of the wait.
        """
        now = asyncio.get_running_loop().time()
        self._lagging_since = min(self._lagging_since, now)

    async def wait_for(self, version: int) -> bool:
        """Wait until a version is in force.

        The wait ends MAX_LAG_SECONDS after nodes began to lag, or after its
        own start if none was recorded to lag then.

        Returns:
            Whether the version was in force in time.
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
        try:  # noqa: WPS501 - remove the waiter on cancellation too
            done, _ = await asyncio.wait({waiter}, timeout=timeout_s)
        finally:
            self._waiters.remove(entry)
        return bool(done)


def is_in_force(views: Mapping[str, DomainView]) -> bool:
    """Return whether all nodes of reachable domains have a version in force.

    Args:
        views: state of each failure domain for the version, by name.
    """
    reachable = [progress_of(view) for view in views.values() if view.acks]
    return all(progress.active >= progress.nodes for progress in reachable)
