"""Withdrawal exchange: lets other nodes hold the withdrawals of this domain.

Gossip and the keepers spread them as well, but only after a while. A node that
acknowledges to its target that it drains or leaves may end right after that,
so it waits until some others hold the withdrawal.
"""

import asyncio
from random import Random
from typing import Any, Final

from medlarhoist.core.membership import MembershipState, live_members
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.shared_records import SharedRecords
from medlarhoist.node.join import Directory
from medlarhoist.utils.clock import monotonic_seconds
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.message import Withdraw
from medlarhoist.wire.procedures import WITHDRAW
from medlarhoist.wire.rpc import Method, StreamHandler

MEMBERS_ASKED: Final = 2
DOMAINS_ASKED: Final = 2
# A target awaits its acknowledgement for one second.
REPLICATION_TIMEOUT_S: Final = 0.4


class WithdrawalExchange:
    """Sends withdrawals to other nodes, and receives theirs."""

    __slots__ = (
        '_cfg',
        '_channels',
        '_directory',
        '_membership',
        '_random',
        '_withdrawals',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        channels: Channels,
        directory: Directory,
        membership: MembershipState,
        random: Random,
        shared: SharedRecords,
    ) -> None:
        """Create the exchange.

        Args:
            cfg: settings of the node.
            channels: connections to the control listeners of other processes.
            directory: the keepers of other domains.
            membership: the members of this domain.
            random: chooses the nodes that are asked.
            shared: what this node holds for others; updated.
        """
        self._cfg = cfg
        self._channels = channels
        self._directory = directory
        self._membership = membership
        self._random = random
        self._withdrawals = shared.withdrawals

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedure by which other nodes send withdrawals."""
        return {WITHDRAW: self._serve}

    async def replicate(self) -> None:
        """Send the withdrawals of this domain to some nodes at once.

        Returns when all of them have confirmed, or after
        `REPLICATION_TIMEOUT_S`.
        """
        request = Withdraw(
            withdrawals=self._withdrawals.export(
                self._cfg.domain, monotonic_seconds()
            )
        )
        calls = [
            self._channels.try_call(address, WITHDRAW, request)
            for address in self._choose_nodes()
        ]
        if calls:
            tasks = [asyncio.ensure_future(call) for call in calls]
            await asyncio.wait(tasks, timeout=REPLICATION_TIMEOUT_S)

    async def _serve(self, stream: Any) -> None:
        request: Withdraw = await stream.recv_message()
        self._withdrawals.merge(request.withdrawals, monotonic_seconds())
        await stream.send_message(Withdraw())

    def _choose_nodes(self) -> list[str]:
        """Return control addresses of members and of keepers elsewhere."""
        members = [member.control for member in live_members(self._membership)]
        domains = [
            list(keepers.members.values())
            for domain, keepers in self._directory.sets.items()
            if domain != self._cfg.domain and keepers.members
        ]
        chosen = self._sample(members, MEMBERS_ASKED)
        # Keepers of this domain that restart ask a random one of them.
        for keepers in self._sample(domains, DOMAINS_ASKED):
            chosen.extend(keepers)
        return chosen

    def _sample(self, population: list[Any], count: int) -> list[Any]:
        return self._random.sample(population, min(count, len(population)))
