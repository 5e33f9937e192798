"""Ledger report: the state of a source's replica in the dump."""

from msgspec import Struct

from medlarhoist.consensus.log import last_index
from medlarhoist.consensus.replica import Replica, pending_admission


class LedgerReport(Struct, frozen=True, kw_only=True):
    """State of a replica, as the dump shows it.

    Args:
        role: follower, trial (collects pre-votes), candidate, leader or
            stopped.
        term: highest term received.
        leader: name of the leader of the term, empty if it is unknown.
        has_lease: whether it leads and its lease is valid.
        incarnation: identity of its data folder, empty for that of an initial
            member.
        voters: incarnation of each voting member, by name.
        admitting: name of the replica whose admission is not committed yet,
            empty for none.
        commit: index up to which the log is committed.
        applied: index up to which the log is applied to the state.
        last_index: index of the last entry.
        snapshot_index: last index that the snapshot covers.
        waiting: number of callers that wait for a command or a read.
        held: index up to which each peer has acknowledged the log, by name;
            empty unless this replica leads.
        links: whether the last batch of messages reached each peer, by name.
        fault: why the last write failed or the replica halted, empty if
            neither applies.
    """

    role: str = 'stopped'
    term: int = 0
    leader: str = ''
    has_lease: bool = False
    incarnation: str = ''
    voters: dict[str, str] = {}
    admitting: str = ''
    commit: int = 0
    applied: int = 0
    last_index: int = 0
    snapshot_index: int = 0
    waiting: int = 0
    held: dict[str, int] = {}
    links: dict[str, bool] = {}
    fault: str = ''


def report_replica(
    replica: Replica,
    *,
    has_lease: bool,
    applied: int,
    waiting: int,
    links: dict[str, bool],
    fault: str,
) -> LedgerReport:
    """Return the report of a running replica.

    Args:
        replica: the replica.
        has_lease: whether it leads and its lease is valid.
        applied: index up to which the log is applied to the state.
        waiting: number of callers that wait for a command or a read.
        links: whether the last batch of messages reached each peer, by name.
        fault: why the last write failed, empty if it did not.
    """
    return LedgerReport(
        role=str(replica.role),
        term=replica.term,
        leader=replica.leader,
        has_lease=has_lease,
        incarnation=replica.incarnation,
        voters=replica.voters,
        admitting=pending_admission(replica) or '',
        commit=replica.commit,
        applied=applied,
        last_index=last_index(replica.log),
        snapshot_index=replica.log.base_index,
        waiting=waiting,
        held={
            peer: progress.held for peer, progress in replica.progress.items()
        },
        links=links,
        fault=fault,
    )
