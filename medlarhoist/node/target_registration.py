"""Announcer: hears the target beside a node and speaks for it to others.

What the target says binds before its notice is acknowledged, so notices are
taken at once and not by way of an event.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from loguru import logger

from medlarhoist.core.presence import (
    Presence,
    advertised_target,
    has_expired,
    is_leave_outdated,
    is_outdated,
    is_same_run,
    receive_notice,
    remove_target,
)
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.target import TargetNotice
from medlarhoist.node.registry import TargetRegistry
from medlarhoist.utils.clock import monotonic_seconds, wall_ms
from medlarhoist.utils.tasks import cancel_all

POLL_SECONDS: Final = 0.25

SetTarget = Callable[[TargetNotice | None], None]


class Announcer:
    """What a node knows of the target beside it, and tells of it.

    Args:
        presence: what it knows.
        is_leaving: whether the node stops, which drains its target.
    """

    __slots__ = (
        '_cfg',
        '_registry',
        '_set_target',
        '_tasks',
        'is_leaving',
        'presence',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        registry: TargetRegistry,
        set_target: SetTarget,
    ) -> None:
        """Start without a target.

        Args:
            cfg: settings of the node.
            registry: tells the domain.
            set_target: tells the proxy.
        """
        self._cfg = cfg
        self._registry = registry
        self._set_target = set_target
        self._tasks: list[asyncio.Task[None]] = []
        self.is_leaving = False
        self.presence = Presence()

    def start(self) -> None:
        """Begin to watch for silence of the target."""
        self._tasks = [asyncio.ensure_future(self._watch())]

    async def stop(self) -> None:
        """Stop watching."""
        await cancel_all(self._tasks)
        self._tasks = []

    def leave(self) -> None:
        """Tell the domain that this node, and so its target, is leaving."""
        self.is_leaving = True
        self._announce()

    def hear(self, notice: TargetNotice) -> None:
        """Take a notice of the target; a late one is ignored."""
        if is_outdated(self.presence, notice):
            logger.bind(run=notice.run_id, sequence=notice.sequence).info(
                'target: a late notice is ignored',
            )
            return
        before = self.presence.notice
        if before is None or not is_same_run(before, notice):
            _log_notice(notice, 'target: a run is heard of')
        elif before.phase is not notice.phase:
            _log_notice(notice, 'target: its phase has changed')
        self.presence = receive_notice(
            self.presence,
            notice,
            monotonic_seconds(),
            wall_ms(),
        )
        self._set_target(notice)
        self._announce()

    def lose(self, run_id: str = '', born_ms: int = 0) -> None:
        """Take the leave of the target.

        Args:
            run_id: which run of it leaves; empty for the present one.
            born_ms: when that run started, zero where it is not told.
        """
        if is_leave_outdated(self.presence, run_id, born_ms):
            logger.bind(run=run_id).info('target: a late leave is ignored')
            return
        self._drop('it has left', has_left=True)

    def _drop(self, reason: str, *, has_left: bool) -> None:
        notice = self.presence.notice
        if notice is None:
            return
        _log_notice(notice, f'target: no target any more, {reason}')
        self.presence = remove_target(self.presence, has_left=has_left)
        self._set_target(None)
        self._registry.withdraw()

    def _announce(self) -> None:
        target = advertised_target(
            self._cfg,
            self.presence,
            is_leaving=self.is_leaving,
        )
        if target is not None:
            self._registry.announce(target)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            now = monotonic_seconds()
            if has_expired(self.presence, now, self._cfg.heartbeat_ms):
                self._drop('it has missed its heartbeats', has_left=False)


def _log_notice(notice: TargetNotice, message: str) -> None:
    logger.bind(
        service=notice.service,
        label=notice.label,
        run=notice.run_id,
        phase=notice.phase.value,
        sequence=notice.sequence,
    ).info(message)
