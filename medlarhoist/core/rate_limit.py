"""Rate limit: admits the requests per second that a target accepts.

The generic cell rate algorithm: a target that was idle accepts a short burst,
and otherwise one request each 1 / rate seconds. Its node admits all calls to
it, so the limit binds for all callers together.
"""

from typing import Final

# Callers' requests come in clusters. A burst of half a second is less than a
# target that names its rate per second can tell from a steady load.
BURST_S: Final = 0.5
# Reported where the time that a target has stated is over, but not its limit.
MIN_COLD_S: Final = 0.1


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


class TargetLimiter:
    """The limit that a target states, and the one that it has while cold.

    Each has its own turns; a request is admitted when it has both.
    """

    __slots__ = ('_cold', '_cold_until', '_stated')

    def __init__(self) -> None:
        """Start without limits."""
        self._cold = RateLimiter()
        self._cold_until = float()
        self._stated = RateLimiter()

    @property
    def rate(self) -> float:
        """Return the lower limit, requests per second; zero for none."""
        rates = (self._stated.rate, self._cold.rate)
        return min(filter(None, rates), default=0)

    def set_stated(self, rate: float, now: float) -> bool:
        """Set the limit that the target states, zero for none.

        Returns:
            Whether that begins or ends a limit.
        """
        is_change = bool(rate) != bool(self._stated.rate)
        self._stated.set_rate(rate, now)
        return is_change

    def set_cold(self, rate: float, cold_s: float, now: float) -> None:
        """Set the limit of a cold target.

        Args:
            rate: requests per second, zero once it is warm.
            cold_s: for how much longer it is cold, seconds.
            now: present time.
        """
        self._cold.set_rate(rate, now)
        self._cold_until = now + cold_s

    def cold_seconds(self, now: float) -> float:
        """Return for how much longer the target is limited as a cold one.

        Zero if it is not; MIN_COLD_S at the least where it is.
        """
        if not self._cold.rate:
            return 0
        return max(MIN_COLD_S, self._cold_until - now)

    def delay_s(self, now: float) -> float:
        """Return the seconds until the next request is admitted, or zero."""
        return max(self._stated.delay_s(now), self._cold.delay_s(now))

    def take(self, now: float) -> None:
        """Record a request that is admitted now."""
        self._stated.take(now)
        self._cold.take(now)
