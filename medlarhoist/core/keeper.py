"""Keeper: decides what one keeper holds and which versions it establishes.

Safety rests on these rules:

- Whoever learns that a version is active learns the epoch that was current
  at the sources then, so a version accepted after an epoch began is never
  held by a keeper that has not heard of that epoch.
- A keeper is counted in an epoch only once it has recovered in it: it has
  read the active version from the leader of the sources. Its peers cannot
  restore it: what it told them before a restart may already be counted, while
  they themselves hold less.
- A set establishes versions only once a majority of the set before it knows
  the new epoch, so that a reader with the old set is told of the new one.
"""

from msgspec import Struct, field
from msgspec.structs import replace

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.floor import FloorReply, epoch_of, is_counted, majority


class KeeperState(Struct, frozen=True, kw_only=True):
    """What one keeper knows.

    Args:
        node: its name.
        keepers: newest keeper set of its domain that it knows.
        held: highest version that it holds as active.
        recovered: epoch in which it recovered, zero for none.
        fenced: members of the previous set known to have heard of the epoch.
        holders: versions held by the other members in this epoch.
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
    """Say whether this node belongs to the newest set that it knows."""
    return state.keepers is not None and state.node in state.keepers.members


def is_recovered(state: KeeperState) -> bool:
    """Say whether this keeper counts in the current epoch."""
    return is_member(state) and state.recovered == epoch_of(state.keepers)


def floor_reply(state: KeeperState) -> FloorReply:
    """Return what this node tells when asked."""
    return FloorReply(
        node=state.node,
        held=state.held,
        recovered=state.recovered,
        keepers=state.keepers,
    )


def adopt_set(state: KeeperState, keepers: KeeperSet | None) -> KeeperState:
    """Take over a newer keeper set; older ones are ignored."""
    if keepers is None or keepers.epoch <= epoch_of(state.keepers):
        return state
    fenced = frozenset({state.node} & set(keepers.previous))
    return replace(state, keepers=keepers, fenced=fenced, holders={})


def hold_version(state: KeeperState, version: int) -> KeeperState:
    """Hold a version that the sources committed as active."""
    return replace(state, held=max(state.held, version))


def record_reply(state: KeeperState, answer: FloorReply) -> KeeperState:
    """Take the answer of another process of the domain into account."""
    state = adopt_set(state, answer.keepers)
    keepers = state.keepers
    if keepers is None:
        return state
    fenced = state.fenced
    if epoch_of(answer.keepers) >= keepers.epoch:
        fenced = fenced | ({answer.node} & set(keepers.previous))
    holders = state.holders
    if is_counted(keepers, answer):
        holders = {**holders, answer.node: answer.held}
    return replace(state, fenced=fenced, holders=holders)


def recover_from_source(state: KeeperState, answer: FloorReply) -> KeeperState:
    """Recover by what the leader of the sources read behind a barrier.

    An answer of any other process restores nothing: a node may take one for
    the leader that is its parent, or that led before.
    """
    state = adopt_set(state, answer.keepers)
    if not answer.leads:
        return state
    if epoch_of(answer.keepers) < epoch_of(state.keepers):
        return state
    held = max(state.held, answer.held)
    return replace(state, held=held, recovered=epoch_of(state.keepers))


def establish(state: KeeperState) -> KeeperState:
    """Raise the established version to what a majority holds."""
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
    """Say whether a majority of the previous set knows the epoch."""
    keepers = state.keepers
    if keepers is None:
        return False
    if keepers.forced or not keepers.previous:
        return True
    return len(state.fenced) >= majority(len(keepers.previous))
