"""Join: answers nodes that look for the keepers of their domain."""

from typing import Any

from medlarhoist.core.interfaces import Ledger, find_leader
from medlarhoist.source.keepers import KeeperAssigner
from medlarhoist.wire.message import Join, Joined
from medlarhoist.wire.procedures import JOIN
from medlarhoist.wire.rpc import Method, Serve


def leader_address(ledger: Ledger) -> str:
    """Return the control address of the leader, empty where unknown."""
    leader = find_leader(ledger)
    return '' if leader is None else leader.control


def create_join_procedures(
    ledger: Ledger,
    assigner: KeeperAssigner,
) -> dict[Method, Serve]:
    """Return the procedure that nodes call to join.

    Args:
        ledger: the replicated log.
        assigner: learns of every node that joins.
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
