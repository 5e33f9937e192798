"""Clamp: a node's own limit on the share of a new version.

The decision uses the calls of one node only and works while no source is
reachable. A clamp lowers the share to zero until the move of that version ends.
"""

from collections.abc import Iterable
from typing import Final

from medlarhoist.core.evidence import EvidenceRow, summarize
from medlarhoist.core.fault_detector import Finding, find_fault
from medlarhoist.core.snapshot import Share

FALSE_ALARM_PROBABILITY: Final = 0.01
KEPT_WINDOWS: Final = 30


def find_clamp(
    share: Share,
    rows: Iterable[EvidenceRow],
    cold: frozenset[int],
) -> Finding | None:
    """Return a fault of the new version that justifies a clamp, if any.

    Args:
        share: the split of the service between its old and new version.
        rows: evidence from the calls of this node to the service.
        cold: windows in which new targets may be warming up.

    Returns:
        The most significant fault, None if there is none.
    """
    series = summarize(rows, share.old, share.new)
    return find_fault(series, cold, FALSE_ALARM_PROBABILITY)


def is_same_share(left: Share, right: Share | None) -> bool:
    """Return whether two shares belong to the same move and new version."""
    if right is None:
        return False
    return left.move == right.move and left.new == right.new
