"""Reset limit: how much a target that resets connections when full can run."""

from typing import Final

# Time after which one request more is tried.
RECOVERY_S: Final = 0.5


class ResetLimit:
    """The requests that a target could run when it last reset a connection."""

    __slots__ = ('_limit', '_reset_at')

    def __init__(self) -> None:
        """Start without a limit."""
        self._limit = 0
        self._reset_at = float()

    def record_reset(self, others: int, now: float) -> None:
        """Record that the target was full.

        Args:
            others: requests in progress beside the one that was reset.
            now: seconds of the monotonic clock.
        """
        self._limit = max(1, others)
        self._reset_at = now

    def clear(self) -> None:
        """Remove the limit, as another run of the target has begun."""
        self._limit = 0

    def restrict(self, slots: int, now: float) -> int:
        """Return how many slots to use, at most those that are announced.

        Args:
            slots: number of announced slots.
            now: seconds of the monotonic clock.
        """
        if not self._limit:
            return slots
        limit = self._limit + int((now - self._reset_at) / RECOVERY_S)
        if limit >= slots:
            self._limit = 0
        return min(limit, slots)
