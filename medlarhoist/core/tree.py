"""Tree: picks the parents of a node in the tree of its failure domain.

Keepers are the roots. The other nodes are ranked by a hash of their names,
and a parent is always a keeper or a node of lower rank, so that nodes with
different views of the domain still form no loop.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping
from random import Random
from typing import Final

FANOUT: Final = 16
MAX_CHILDREN: Final = 24
FALLBACK_COUNT: Final = 3


def rank_of(name: str) -> int:
    """Return the rank of a node, the same in every process."""
    digest = hashlib.sha256(name.encode()).digest()
    return int.from_bytes(digest[:8], 'big')


def order_parents(
    name: str,
    keepers: Collection[str],
    members: Iterable[str],
    random: Random,
) -> tuple[str, ...]:
    """Return the parents to try, the regular one first.

    Args:
        name: the node that needs a parent; not a keeper.
        keepers: names of the keepers of its domain.
        members: names of the other live nodes of its domain.
        random: source of randomness for the fallbacks.

    Returns:
        The regular parent, a few of lower rank, and then the keepers.
    """
    roots = sorted(keepers, key=rank_of)
    own = rank_of(name)
    others = set(members) - set(roots)
    lower = sorted(
        (other for other in others if rank_of(other) < own), key=rank_of
    )
    random.shuffle(roots)
    spare = random.sample(lower, min(FALLBACK_COUNT, len(lower)))
    regular = _regular(sorted(keepers, key=rank_of), lower)
    return tuple(dict.fromkeys((*regular, *spare, *roots)))


def may_admit(
    parent: str,
    child: str,
    *,
    is_keeper: bool,
    children: int,
) -> bool:
    """Say whether a parent may take another child.

    Args:
        parent: name of the parent.
        child: name of the child.
        is_keeper: whether the parent is a keeper, by its own view.
        children: number of children that it has.
    """
    if children >= MAX_CHILDREN:
        return False
    return is_keeper or rank_of(parent) < rank_of(child)


def choose_redirect(
    children: Mapping[str, str],
    child: str,
    random: Random,
) -> str:
    """Return the address of a child that may take the refused one.

    Args:
        children: addresses of the present children by name.
        child: name of the refused node.
        random: source of randomness.

    Returns:
        host:port, empty where no child has a lower rank.
    """
    lower = [
        address
        for name, address in sorted(children.items())
        if rank_of(name) < rank_of(child)
    ]
    return random.choice(lower) if lower else ''


def _regular(roots: list[str], lower: list[str]) -> tuple[str, ...]:
    if not roots:
        return ()
    position = len(lower)
    direct = len(roots) * FANOUT
    if position < direct:
        return (roots[position % len(roots)],)
    return (lower[(position - direct) // FANOUT],)
