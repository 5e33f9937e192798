"""Account usage: what processes report of accounts, and assign to each other.

Each node counts the requests of the accounts with a rate. Counts are summed
up the distribution tree to the leader of the sources, which compares them
with the limits (core.account_control) and assigns shares of the rates down
the tree (core.account_subtree).

Times are seconds of a clock that goes on while a machine is suspended.
"""

import math
from collections.abc import Mapping
from typing import Annotated, Final

from msgspec import Meta, Struct

# Time over which the pace of a node that falls silent is averaged.
PACE_S: Final = 5.0
# A silent node goes on at its pace and a margin, as arrivals vary.
PACE_MARGIN: Final = 1.25
# The pace of a silent node is halved each such time, here and at the node.
PACE_HALF_LIFE_S: Final = 60.0
# A child that has just attached may still have to report its demand.
SETTLE_S: Final = 0.7
# What came in while no report was sent for longer was presumed by the parent,
# and says little of the present demand.
MAX_REPORTED_S: Final = 1.5
_Count = Annotated[int, Meta(ge=0)]


class UsageRow(Struct, frozen=True, array_like=True):
    """Requests of an account since the last report.

    Args:
        account: name of the account.
        admitted: requests that were admitted.
        offered: requests that came in, admitted or not.
    """

    account: str
    admitted: _Count
    offered: _Count


class ShareRow(Struct, frozen=True, array_like=True):
    """The share of an account's limit that a process may use.

    Args:
        account: name of the account.
        share: fraction of its rate; None if its rate needs no division.
    """

    account: str
    share: Annotated[float, Meta(ge=0)] | None


class DecayingRate:
    """Events per second, averaged with exponentially decaying weights."""

    __slots__ = ('_at', '_sum', '_time_s')

    def __init__(self, time_s: float, now: float) -> None:
        """Start without events.

        Args:
            time_s: time constant of the average.
            now: present time.
        """
        self._time_s = time_s
        self._at = now
        self._sum = float()

    def add(self, count: float, now: float) -> None:
        """Count events that happened now."""
        self._sum = self._decayed(now) + count
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the average."""
        return self._decayed(now) / self._time_s

    def _decayed(self, now: float) -> float:
        elapsed_s = max(0, now - self._at)
        return self._sum * math.exp(-elapsed_s / self._time_s)


class SharesUpdate(Struct, frozen=True):
    """Shares for one child that have changed.

    Args:
        rows: the shares.
        is_complete: whether shares of accounts that are not listed end.
    """

    rows: tuple[ShareRow, ...]
    is_complete: bool

    def apply(self, shares: Mapping[str, float]) -> dict[str, float]:
        """Return the shares of the child after this change of its shares."""
        kept = {} if self.is_complete else dict(shares)
        for row in self.rows:
            if row.share is None:
                kept.pop(row.account, None)
            else:
                kept[row.account] = row.share
        return kept


def part_to_report(elapsed_s: float) -> float:
    """Return which part of its counts a process reports.

    Args:
        elapsed_s: seconds since its last report.
    """
    return MAX_REPORTED_S / max(elapsed_s, MAX_REPORTED_S)
