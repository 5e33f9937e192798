"""Subsetting: selects the targets that one node keeps connections to.

Rendezvous hashing distributes the nodes evenly over the targets of a service
and changes few connections when targets are added or removed.
"""

from collections.abc import Sequence
from hashlib import blake2b

from medlarhoist.core.target import Target


def choose_subset(
    node: str,
    targets: Sequence[Target],
    size: int,
) -> tuple[Target, ...]:
    """Return the targets that a node may send calls to.

    The result depends only on the arguments. With no more than `size`
    targets all of them are returned.

    Args:
        node: name of the node.
        targets: the targets to select from.
        size: maximum number of selected targets.
    """
    if len(targets) <= size:
        return tuple(targets)
    ranked = sorted(targets, key=lambda target: _rank(node, target.address))
    return tuple(ranked[:size])


def choose_one(key: str, targets: Sequence[Target]) -> Target | None:
    """Return the target that all nodes choose for a key, None without any.

    Args:
        key: what the target is chosen for.
        targets: the targets to select from.
    """
    ranks = {target.address: _rank(key, target.address) for target in targets}
    return min(targets, key=lambda target: ranks[target.address], default=None)


def _rank(node: str, address: str) -> bytes:
    return blake2b(f'{node} {address}'.encode(), digest_size=8).digest()
