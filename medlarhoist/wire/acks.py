"""Acks: sums the acknowledgements of a subtree."""

from collections.abc import Iterable
from typing import Final

from msgspec.structs import replace

from medlarhoist.wire.message import Ack
from medlarhoist.wire.session import Session

MAX_NAMES: Final = 8


def sum_acks(own_ack: Ack, sessions: Iterable[Session]) -> Ack:
    """Return one acknowledgement for a node and its children's subtrees.

    Args:
        own_ack: what the node alone acknowledges.
        sessions: its attached children.
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
    """Say whether nothing more is expected for the version soon."""
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
        return replace(ack, version=version, staged=ack.active, refusals=())
    return ack


def _keeper_candidates(
    own_ack: Ack, sessions: Iterable[Session]
) -> dict[str, str]:
    spare = dict(own_ack.spare)
    for session in sessions:
        if len(spare) >= MAX_NAMES:
            break
        spare[session.name] = session.hello.address
    return spare
