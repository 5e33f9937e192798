"""Step: one event turns a replica into the next one.

`step` is pure. Its caller must sync `write` before it sends `messages`, and
must drop both, and the new replica, if the disk refuses.
"""

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.consensus.bootstrap import (
    is_blank,
    receive_probe,
    receive_probe_reply,
    tick_blank,
)
from medlarhoist.consensus.election import (
    Handled,
    follow,
    receive_vote,
    receive_vote_reply,
    tick_follower,
    tick_leader,
)
from medlarhoist.consensus.follower import receive_append, receive_install
from medlarhoist.consensus.log import compact_log, new_suffix
from medlarhoist.consensus.message import (
    Append,
    AppendReply,
    Compact,
    ConfirmLeadership,
    Event,
    Install,
    Message,
    Probe,
    ProbeReply,
    Propose,
    Resign,
    Tick,
    Vote,
    VoteReply,
)
from medlarhoist.consensus.record import (
    NOBODY,
    Entry,
    HardState,
    LogSnapshot,
)
from medlarhoist.consensus.replica import (
    Random,
    Replica,
    Role,
    hard_state,
)
from medlarhoist.consensus.replication import (
    advance_commit,
    append_commands,
    receive_append_reply,
    send_round,
)

INCARNATION_RANGE = 1 << 62


class Write(Struct, frozen=True, kw_only=True):
    """What must be on the disk before the messages of a step leave.

    Args:
        hard: the hard state, None where it may stay as it is.
        entries: entries to put at their index, in place of all from there on.
        snapshot: a snapshot to put in place of the log up to it.
    """

    hard: HardState | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: LogSnapshot | None = None


class Step(Struct, frozen=True, kw_only=True):
    """The result of one event.

    Args:
        replica: the next replica.
        write: what to sync first, None for nothing.
        messages: what to send then.
    """

    replica: Replica
    write: Write | None
    messages: tuple[Message, ...]


def step(replica: Replica, event: Event, now: float, random: Random) -> Step:
    """Handle one event.

    Args:
        replica: the state before.
        event: a message, a request of this process, or the passing of time.
        now: seconds of a monotonic clock.
        random: returns numbers from zero to one.
    """
    after, messages = _handle(replica, event, now, random)
    if after.role is Role.LEADER:
        after, rounds = _lead(after, replica, now)
        messages = (*messages, *rounds)
    return Step(
        replica=after,
        write=_write_between(replica, after),
        messages=messages,
    )


def _lead(after: Replica, before: Replica, now: float) -> Handled:
    """Commit what may be, and send a round where there is something new."""
    after = advance_commit(after)
    has_new = after.log.entries is not before.log.entries
    has_new = has_new and bool(new_suffix(before.log, after.log))
    if has_new or now >= after.heartbeat_due:
        return send_round(after, now)
    return after, ()


def _handle(
    replica: Replica,
    event: Event,
    now: float,
    random: Random,
) -> Handled:
    match event:
        case Tick():
            return _tick(replica, now, random)
        case Propose():
            return _propose(replica, event), ()
        case ConfirmLeadership():
            return replace(replica, heartbeat_due=now), ()
        case Resign():
            return follow(replica, replica.term, NOBODY, now, random), ()
        case Compact():
            return _compact(replica, event.snapshot), ()
        case _:
            return _receive(replica, event, now, random)


def _receive(
    replica: Replica,
    message: Message,
    now: float,
    random: Random,
) -> Handled:
    match message:
        case Vote():
            return receive_vote(replica, message, now, random)
        case VoteReply():
            return receive_vote_reply(replica, message, now, random)
        case Append():
            new = f'{int(random() * INCARNATION_RANGE):016x}'
            return receive_append(replica, message, now, random, new)
        case AppendReply():
            return receive_append_reply(replica, message, now, random)
        case Install():
            return receive_install(replica, message, now, random)
        case Probe():
            return receive_probe(replica, message)
        case ProbeReply():
            return receive_probe_reply(replica, message, now, random)


def _tick(replica: Replica, now: float, random: Random) -> Handled:
    if is_blank(replica):
        return tick_blank(replica, now, random)
    if replica.role is Role.LEADER:
        return tick_leader(replica, now, random), ()
    return tick_follower(replica, now, random)


def _propose(replica: Replica, event: Propose) -> Replica:
    if replica.role is not Role.LEADER:
        return replica
    return append_commands(replica, event.bodies)


def _compact(replica: Replica, snapshot: LogSnapshot) -> Replica:
    if snapshot.index <= replica.log.base_index:
        return replica
    log = compact_log(replica.log, snapshot)
    return replace(replica, log=log, snapshot=snapshot)


def _write_between(before: Replica, after: Replica) -> Write | None:
    hard = hard_state(after)
    known = hard_state(before)
    if after.voters == before.voters:
        known = replace(known, commit=hard.commit)
    snapshot = after.snapshot if after.snapshot != before.snapshot else None
    entries = new_suffix(before.log, after.log)
    if hard == known and snapshot is None and not entries:
        return None
    return Write(
        hard=None if hard == known else hard,
        entries=entries,
        snapshot=snapshot,
    )
