"""Join: the procedure by which nodes get keepers, sources and the leader.

Keepers are the nodes that are voting members of their failure domain's
quorum.
"""

from typing import Any

from medlarhoist.core.interfaces import Ledger, find_leader
from medlarhoist.source.keepers import KeeperAssigner
from medlarhoist.wire.message import Join, Joined
from medlarhoist.wire.procedures import JOIN
from medlarhoist.wire.rpc import Method, StreamHandler


def leader_address(ledger: Ledger) -> str:
    """Return the control address of the leader, empty if it is unknown."""
    leader = find_leader(ledger)
    return '' if leader is None else leader.control


def create_join_procedures(
    ledger: Ledger,
    assigner: KeeperAssigner,
) -> dict[Method, StreamHandler]:
    """Return the procedure that nodes call to join, by method.

    Args:
        ledger: the replicated log.
        assigner: records each node that joins as a candidate for keeper.
    """

    async def serve(stream: Any) -> None:  # noqa: WPS430
        join: Join = await stream.recv_message()
        assigner.record_node(join.domain, join.node, join.address)
        joined = Joined(
            sets=tuple(ledger.state.keepers.values()),
            leader=leader_address(ledger),
            sources=tuple(peer.control for peer in ledger.peers),
        )
        await stream.send_message(joined)

    return {JOIN: serve}
