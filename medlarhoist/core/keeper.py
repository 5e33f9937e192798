"""Keeper: decides what a keeper holds and which versions it establishes.

A keeper is a node that is a voting member of the quorum of its failure
domain. A version is established once a majority of the keepers hold it as
active. Safety rests on these rules:

- Whoever receives a version as active also receives the epoch that was
  current at the sources then, so a version accepted after an epoch began is
  never held by a keeper that has not received that epoch.
- A keeper is counted in an epoch only once it has recovered in it: it has
  read the active version from the leader of the sources. Its peers cannot
  restore it: what it reported to them before a restart may already be
  counted, while they themselves hold less.
- A set establishes versions only once a majority of the previous set has
  received the new epoch (the previous set is then fenced), so that a reader
  with the old set is referred to the new one.
"""

from msgspec import Struct, field
from msgspec.structs import replace

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.floor import FloorReply, epoch_of, is_counted, majority


class KeeperState(Struct, frozen=True, kw_only=True):
    """State of one node as a keeper; it is lost at a restart.

    Args:
        node: its name.
        keepers: newest keeper set of its domain that it has received.
        held: highest version that it holds as active.
        recovered: epoch in which it recovered, zero for none.
        fenced: members of the previous set that have reported the epoch of
            `keepers` or a later one.
        holders: versions reported by the other members in this epoch.
        established: highest version proved to be held by a majority.
    """

    node: str
    keepers: KeeperSet | None = None
    held: int = 0
    recovered: int = 0
    fenced: frozenset[str] = frozenset()
    holders: dict[str, int] = field(default_factory=dict)
    established: int = 0


def is_member(state: KeeperState) -> bool:
    """Return whether this node belongs to the newest set it has received."""
    return state.keepers is not None and state.node in state.keepers.members


def is_recovered(state: KeeperState) -> bool:
    """Return whether this keeper counts in the current epoch."""
    return is_member(state) and state.recovered == epoch_of(state.keepers)


def floor_reply(state: KeeperState) -> FloorReply:
    """Return the reply of this node to a floor query."""
    return FloorReply(
        node=state.node,
        held=state.held,
        recovered=state.recovered,
        keepers=state.keepers,
    )


def adopt_set(state: KeeperState, keepers: KeeperSet | None) -> KeeperState:
    """Return the state with a newer keeper set; older ones are ignored."""
    if keepers is None or keepers.epoch <= epoch_of(state.keepers):
        return state
    fenced = frozenset({state.node} & set(keepers.previous))
    return replace(state, keepers=keepers, fenced=fenced, holders={})


def hold_version(state: KeeperState, version: int) -> KeeperState:
    """Return the state with a version that the sources committed as active.

    A version lower than the one held changes nothing.
    """
    return replace(state, held=max(state.held, version))


def record_reply(state: KeeperState, reply: FloorReply) -> KeeperState:
    """Return the state after a reply of another process of the domain."""
    state = adopt_set(state, reply.keepers)
    keepers = state.keepers
    if keepers is None:
        return state
    fenced = state.fenced
    if epoch_of(reply.keepers) >= keepers.epoch:
        fenced = fenced | ({reply.node} & set(keepers.previous))
    holders = state.holders
    if is_counted(keepers, reply):
        holders = {**holders, reply.node: reply.held}
    return replace(state, fenced=fenced, holders=holders)


def recover_from_source(state: KeeperState, reply: FloorReply) -> KeeperState:
    """Return the state recovered from a reply of the leader of the sources.

    The leader reads the active version behind a barrier before it replies.
    A reply without `leads` restores nothing: the node may have taken its
    parent or a former leader for the leader.
    """
    state = adopt_set(state, reply.keepers)
    if not reply.leads:
        return state
    if epoch_of(reply.keepers) < epoch_of(state.keepers):
        return state
    held = max(state.held, reply.held)
    return replace(state, held=held, recovered=epoch_of(state.keepers))


def establish(state: KeeperState) -> KeeperState:
    """Raise the established version to what a majority holds.

    The state is unchanged while this keeper has not recovered, the previous
    set is not fenced, or fewer than a majority have reported.
    """
    keepers = state.keepers
    if keepers is None or not is_recovered(state) or not is_fenced(state):
        return state
    held = sorted((state.held, *state.holders.values()), reverse=True)
    needed = majority(len(keepers.members))
    if len(held) < needed:
        return state
    version = max(state.established, held[needed - 1])
    return replace(state, established=version)


def is_fenced(state: KeeperState) -> bool:
    """Return whether a majority of the previous set has the current epoch.

    True for a forced set and for the first set of a domain, which wait for
    no previous set.
    """
    keepers = state.keepers
    if keepers is None:
        return False
    if keepers.forced or not keepers.previous:
        return True
    return len(state.fenced) >= majority(len(keepers.previous))
