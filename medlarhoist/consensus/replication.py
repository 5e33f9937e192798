"""Replication: how a leader sends its log to the other replicas.

Handlers take a replica and return the next one with the messages to send.
"""

from math import inf
from typing import Final

from msgspec.structs import replace

from medlarhoist.consensus.election import HandlerResult, become_follower
from medlarhoist.consensus.log import (
    entries_between,
    last_index,
    term_at,
)
from medlarhoist.consensus.message import (
    Append,
    AppendReply,
    InstallSnapshot,
    Message,
)
from medlarhoist.consensus.quorum import held_by_quorum
from medlarhoist.consensus.record import (
    NO_REPLICA,
    Admission,
    Entry,
    EntryKind,
)
from medlarhoist.consensus.replica import (
    HEARTBEAT_INTERVAL_SECONDS,
    Progress,
    Random,
    Replica,
    Role,
    pending_admission,
    with_commit,
)
from medlarhoist.wire.codec import encode

MAX_ENTRIES_PER_MESSAGE: Final = 64


def append_commands(replica: Replica, bodies: tuple[bytes, ...]) -> Replica:
    """Return the leader with commands appended to its log."""
    return _append(replica, EntryKind.COMMAND, bodies)


def send_heartbeat_round(replica: Replica, now: float) -> HandlerResult:
    """Start a heartbeat round, which sends each peer the entries it lacks."""
    replica = replace(
        replica,
        round=replica.round + 1,
        heartbeat_due=now + HEARTBEAT_INTERVAL_SECONDS,
    )
    messages: tuple[Message, ...] = ()
    for peer in replica.peers:
        replica, message = _send_entries(replica, peer, now)
        messages = (*messages, message)
    return replica, messages


def advance_commit(replica: Replica) -> Replica:
    """Commit the entries that a majority holds.

    Only if the last of them is of the leader's term: a later leader could
    still replace an entry of an earlier term that a majority holds.
    """
    held = held_by_quorum(replica)
    if term_at(replica.log, held) != replica.term:
        return replica
    return with_commit(replica, held)


def receive_append_reply(
    replica: Replica,
    reply: AppendReply,
    now: float,
    random: Random,
) -> HandlerResult:
    """Record what a peer holds; send it more where it lacks entries."""
    if reply.term > replica.term:
        return become_follower(replica, reply.term, NO_REPLICA, now, random), ()
    if replica.role is not Role.LEADER or reply.term < replica.term:
        return replica, ()
    progress = _updated_progress(replica.progress[reply.sender], reply)
    replica = _with_progress(replica, reply.sender, progress)
    replica = advance_commit(_append_admission(replica, reply.sender))
    progress = replica.progress[reply.sender]
    is_behind = progress.next_index <= last_index(replica.log)
    if reply.accepted and not is_behind:
        return replica, ()
    replica, message = _send_entries(replica, reply.sender, now)
    return replica, (message,)


def _append(
    replica: Replica,
    kind: EntryKind,
    bodies: tuple[bytes, ...],
) -> Replica:
    first = last_index(replica.log) + 1
    added = tuple(
        Entry(index=first + offset, term=replica.term, kind=kind, body=body)
        for offset, body in enumerate(bodies)
    )
    log = replica.log
    return replace(
        replica,
        log=replace(log, entries=(*log.entries, *added)),
    )


def _updated_progress(progress: Progress, reply: AppendReply) -> Progress:
    """Return the progress after a reply; a new data folder holds no entry."""
    if reply.incarnation != progress.incarnation:
        progress = Progress(
            next_index=progress.next_index,
            incarnation=reply.incarnation,
            endpoint=reply.endpoint,
        )
    progress = replace(
        progress,
        round=max(progress.round, reply.round),
        sent_at=max(progress.sent_at, reply.sent_at),
    )
    if not reply.accepted:
        next_index = max(progress.held, reply.index) + 1
        return replace(progress, next_index=next_index)
    return replace(
        progress,
        held=max(progress.held, reply.index),
        next_index=max(progress.next_index, reply.index + 1),
        unwritable_since=inf,
    )


def _append_admission(replica: Replica, peer: str) -> Replica:
    """Append the admission of a peer's new data folder that has caught up.

    There is one admission at a time. The leader must have committed an entry
    of its term, so that it is certain to hold all that was ever committed.
    """
    progress = replica.progress[peer]
    if progress.incarnation == replica.voters[peer]:
        return replica
    if replica.commit < replica.start_index:
        return replica
    if progress.held < last_index(replica.log):
        return replica
    if pending_admission(replica) is not None:
        return replica
    admission = Admission(
        name=peer,
        incarnation=progress.incarnation,
        endpoint=progress.endpoint,
    )
    return _append(replica, EntryKind.ADMIT, (encode(admission),))


def _send_entries(
    replica: Replica, peer: str, now: float
) -> tuple[Replica, Message]:
    progress = replica.progress[peer]
    previous = progress.next_index - 1
    previous_term = term_at(replica.log, previous)
    if previous_term is None:
        return _send_snapshot(replica, peer, now)
    until = min(previous + MAX_ENTRIES_PER_MESSAGE, last_index(replica.log))
    message = Append(
        sender=replica.name,
        receiver=peer,
        term=replica.term,
        previous_index=previous,
        previous_term=previous_term,
        entries=entries_between(replica.log, previous, until),
        commit=replica.commit,
        held=progress.held,
        held_by=progress.incarnation,
        round=replica.round,
        sent_at=now,
    )
    progress = replace(progress, next_index=until + 1)
    return _with_progress(replica, peer, progress), message


def _send_snapshot(
    replica: Replica,
    peer: str,
    now: float,
) -> tuple[Replica, Message]:
    snapshot = replica.snapshot
    if snapshot is None:
        raise AssertionError('the log is compacted, but there is no snapshot')
    message = InstallSnapshot(
        sender=replica.name,
        receiver=peer,
        term=replica.term,
        snapshot=snapshot,
        round=replica.round,
        sent_at=now,
    )
    progress = replace(
        replica.progress[peer],
        next_index=snapshot.index + 1,
    )
    return _with_progress(replica, peer, progress), message


def _with_progress(
    replica: Replica,
    peer: str,
    progress: Progress,
) -> Replica:
    return replace(replica, progress={**replica.progress, peer: progress})
