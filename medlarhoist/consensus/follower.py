"""Following: how a follower or a learner takes the leader's log.

Handlers take a replica and return the next one with the messages to send.
"""

from msgspec.structs import replace

from medlarhoist.consensus.election import Handled, follow
from medlarhoist.consensus.log import (
    compact_log,
    last_index,
    replace_suffix,
    term_at,
)
from medlarhoist.consensus.message import Append, AppendReply, Install
from medlarhoist.consensus.record import LogSnapshot
from medlarhoist.consensus.replica import Random, Replica, with_commit


def receive_append(
    replica: Replica,
    req: Append,
    now: float,
    random: Random,
    new_incarnation: str,
) -> Handled:
    """Take entries where the log agrees with the leader's before them."""
    if req.term < replica.term:
        return replica, (_reply(replica, req, accepted=False, index=0),)
    replica = _hear(replica, req, now, random)
    if _has_forgotten(replica, req):
        replica = replace(replica, incarnation=new_incarnation)
    if not _agrees(replica, req):
        hint = min(last_index(replica.log), max(req.previous_index - 1, 0))
        hint = max(hint, replica.commit)
        return replica, (_reply(replica, req, accepted=False, index=hint),)
    replica = replace(replica, log=replace_suffix(replica.log, req.entries))
    until = req.previous_index + len(req.entries)
    replica = with_commit(replica, min(req.commit, until))
    return replica, (_reply(replica, req, accepted=True, index=until),)


def receive_install(
    replica: Replica,
    req: Install,
    now: float,
    random: Random,
) -> Handled:
    """Take a snapshot in place of the log that it covers."""
    if req.term < replica.term:
        return replica, (_reply(replica, req, accepted=False, index=0),)
    replica = _hear(replica, req, now, random)
    if req.snapshot.index > replica.commit:
        replica = _with_snapshot(replica, req.snapshot)
    index = req.snapshot.index
    return replica, (_reply(replica, req, accepted=True, index=index),)


def _with_snapshot(replica: Replica, snapshot: LogSnapshot) -> Replica:
    return replace(
        replica,
        log=compact_log(replica.log, snapshot),
        snapshot=snapshot,
        commit=snapshot.index,
        voters=snapshot.voters,
        places=snapshot.places,
    )


def _hear(
    replica: Replica,
    req: Append | Install,
    now: float,
    random: Random,
) -> Replica:
    replica = follow(replica, req.term, req.sender, now, random)
    return replace(replica, heard_at=now)


def _has_forgotten(replica: Replica, req: Append) -> bool:
    """Say whether the disk has lost entries that it had acknowledged.

    Such a replica may no longer count, as others rely on what it lost; it
    goes on as a learner under another incarnation.
    """
    if req.held_by != replica.incarnation:
        return False
    return last_index(replica.log) < req.held


def _agrees(replica: Replica, req: Append) -> bool:
    if req.previous_index < replica.log.base_index:
        return True
    return term_at(replica.log, req.previous_index) == req.previous_term


def _reply(
    replica: Replica,
    req: Append | Install,
    *,
    accepted: bool,
    index: int,
) -> AppendReply:
    return AppendReply(
        sender=replica.name,
        receiver=req.sender,
        term=replica.term,
        accepted=accepted,
        index=index,
        incarnation=replica.incarnation,
        place=replica.place,
        round=req.round,
        sent_at=req.sent_at,
    )
