"""Keeper exchange: exchanges summaries of targets between failure domains.

A keeper is a node that is a voting member of its domain's quorum. It queries a
random keeper of each other domain in the interval after its own summary has
changed. Otherwise one keeper of the domain queries in each interval, in turn.
A summary is sent only if the receiver does not hold it yet.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, Final

from msgspec.structs import replace

from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.shared_records import SharedRecords
from medlarhoist.core.summary import (
    NO_MARK,
    Summary,
    is_wanted,
    mark_of,
    next_summary,
    sample_targets,
)
from medlarhoist.core.withdrawal import Withdrawal
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper
from medlarhoist.node.registry import TargetRegistry
from medlarhoist.utils.clock import monotonic_seconds, wall_ms
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.message import Exchange
from medlarhoist.wire.procedures import EXCHANGE
from medlarhoist.wire.rpc import Method, StreamHandler

EXCHANGE_INTERVAL_SECONDS: Final = 1.0


class KeeperExchange:
    """Exchanges summaries with keepers of other domains.

    Every node has it; it sends queries only while the node is a keeper.
    """

    __slots__ = (
        '_cfg',
        '_channels',
        '_directory',
        '_keeper',
        '_on_summary',
        '_random',
        '_registry',
        '_shared',
        '_summary',
        '_task',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        channels: Channels,
        directory: Directory,
        keeper: Keeper,
        registry: TargetRegistry,
        random: Random,
        shared: SharedRecords,
    ) -> None:
        """Create the exchange; `start` runs it."""
        self._shared = shared
        self._cfg = cfg
        self._channels = channels
        self._directory = directory
        self._keeper = keeper
        self._on_summary: Callable[[Summary], None] = _ignore
        self._summary: Summary | None = None
        self._random = random
        self._registry = registry
        self._task: asyncio.Task[None] | None = None

    def on_summary(self, callback: Callable[[Summary], None]) -> None:
        """Set the callback for each newer summary of another domain."""
        self._on_summary = callback

    def start(self) -> None:
        """Start to send queries, one round in each interval at most."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop sending queries."""
        if self._task:
            self._task.cancel()

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedure for keepers of other domains."""
        return {EXCHANGE: self._serve}

    async def _run(self) -> None:
        period = 0
        sent = NO_MARK
        suspicions_sent = 0
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_SECONDS)
            period += 1
            if not self._keeper.is_keeper:
                continue
            mark = mark_of(self._refresh())
            has_news = suspicions_sent != self._shared.quarantine.revision
            if mark != sent or has_news or self._is_turn(period):
                sent = mark
                suspicions_sent = self._shared.quarantine.revision
                await self._query_all()

    def _is_turn(self, period: int) -> bool:
        """Return whether it is this node's turn to query in an interval.

        Always true if the keeper set in the directory does not contain it.

        Args:
            period: number of the interval, counted from the start.
        """
        keepers = self._directory.domain_keepers
        if keepers is None or self._cfg.name not in keepers.members:
            return True
        members = sorted(keepers.members)
        return period % len(members) == members.index(self._cfg.name)

    async def _query_all(self) -> None:
        queries = [
            self._query(domain, self._random.choice(list(keepers.members)))
            for domain, keepers in sorted(self._directory.sets.items())
            if domain != self._cfg.domain and keepers.members
        ]
        await asyncio.gather(*queries)

    async def _query(self, domain: str, name: str) -> None:
        address = self._directory.sets[domain].members[name]
        summary = self._refresh()
        request = Exchange(
            domain=self._cfg.domain,
            mark=mark_of(summary),
            known=self._registry.marks().get(domain, NO_MARK),
            suspicions=self._shared.quarantine.export(monotonic_seconds()),
            withdrawals_digest=self._shared.withdrawals.digest(
                self._cfg.domain
            ),
        )
        reply = await self._channels.try_call(address, EXCHANGE, request)
        if reply is None:
            return
        self._record(reply)
        is_summary_wanted = is_wanted(reply.known, request.mark)
        withdrawals = self._list_missing(
            self._cfg.domain, reply.withdrawals_digest
        )
        if is_summary_wanted or withdrawals:
            full_request = replace(
                request,
                summary=summary if is_summary_wanted else None,
                suspicions=(),
                withdrawals=withdrawals,
            )
            await self._channels.try_call(address, EXCHANGE, full_request)

    async def _serve(self, stream: Any) -> None:
        request: Exchange = await stream.recv_message()
        self._record(request)
        summary = self._refresh()
        mark = mark_of(summary)
        reply = Exchange(
            domain=self._cfg.domain,
            mark=mark,
            known=self._registry.marks().get(request.domain, NO_MARK),
            summary=summary if is_wanted(request.known, mark) else None,
            suspicions=self._shared.quarantine.export(monotonic_seconds()),
            withdrawals_digest=self._shared.withdrawals.digest(request.domain),
            withdrawals=self._list_missing(
                request.domain, request.withdrawals_digest
            ),
        )
        await stream.send_message(reply)

    def _list_missing(self, domain: str, digest: str) -> tuple[Withdrawal, ...]:
        """Return what a node with this digest may lack of a domain."""
        if digest == self._shared.withdrawals.digest(domain):
            return ()
        return self._shared.withdrawals.export(domain, monotonic_seconds())

    def _refresh(self) -> Summary:
        self._summary = next_summary(
            self._summary,
            self._cfg.domain,
            sample_targets(self._registry.domain_targets()),
            wall_ms(),
        )
        return self._summary

    def _record(self, message: Exchange) -> None:
        self._shared.merge(message, monotonic_seconds())
        summary = message.summary
        if summary is not None and self._registry.update_summary(summary):
            self._on_summary(summary)
        held = self._registry.marks().get(message.domain, NO_MARK)
        if held.digest == message.mark.digest:
            self._registry.confirm_summaries({message.domain: 0})


def _ignore(summary: Summary) -> None:
    """Ignore a summary."""
