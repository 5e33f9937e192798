"""Clamp: decides whether a node stops sending to a version by itself.

A clamp rests on the calls of one node only and needs no source. It lowers a
share to zero and stays until the share that it was set against has ended.
"""

from collections.abc import Iterable
from typing import Final

from medlarhoist.core.evidence import EvidenceRow, summarize
from medlarhoist.core.fault_detector import Finding, find_fault
from medlarhoist.core.snapshot import Share

CLAMP_FALSE_ALARMS: Final = 0.01
KEPT_WINDOWS: Final = 30


def find_clamp(
    share: Share,
    rows: Iterable[EvidenceRow],
    cold: frozenset[int],
) -> Finding | None:
    """Look for a fault of the new version in the calls of this node.

    Args:
        share: the split of the service.
        rows: what this node saw of the service.
        cold: windows in which new targets may be cold.
    """
    series = summarize(rows, share.old, share.new)
    return find_fault(series, cold, CLAMP_FALSE_ALARMS)


def is_same_share(left: Share, right: Share | None) -> bool:
    """Say whether two shares are steps of the same move of one version."""
    if right is None:
        return False
    return left.move == right.move and left.new == right.new
