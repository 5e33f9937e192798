"""Keeper plan: decides which nodes are the keepers of a failure domain.

A keeper is a node that is a voting member of the quorum of its failure
domain. The leader of the sources assigns the keepers. A set changes only after
the current one is ready: a majority of its members have recovered in its epoch
and a majority of the previous set has received that epoch.

Where a majority of a set is unavailable while another node of the domain is
attached, a new set without the unavailable keepers is forced, since the domain
would otherwise receive no further version. This applies to small domains as
well, where a single node may be left. A forced set does not wait for the
previous one. Keepers whose process has ended need no fence: they count again
only once they have recovered from the leader. The cost is one case in which a
node can read a floor that is too low: the majority was not ended but
partitioned, and the node is partitioned together with it and then restarts.
"""

from collections.abc import Mapping
from itertools import islice
from typing import Final

from msgspec import Struct

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.floor import majority

# Longer than a keeper takes to reattach after its connection broke.
UNAVAILABLE_SECONDS: Final = 1.0
# Longer than a node takes to detect a new leader, or to receive the set that
# makes it a keeper, and to attach.
UNCONFIRMED_SECONDS: Final = 4.0


class KeeperView(Struct, frozen=True, kw_only=True):
    """What the leader of the sources observes of one keeper.

    Args:
        ready: epoch in which the keeper is ready, zero for none.
        silent_seconds: time since it was last attached, or since it was
            expected to attach if it has not been attached since.
        was_attached: whether it has been attached since it was expected.
    """

    ready: int
    silent_seconds: float
    was_attached: bool = True


def is_unavailable(view: KeeperView) -> bool:
    """Return whether a keeper counts as unavailable.

    A keeper that has not been attached since it was expected to gets more
    time than one that was disconnected.
    """
    limit = UNAVAILABLE_SECONDS if view.was_attached else UNCONFIRMED_SECONDS
    return view.silent_seconds > limit


def plan_keepers(
    domain: str,
    current: KeeperSet | None,
    wanted: int,
    candidates: Mapping[str, str],
    views: Mapping[str, KeeperView],
) -> KeeperSet | None:
    """Return the next keeper set, or None where nothing is to change.

    Args:
        domain: the failure domain.
        current: its current set, None for a new domain.
        wanted: number of keepers that it shall have.
        candidates: control addresses of live nodes by name, the most recent
            contact first.
        views: observations of the current keepers by name.
    """
    if current is None:
        return _bootstrap(domain, wanted, candidates)
    ready = _is_ready(current, views)
    if _have_addresses_changed(current, candidates):
        return _update_addresses(current, candidates, ready=ready)
    if not ready:
        return _force_set(current, wanted, candidates, views)
    members = _add_members(current.members, wanted, candidates)
    if members == current.members:
        members = _replace_unavailable(current.members, candidates, views)
    if members == current.members:
        return None
    return KeeperSet(
        domain=domain,
        epoch=current.epoch + 1,
        members=members,
        previous=current.members,
    )


def _bootstrap(
    domain: str,
    wanted: int,
    candidates: Mapping[str, str],
) -> KeeperSet | None:
    if not candidates:
        return None
    members = _add_members({}, wanted, candidates)
    return KeeperSet(domain=domain, epoch=1, members=members)


def _have_addresses_changed(
    current: KeeperSet, candidates: Mapping[str, str]
) -> bool:
    return any(
        candidates.get(name, address) != address
        for name, address in current.members.items()
    )


def _update_addresses(
    current: KeeperSet,
    candidates: Mapping[str, str],
    *,
    ready: bool,
) -> KeeperSet:
    """Return the same members at their new addresses.

    Where the current set was never ready, a majority of the set before it
    must still receive the epoch.
    """
    members = {
        name: candidates.get(name, address)
        for name, address in current.members.items()
    }
    return KeeperSet(
        domain=current.domain,
        epoch=current.epoch + 1,
        members=members,
        previous=current.members if ready else current.previous,
    )


def _force_set(
    current: KeeperSet,
    wanted: int,
    candidates: Mapping[str, str],
    views: Mapping[str, KeeperView],
) -> KeeperSet | None:
    """Return a set without the unavailable members.

    Its new members are among the `wanted` available candidates with the most
    recent contact. None where the unavailable members are no majority, or
    where no other candidate is live.
    """
    unavailable = {
        name
        for name in current.members
        if name in views and is_unavailable(views[name])
    }
    if len(unavailable) < majority(len(current.members)):
        return None
    available = {
        name: address
        for name, address in candidates.items()
        if name not in unavailable
    }
    if not available:
        return None
    remaining = {
        name: address
        for name, address in current.members.items()
        if name not in unavailable
    }
    return KeeperSet(
        domain=current.domain,
        epoch=current.epoch + 1,
        members=_add_members(
            remaining, wanted, dict(islice(available.items(), wanted))
        ),
        previous=current.members,
        forced=True,
    )


def _is_ready(
    current: KeeperSet,
    views: Mapping[str, KeeperView],
) -> bool:
    ready = [
        name
        for name in current.members
        if name in views and views[name].ready == current.epoch
    ]
    return len(ready) >= majority(len(current.members))


def _add_members(
    members: Mapping[str, str],
    wanted: int,
    candidates: Mapping[str, str],
) -> dict[str, str]:
    """Return the members and candidates, an odd number up to `wanted`."""
    unassigned = sorted(set(candidates) - set(members))
    size = min(wanted, len(members) + len(unassigned))
    odd_size = size if size % 2 else size - 1
    added = unassigned[: max(0, odd_size - len(members))]
    extended = dict(members)
    extended.update((name, candidates[name]) for name in added)
    return extended


def _replace_unavailable(
    members: Mapping[str, str],
    candidates: Mapping[str, str],
    views: Mapping[str, KeeperView],
) -> dict[str, str]:
    """Return the members with at most one unavailable keeper replaced.

    A keeper without a view counts as unavailable.
    """
    unassigned = sorted(set(candidates) - set(members))
    unavailable = [
        name
        for name in sorted(members)
        if name not in views or is_unavailable(views[name])
    ]
    replaced = dict(members)
    if unassigned and unavailable:
        replaced.pop(unavailable[0])
        replaced[unassigned[0]] = candidates[unassigned[0]]
    return replaced
