"""Keeper exchange: tells the targets of a domain to the other domains.

A keeper asks one keeper of each other domain as soon as its own summary has
changed; otherwise the keepers of a domain take turns, one a period. A summary
travels only where the receiver does not have it yet.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, Final

from msgspec.structs import replace

from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.summary import (
    NO_MARK,
    Summary,
    is_wanted,
    mark_of,
    next_summary,
    sample_targets,
)
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper
from medlarhoist.node.registry import TargetRegistry
from medlarhoist.utils.clock import wall_ms
from medlarhoist.wire.channels import Channels
from medlarhoist.wire.message import Exchange
from medlarhoist.wire.procedures import EXCHANGE
from medlarhoist.wire.rpc import Method, StreamHandler

PERIOD_SECONDS: Final = 1.0


class KeeperExchange:
    """The exchange of summaries of one keeper."""

    __slots__ = (
        '_cfg',
        '_channels',
        '_directory',
        '_keeper',
        '_on_summary',
        '_own',
        '_random',
        '_registry',
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
    ) -> None:
        """Start without summaries."""
        self._cfg = cfg
        self._channels = channels
        self._directory = directory
        self._keeper = keeper
        self._on_summary: Callable[[Summary], None] = _ignore
        self._own: Summary | None = None
        self._random = random
        self._registry = registry
        self._task: asyncio.Task[None] | None = None

    def on_summary(self, callback: Callable[[Summary], None]) -> None:
        """Call back with each newer summary of another domain."""
        self._on_summary = callback

    def start(self) -> None:
        """Begin to exchange."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop exchanging."""
        if self._task:
            self._task.cancel()

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedure that keepers of other domains call."""
        return {EXCHANGE: self._serve}

    async def _run(self) -> None:
        period = 0
        told = NO_MARK
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            period += 1
            if not self._keeper.is_keeper:
                continue
            mark = mark_of(self._refresh())
            if mark != told or self._is_due(period):
                told = mark
                await self._ask_all()

    def _is_due(self, period: int) -> bool:
        keepers = self._directory.domain_keepers
        if keepers is None or self._cfg.name not in keepers.members:
            return True
        members = sorted(keepers.members)
        return period % len(members) == members.index(self._cfg.name)

    async def _ask_all(self) -> None:
        asked = [
            self._ask(domain, self._random.choice(list(keepers.members)))
            for domain, keepers in sorted(self._directory.sets.items())
            if domain != self._cfg.domain and keepers.members
        ]
        await asyncio.gather(*asked)

    async def _ask(self, domain: str, name: str) -> None:
        address = self._directory.sets[domain].members[name]
        summary = self._refresh()
        request = Exchange(
            domain=self._cfg.domain,
            mark=mark_of(summary),
            known=self._registry.marks().get(domain, NO_MARK),
        )
        reply = await self._channels.try_call(address, EXCHANGE, request)
        if reply is None:
            return
        self._take(reply)
        if is_wanted(reply.known, request.mark):
            told = replace(request, summary=summary)
            await self._channels.try_call(address, EXCHANGE, told)

    async def _serve(self, stream: Any) -> None:
        request: Exchange = await stream.recv_message()
        self._take(request)
        summary = self._refresh()
        mark = mark_of(summary)
        reply = Exchange(
            domain=self._cfg.domain,
            mark=mark,
            known=self._registry.marks().get(request.domain, NO_MARK),
            summary=summary if is_wanted(request.known, mark) else None,
        )
        await stream.send_message(reply)

    def _refresh(self) -> Summary:
        self._own = next_summary(
            self._own,
            self._cfg.domain,
            sample_targets(self._registry.domain_targets()),
            wall_ms(),
        )
        return self._own

    def _take(self, told: Exchange) -> None:
        summary = told.summary
        if summary is not None and self._registry.adopt_summary(summary):
            self._on_summary(summary)
        known = self._registry.marks().get(told.domain, NO_MARK)
        if known.digest == told.mark.digest:
            self._registry.confirm_summaries({told.domain: 0})


def _ignore(summary: Summary) -> None:
    """Do nothing with a summary."""
