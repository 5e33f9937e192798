"""Step: computes the next state of a replica from one event.

`step` is pure. Its caller must sync `write` before it sends `messages`, and
must drop both, and the new replica, if the write fails.
"""

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.consensus.bootstrap import (
    is_uninitialized,
    receive_probe,
    receive_probe_reply,
    tick_uninitialized,
)
from medlarhoist.consensus.election import (
    HandlerResult,
    become_follower,
    receive_vote_reply,
    receive_vote_request,
    tick_follower,
    tick_leader,
)
from medlarhoist.consensus.follower import (
    receive_append,
    receive_install_snapshot,
)
from medlarhoist.consensus.log import compact_log, new_suffix
from medlarhoist.consensus.message import (
    Append,
    AppendReply,
    Compact,
    ConfirmLeadership,
    Event,
    InstallSnapshot,
    Message,
    Probe,
    ProbeReply,
    Propose,
    Resign,
    Tick,
    Unwritable,
    VoteReply,
    VoteRequest,
)
from medlarhoist.consensus.record import (
    NO_REPLICA,
    Entry,
    HardState,
    LogSnapshot,
)
from medlarhoist.consensus.replacement import receive_unwritable
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
    send_heartbeat_round,
)

INCARNATION_RANGE = 1 << 62


class Write(Struct, frozen=True, kw_only=True):
    """What must be on the disk before the messages of a step are sent.

    Args:
        hard: the new hard state, None where the stored one suffices. A new
            commit index alone is stored only if the voting members changed.
        entries: entries to store at their index; they replace all entries
            from the first of them on.
        snapshot: a snapshot that replaces the log up to it, None for none.
    """

    hard: HardState | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: LogSnapshot | None = None


class Step(Struct, frozen=True, kw_only=True):
    """The result of one event.

    Args:
        replica: the next replica.
        write: what to sync before sending, None for nothing.
        messages: what to send once it is synced.
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
        random: returns numbers from zero up to one.
    """
    after, messages = _handle(replica, event, now, random)
    if after.role is Role.LEADER:
        after, appends = _replicate(after, replica, now)
        messages = (*messages, *appends)
    return Step(
        replica=after,
        write=_write_for(replica, after),
        messages=messages,
    )


def _replicate(after: Replica, before: Replica, now: float) -> HandlerResult:
    """Advance the commit index; send a heartbeat round if needed.

    It is sent at once for new entries, otherwise at each heartbeat interval.
    """
    after = advance_commit(after)
    has_new = after.log.entries is not before.log.entries
    has_new = has_new and bool(new_suffix(before.log, after.log))
    if has_new or now >= after.heartbeat_due:
        return send_heartbeat_round(after, now)
    return after, ()


def _handle(
    replica: Replica,
    event: Event,
    now: float,
    random: Random,
) -> HandlerResult:
    match event:
        case Tick():
            return _tick(replica, now, random)
        case Propose():
            return _propose(replica, event), ()
        case ConfirmLeadership():
            return replace(replica, heartbeat_due=now), ()
        case Resign():
            return become_follower(
                replica, replica.term, NO_REPLICA, now, random
            ), ()
        case Compact():
            return _compact(replica, event.snapshot), ()
        case _:
            return _receive(replica, event, now, random)


def _receive(
    replica: Replica,
    message: Message,
    now: float,
    random: Random,
) -> HandlerResult:
    if isinstance(message, Unwritable):
        return receive_unwritable(replica, message, now), ()
    match message:
        case VoteRequest():
            return receive_vote_request(replica, message, now, random)
        case VoteReply():
            return receive_vote_reply(replica, message, now, random)
        case Append():
            new = f'{int(random() * INCARNATION_RANGE):016x}'
            return receive_append(replica, message, now, random, new)
        case AppendReply():
            return receive_append_reply(replica, message, now, random)
        case InstallSnapshot():
            return receive_install_snapshot(replica, message, now, random)
        case Probe():
            return receive_probe(replica, message)
        case ProbeReply():
            return receive_probe_reply(replica, message, now, random)


def _tick(replica: Replica, now: float, random: Random) -> HandlerResult:
    if is_uninitialized(replica):
        return tick_uninitialized(replica, now, random)
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


def _write_for(before: Replica, after: Replica) -> Write | None:
    hard = hard_state(after)
    stored = hard_state(before)
    if after.voters == before.voters:
        stored = replace(stored, commit=hard.commit)
    snapshot = after.snapshot if after.snapshot != before.snapshot else None
    entries = new_suffix(before.log, after.log)
    if hard == stored and snapshot is None and not entries:
        return None
    return Write(
        hard=None if hard == stored else hard,
        entries=entries,
        snapshot=snapshot,
    )
