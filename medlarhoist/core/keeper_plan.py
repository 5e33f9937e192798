"""Keeper plan: decides which nodes are the keepers of a failure domain.

A set changes only after the present one is ready: its live members have
recovered in its epoch and a majority of the set before knows the epoch.

Where a majority of a set is gone while another node of the domain is there,
the missing ones count as lost and a new set is forced, since their domain
would get no further version. That goes for small domains as well, where one
node may be all that is left. A forced set does not wait for the one before.
Keepers whose process has ended are fenced by that: they count again only once
they have recovered from the leader. The price is one case in which a node can
be told of an older version: it is cut off together with that majority, which
was not ended but cut off too, and is then restarted.
"""

from collections.abc import Mapping
from itertools import islice
from typing import Final

from msgspec import Struct

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.floor import majority

# Longer than a keeper takes to attach again after its connection broke.
UNAVAILABLE_SECONDS: Final = 1.0
# Longer than a keeper takes to notice a new leader, or that it is a keeper,
# and to attach.
UNCONFIRMED_SECONDS: Final = 4.0


class KeeperView(Struct, frozen=True, kw_only=True):
    """What the leader sees of one keeper.

    Args:
        ready: epoch in which the keeper is ready, zero for none.
        silent_seconds: time since it was last attached, or since it was
            expected to attach.
        was_attached: whether it was attached since it was expected.
    """

    ready: int
    silent_seconds: float
    was_attached: bool = True


def is_unavailable(view: KeeperView) -> bool:
    """Say whether a keeper is not expected to attach again soon."""
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
        current: its present set.
        wanted: keepers that it shall have.
        candidates: control addresses of live nodes by name, those heard of
            last first.
        views: what the leader sees of the present keepers.
    """
    if current is None:
        return _found(domain, wanted, candidates)
    ready = _is_ready(current, views)
    if _moved(current, candidates):
        return _follow(current, candidates, ready=ready)
    if not ready:
        return _force(current, wanted, candidates, views)
    members = _grow(current.members, wanted, candidates)
    if members == current.members:
        members = _replace_one(current.members, candidates, views)
    if members == current.members:
        return None
    return KeeperSet(
        domain=domain,
        epoch=current.epoch + 1,
        members=members,
        previous=current.members,
    )


def _found(
    domain: str,
    wanted: int,
    candidates: Mapping[str, str],
) -> KeeperSet | None:
    if not candidates:
        return None
    members = _grow({}, wanted, candidates)
    return KeeperSet(domain=domain, epoch=1, members=members)


def _moved(current: KeeperSet, candidates: Mapping[str, str]) -> bool:
    return any(
        candidates.get(name, address) != address
        for name, address in current.members.items()
    )


def _follow(
    current: KeeperSet,
    candidates: Mapping[str, str],
    *,
    ready: bool,
) -> KeeperSet:
    """Return the same members at their new addresses.

    Where the present set was never ready, the one before it is still the
    one whose majority must know the epoch.
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


def _force(
    current: KeeperSet,
    wanted: int,
    candidates: Mapping[str, str],
    views: Mapping[str, KeeperView],
) -> KeeperSet | None:
    """Return a set without the lost members, where they are a majority."""
    lost = {
        name
        for name in current.members
        if name in views and is_unavailable(views[name])
    }
    if len(lost) < majority(len(current.members)):
        return None
    found = {
        name: address
        for name, address in candidates.items()
        if name not in lost
    }
    if not found:
        return None
    alive = {
        name: address
        for name, address in current.members.items()
        if name not in lost
    }
    return KeeperSet(
        domain=current.domain,
        epoch=current.epoch + 1,
        members=_grow(alive, wanted, dict(islice(found.items(), wanted))),
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


def _grow(
    members: Mapping[str, str],
    wanted: int,
    candidates: Mapping[str, str],
) -> dict[str, str]:
    spare = sorted(set(candidates) - set(members))
    reach = min(wanted, len(members) + len(spare))
    odd = reach if reach % 2 else reach - 1
    added = spare[: max(0, odd - len(members))]
    grown = dict(members)
    grown.update((name, candidates[name]) for name in added)
    return grown


def _replace_one(
    members: Mapping[str, str],
    candidates: Mapping[str, str],
    views: Mapping[str, KeeperView],
) -> dict[str, str]:
    spare = sorted(set(candidates) - set(members))
    gone = [
        name
        for name in sorted(members)
        if name not in views or is_unavailable(views[name])
    ]
    kept = dict(members)
    if spare and gone:
        kept.pop(gone[0])
        kept[spare[0]] = candidates[spare[0]]
    return kept
