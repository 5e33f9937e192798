"""Quorum: what the replies of a majority prove to a leader."""

from collections.abc import Callable
from math import inf

from medlarhoist.consensus.log import last_index
from medlarhoist.consensus.replica import (
    LEASE_SECONDS,
    Progress,
    Replica,
    Role,
    is_counted,
    quorum_size,
)


def _quorum_value(
    replica: Replica,
    own: float,
    value_of: Callable[[Progress], float],
) -> float | None:
    """Return the greatest value that a majority has reached.

    None if fewer replicas than a majority are counted.

    Args:
        replica: the leader.
        own: the value of the leader itself.
        value_of: returns the value of a peer.
    """
    reached = [own]
    for name, progress in replica.progress.items():
        if is_counted(replica, name, progress.incarnation):
            reached.append(value_of(progress))
    reached.sort(reverse=True)
    size = quorum_size(replica)
    return reached[size - 1] if len(reached) >= size else None


def held_by_quorum(replica: Replica) -> int:
    """Return the index up to which a majority holds the leader's log.

    Zero if there is none.
    """
    own = last_index(replica.log)
    held = _quorum_value(replica, own, lambda progress: progress.held)
    return 0 if held is None else int(held)


def confirmed_round(replica: Replica) -> int:
    """Return the newest heartbeat round that a majority has replied to.

    Zero if there is none, or the replica is no leader. Leaders use it to
    confirm their leadership before a read.
    """
    if replica.role is not Role.LEADER:
        return 0
    replied = _quorum_value(
        replica,
        replica.round,
        lambda progress: progress.round,
    )
    return 0 if replied is None else int(replied)


def lease_start(replica: Replica, now: float) -> float:
    """Return the latest time when a majority still followed the leader.

    In seconds of the leader's monotonic clock; minus infinity if there is
    none.
    """
    start = _quorum_value(replica, now, lambda progress: progress.sent_at)
    return -inf if start is None else start


def has_lease(replica: Replica, now: float) -> bool:
    """Return whether the replica leads and no other can lead at this time.

    This is safe as long as the clocks of the replicas run at about the same
    rate: after a message of a leader, and after its start, a replica grants
    no vote within the election timeout, which is longer than the lease.
    """
    if replica.role is not Role.LEADER:
        return False
    if replica.commit < replica.start_index:
        return False
    return now < lease_start(replica, now) + LEASE_SECONDS
