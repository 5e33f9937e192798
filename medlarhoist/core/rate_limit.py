"""Rate limit: admits the requests per second that a target accepts.

The generic cell rate algorithm: a target that was idle accepts a short burst,
and otherwise one request each 1 / rate seconds. Its node admits all calls to
it, so the limit binds for all callers together.
"""

from typing import Final

# Callers' requests come in clusters. A burst of half a second is less than a
# target that names its rate per second can tell from a steady load.
BURST_S: Final = 0.5


class RateLimiter:
    """Spaces the requests to one target. Times are monotonic clock seconds.

    Args:
        rate: requests per second, zero for no limit.
    """

    __slots__ = ('_free_at', 'rate')

    def __init__(self) -> None:
        """Start without a limit."""
        self.rate = float()
        self._free_at = float()

    def set_rate(self, rate: float, now: float) -> None:
        """Set the limit; a new one starts without a burst.

        Args:
            rate: requests per second, zero for no limit.
            now: present time.
        """
        if rate and not self.rate:
            self._free_at = now + 1 / rate
        self.rate = rate

    def delay_s(self, now: float) -> float:
        """Return the seconds until the next request is admitted, or zero."""
        return max(0, self._free_at - now) if self.rate else 0

    def take(self, now: float) -> None:
        """Record a request that is admitted now."""
        if self.rate:
            earliest = max(self._free_at, now - BURST_S)
            self._free_at = earliest + 1 / self.rate
