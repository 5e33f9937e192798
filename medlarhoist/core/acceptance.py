"""Acceptance: when versions were accepted, as a node has been told.

Whoever passes a version on says how long ago the leader of the sources
accepted it, so that no clocks have to agree. Transport is not counted: a
message that was held up makes a version look newer than it is.
"""

from typing import Final

MAX_VERSIONS: Final = 8
_MS_PER_SECOND: Final = 1000


class AcceptanceTimes:
    """When the newest versions were accepted, at most `MAX_VERSIONS`.

    Times are seconds of the monotonic clock of this process.
    """

    __slots__ = ('_accepted_at',)

    def __init__(self) -> None:
        """Start without versions."""
        self._accepted_at: dict[int, float] = {}

    def record(self, version: int, since_ms: int, now: float) -> None:
        """Record what a message says of a version; the earliest time counts.

        Args:
            version: the version.
            since_ms: milliseconds since its acceptance.
            now: present time.
        """
        accepted_at = now - since_ms / _MS_PER_SECOND
        earliest = min(accepted_at, self._accepted_at.get(version, accepted_at))
        self._accepted_at[version] = earliest
        while len(self._accepted_at) > MAX_VERSIONS:
            self._accepted_at.pop(min(self._accepted_at))

    def seconds_since(self, version: int, now: float) -> float:
        """Return the seconds since a version was accepted.

        Zero if this process has not been told of it.
        """
        return max(0, now - self._accepted_at.get(version, now))

    def ms_since(self, version: int, now: float) -> int:
        """Return the same in milliseconds, for a message."""
        return int(self.seconds_since(version, now) * _MS_PER_SECOND)
