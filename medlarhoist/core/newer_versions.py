"""Newer versions: what members of a domain tell of versions not held here.

A version that is established at one node of a failure domain is established in
that domain for good. So a node that is told of a newer one may fetch it from
whoever has told it, whatever the tree does.
"""

from collections.abc import Collection
from typing import Final

MAX_VERSIONS: Final = 32
MAX_TELLERS: Final = 8


class NewerVersions:
    """The newer versions that a node was told of, and by whom.

    Times are seconds of the monotonic clock.
    """

    __slots__ = ('_told_at', '_tellers')

    def __init__(self) -> None:
        """Start without newer versions."""
        self._tellers: dict[str, int] = {}
        self._told_at: dict[int, float] = {}

    def record(
        self,
        version: int,
        teller: str,
        established: int,
        now: float,
    ) -> bool:
        """Record the established version of another member.

        Args:
            version: the version that is established there.
            teller: control address of that member.
            established: the version that is established at this node.
            now: present time.

        Returns:
            Whether it is newer than that of this node.
        """
        self._tellers.pop(teller, None)
        if version <= established:
            return False
        self._told_at.setdefault(version, now)
        while len(self._told_at) > MAX_VERSIONS:
            self._told_at.pop(max(self._told_at))
        self._tellers[teller] = version
        while len(self._tellers) > MAX_TELLERS:
            self._tellers.pop(next(iter(self._tellers)))
        return True

    def is_behind(self, established: int) -> bool:
        """Return whether this node was told of a version that it lacks."""
        return any(version > established for version in self._told_at)

    def seconds_behind(self, established: int, now: float) -> float:
        """Return the seconds since this node was first told of a newer version.

        Zero if it was not. Versions that it has reached are discarded.
        """
        self._told_at = {
            version: told_at
            for version, told_at in self._told_at.items()
            if version > established
        }
        return now - min(self._told_at.values(), default=now)

    def pop_teller(
        self,
        established: int,
        asked: Collection[str] = (),
    ) -> str:
        """Return the member to fetch from, and discard it.

        The one with the highest version comes first, and the latest of these.

        Args:
            established: the version that is established at this node.
            asked: members that are not asked again now.

        Returns:
            Its control address, empty if none is known to be newer.
        """
        newer = {
            teller: version
            for teller, version in reversed(self._tellers.items())
            if version > established and teller not in asked
        }
        if not newer:
            return ''
        teller = max(newer, key=newer.__getitem__)
        self._tellers.pop(teller)
        return teller
