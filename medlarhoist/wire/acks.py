"""Acks: sums the acknowledgements of a subtree.

Each node reports one acknowledgement per version to its parent, for itself
and all nodes below it.
"""

from collections.abc import Collection
from itertools import islice
from typing import Final

from msgspec.structs import replace

from medlarhoist.wire.message import Ack
from medlarhoist.wire.session import Session

# Entries in each list of an acknowledgement, which bounds its size.
MAX_NAMES: Final = 8


def sum_acks(own_ack: Ack, sessions: Collection[Session]) -> Ack:
    """Return one acknowledgement for a node and its children's subtrees.

    Refusals, lagging nodes and keeper candidates are cut to `MAX_NAMES` each.
    A child that has not acknowledged the version counts as lagging.

    Args:
        own_ack: acknowledgement of the node itself; sets the version.
        sessions: sessions of its attached children.
    """
    total = own_ack
    for session in sessions:
        total = _add(total, _ack_of_child(own_ack.version, session))
    return replace(
        total,
        refusals=total.refusals[:MAX_NAMES],
        lagging=total.lagging[:MAX_NAMES],
        spare=_keeper_candidates(own_ack, sessions),
    )


def is_complete(ack: Ack) -> bool:
    """Return whether no change of the acknowledgement is expected soon.

    That is so once a node has refused the version, or all nodes have staged
    it and either none or all have it in force. An incomplete acknowledgement
    is delayed for a moment, in case more children acknowledge.
    """
    if ack.refusals:
        return True
    return ack.staged == ack.nodes and ack.active in {0, ack.nodes}


def _add(total: Ack, more: Ack) -> Ack:
    return replace(
        total,
        staged=total.staged + more.staged,
        active=total.active + more.active,
        nodes=total.nodes + more.nodes,
        refusals=total.refusals + more.refusals,
        lagging=total.lagging + more.lagging,
    )


def _ack_of_child(version: int, session: Session) -> Ack:
    ack = session.ack_for(version)
    if ack is None:
        newest = session.newest_ack()
        nodes = newest.nodes if newest else 1
        return Ack(
            version=version,
            staged=0,
            active=0,
            nodes=nodes,
            lagging=(session.name,),
        )
    if ack.version > version:
        # Nodes that have a later version in force no longer need this one.
        return replace(ack, version=version, staged=ack.active, refusals=())
    return ack


def _keeper_candidates(
    own_ack: Ack, sessions: Collection[Session]
) -> dict[str, str]:
    """Return the children, and then the candidates that they report."""
    candidates = dict(own_ack.spare)
    for child in sessions:
        candidates[child.name] = child.hello.address
    for session in sessions:
        newest = session.newest_ack()
        reported = newest.spare if newest else {}
        for name, address in reported.items():
            candidates.setdefault(name, address)
    return dict(islice(candidates.items(), MAX_NAMES))
