"""Floor: the lowest configuration version that a node may serve.

A version is put in force only after a majority of the domain's keepers hold
it as active. Hence the highest version that any majority reports is at least
what a restarted node served before. A keeper is a node that is a voting member
of the quorum of its failure domain.
"""

from collections.abc import Iterable

from msgspec import Struct

from medlarhoist.core.command import KeeperSet


class FloorReply(Struct, frozen=True, kw_only=True):
    """The versions that a keeper, or the leader of the sources, reports.

    Args:
        node: name of the replying process.
        held: highest version that it holds as active.
        recovered: epoch in which it has recovered its floor, zero for none.
        keepers: newest keeper set of the domain that it has received.
        leads: whether it leads the sources and has read behind a barrier.
    """

    node: str
    held: int
    recovered: int
    keepers: KeeperSet | None
    leads: bool = False


def majority(count: int) -> int:
    """Return how many of `count` members are a majority."""
    return count // 2 + 1


def epoch_of(keepers: KeeperSet | None) -> int:
    """Return the epoch of a keeper set, zero for None.

    The epoch numbers the keeper sets of a domain in order.
    """
    return keepers.epoch if keepers else 0


def newest_set(
    current: KeeperSet | None,
    replies: Iterable[FloorReply],
) -> KeeperSet | None:
    """Return the keeper set with the highest epoch.

    Args:
        current: the set that the caller holds, None for none.
        replies: replies that may contain newer sets.

    Returns:
        `current` unless a reply has a higher epoch; None where there is no
        set at all.
    """
    newest = current
    for reply in replies:
        if epoch_of(reply.keepers) > epoch_of(newest):
            newest = reply.keepers
    return newest


def read_floor(
    keepers: KeeperSet,
    replies: Iterable[FloorReply],
) -> int | None:
    """Return the floor that a majority of the keepers proves.

    Args:
        keepers: the newest set that the reader holds.
        replies: at most one reply of each process.

    Returns:
        The floor, or None where no majority replied or where a reply
        contains a newer set; the reader then asks that set.
    """
    counted = []
    for reply in replies:
        if epoch_of(reply.keepers) > keepers.epoch:
            return None
        if is_counted(keepers, reply):
            counted.append(reply.held)
    if len(counted) < majority(len(keepers.members)):
        return None
    return max(counted)


def is_counted(keepers: KeeperSet, reply: FloorReply) -> bool:
    """Return whether a reply counts towards a majority of a keeper set.

    It counts if its sender is a member of the set, holds the same epoch and
    has recovered in it.
    """
    if reply.node not in keepers.members:
        return False
    if epoch_of(reply.keepers) != keepers.epoch:
        return False
    return reply.recovered == keepers.epoch
