"""Tree: selects the parents of a node in the tree of its failure domain.

Configuration versions are distributed down the tree. Its roots are the keepers,
the nodes that are voting members of the domain's quorum. The other nodes are
ranked by a hash of their names, and a parent is always a keeper or a node of
lower rank, so that nodes with different views of the domain still form no loop.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping
from random import Random
from typing import Final

FANOUT: Final = 16
MAX_CHILDREN: Final = 24
FALLBACK_COUNT: Final = 3


def rank_of(name: str) -> int:
    """Return the rank of a node; it is the same in every process."""
    digest = hashlib.sha256(name.encode()).digest()
    return int.from_bytes(digest[:8], 'big')


def order_parents(
    name: str,
    keepers: Collection[str],
    members: Iterable[str],
    random: Random,
) -> tuple[str, ...]:
    """Return the names of the parents to try, the regular one first.

    Args:
        name: the node that needs a parent; not a keeper.
        keepers: names of the keepers of its domain.
        members: names of the other live nodes of its domain.
        random: source of randomness for the fallbacks.

    Returns:
        The regular parent, up to `FALLBACK_COUNT` random nodes of lower rank,
        and then the keepers in random order.
    """
    roots = sorted(keepers, key=rank_of)
    rank = rank_of(name)
    others = set(members) - set(roots)
    lower = sorted(
        (other for other in others if rank_of(other) < rank), key=rank_of
    )
    random.shuffle(roots)
    fallbacks = random.sample(lower, min(FALLBACK_COUNT, len(lower)))
    regular = _regular(sorted(keepers, key=rank_of), lower)
    return tuple(dict.fromkeys((*regular, *fallbacks, *roots)))


def may_admit(
    parent: str,
    child: str,
    *,
    is_keeper: bool,
    children: int,
) -> bool:
    """Return whether a parent may accept another child.

    Args:
        parent: name of the parent.
        child: name of the child.
        is_keeper: whether the parent is a keeper in the newest set that it
            has received.
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
    """Return the address of a child to which a refused node may attach.

    Args:
        children: control addresses of the current children by name.
        child: name of the refused node.
        random: source of randomness.

    Returns:
        host:port, empty if no child has a lower rank.
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
