"""Target registration: tracks the target beside a node and announces it.

A notice must be in effect before it is acknowledged, so it is applied within
the call that delivers it and not by way of an event.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from loguru import logger
from msgspec.structs import replace

from medlarhoist.core.notice_check import find_leave_fault, find_notice_fault
from medlarhoist.core.presence import (
    Presence,
    advertised_target,
    begins_to_drain,
    has_expired,
    is_leave_outdated,
    is_outdated,
    is_same_run,
    is_superseded,
    receive_notice,
    remove_target,
)
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.target import TargetNotice
from medlarhoist.core.withdrawal import Withdrawals
from medlarhoist.node.registry import TargetRegistry
from medlarhoist.utils.clock import monotonic_seconds, wall_ms
from medlarhoist.utils.tasks import cancel_all

POLL_SECONDS: Final = 0.25
# Several times as long as announcements take to reach every failure domain.
LEFT_SECONDS: Final = 10.0

SetTarget = Callable[[TargetNotice | None], None]
Replicate = Callable[[], Awaitable[None]]


class TargetRegistration:
    """Applies the notices of a target to its node and failure domain.

    Args:
        presence: the target as last reported, without a notice if there is
            none.
        is_leaving: whether the node stops, which drains its target.
    """

    __slots__ = (
        '_cfg',
        '_left_seconds',
        '_registry',
        '_replicate',
        '_set_target',
        '_tasks',
        '_withdrawals',
        'is_leaving',
        'presence',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        registry: TargetRegistry,
        set_target: SetTarget,
        withdrawals: Withdrawals,
        replicate: Replicate,
    ) -> None:
        """Start without a target.

        Args:
            cfg: settings of the node.
            registry: announces the target to the failure domain.
            set_target: updates the proxy to a notice, None for no target.
            withdrawals: the drains and leaves of runs, as this node and
                others have received them.
            replicate: sends the withdrawals to other nodes; returns when they
                hold them, or after a short while.
        """
        self._cfg = cfg
        self._left_seconds = float()
        self._registry = registry
        self._replicate = replicate
        self._withdrawals = withdrawals
        withdrawals.on_merge = self._apply_withdrawals
        self._set_target = set_target
        self._tasks: list[asyncio.Task[None]] = []
        self.is_leaving = False
        self.presence = Presence()

    def start(self) -> None:
        """Start to check for missed heartbeats, every `POLL_SECONDS`."""
        self._tasks = [asyncio.ensure_future(self._check_heartbeats())]

    async def stop(self) -> None:
        """Stop checking for missed heartbeats."""
        await cancel_all(self._tasks)
        self._tasks = []

    def leave(self) -> None:
        """Announce the target as draining, since this node stops.

        The proxy calls it shortly before the target takes no more calls.
        """
        self.is_leaving = True
        self._announce()

    def mark_leaving(self, run_key: str) -> None:
        """Remove the target if its run states that it leaves.

        Its notices may still report it as ready.

        Args:
            run_key: key of the run.
        """
        notice = self.presence.notice
        if notice is not None and notice.run_key == run_key:
            self._withdrawals.record(
                notice.run_id, notice.born_ms, monotonic_seconds()
            )
            self._remove_target('it states that it leaves', has_left=True)

    def apply_settings(self, cfg: NodeSettings) -> None:
        """Compare notices with these settings from now on."""
        self._cfg = cfg

    async def accept(self, notice: TargetNotice) -> str:
        """Apply a notice, and return once its acknowledgement is safe.

        The node may restart after it has acknowledged that the target drains,
        so that other nodes must know it as well.

        Returns:
            Why the notice is refused, naming the field; empty if it is not.
        """
        drains = begins_to_drain(self.presence, notice)
        fault = self.receive(notice)
        if drains and not fault:
            await self._replicate()
        return fault

    async def accept_leave(self, run_id: str, born_ms: int) -> str:
        """Remove the target, and return once its acknowledgement is safe.

        See `remove`.

        Returns:
            Why the leave is refused, naming the field; empty if it is not.
        """
        fault = find_leave_fault(run_id, born_ms, wall_ms())
        if fault:
            logger.warning('target: leave refused: {}', fault)
            return fault
        self.remove(run_id, born_ms)
        await self._replicate()
        return ''

    def receive(self, notice: TargetNotice) -> str:
        """Apply a notice of the target; an outdated one is ignored.

        Returns:
            Why the notice is refused, naming the field; empty if it is not.
        """
        now = monotonic_seconds()
        fault = find_notice_fault(
            self._cfg, self.presence, notice, now, wall_ms()
        )
        if fault:
            logger.warning('target: notice refused: {}', fault)
        else:
            self._apply(notice, now)
        return fault

    def _apply(self, notice: TargetNotice, now: float) -> None:
        is_late = is_outdated(self.presence, notice) and not is_superseded(
            self.presence, notice, now, self._cfg.heartbeat_ms
        )
        if is_late or self._withdrawals.find(notice, now) is not None:
            self.presence = replace(self.presence, rival=notice)
            logger.bind(run=notice.run_id, sequence=notice.sequence).info(
                'target: outdated notice ignored',
            )
            return
        previous = self.presence.notice
        if previous is None or not is_same_run(previous, notice):
            _log_notice(notice, 'target: new run')
        elif previous.phase is not notice.phase:
            _log_notice(notice, 'target: phase changed')
        if begins_to_drain(self.presence, notice):
            self._withdrawals.record(
                notice.run_id, notice.born_ms, now, notice.sequence
            )
        self.presence = receive_notice(
            self.presence,
            notice,
            now,
            wall_ms(),
        )
        self._set_target(notice)
        self._announce()

    def remove(self, run_id: str = '', born_ms: int = 0) -> None:
        """Remove the target, which announced that it leaves.

        The leave of another run than the current one removes nothing, but
        later notices of that run are ignored, also after a restart of the
        node: the leave of a run can come before its first notice.

        Args:
            run_id: id of the run that leaves; empty for the current one.
            born_ms: when that run started, milliseconds since 1970; zero if
                unknown.
        """
        newest = self.presence.last
        if newest is not None and run_id in {'', newest.run_id}:
            self._withdrawals.record(
                newest.run_id, born_ms or newest.born_ms, monotonic_seconds()
            )
        else:
            self._withdrawals.record(run_id, born_ms, monotonic_seconds())
        if is_leave_outdated(self.presence, run_id, born_ms):
            logger.bind(run=run_id).info('target: outdated leave ignored')
            return
        self._remove_target('it has left', has_left=True)

    def _remove_target(self, reason: str, *, has_left: bool) -> None:
        notice = self.presence.notice
        if notice is None:
            return
        _log_notice(notice, f'target: no target any more, {reason}')
        self.presence = remove_target(self.presence, has_left=has_left)
        self._left_seconds = monotonic_seconds()
        self._set_target(None)
        self._announce()

    def _apply_withdrawals(self) -> None:
        """Remove the target if other nodes know that its run has left."""
        notice = self.presence.notice
        if notice is None:
            return
        known = self._withdrawals.find(notice, monotonic_seconds())
        if known is not None:
            self._remove_target(
                'other nodes know that it leaves', has_left=known.has_left
            )

    def expire(self, now: float) -> None:
        """Withdraw a target that has left `LEFT_SECONDS` ago.

        Also forget withdrawals that no notice can be late for any more.

        Args:
            now: seconds of the monotonic clock.
        """
        self._withdrawals.expire(now)
        since_leave_s = now - self._left_seconds
        if self.presence.has_left and since_leave_s >= LEFT_SECONDS:
            self._registry.withdraw()

    def _announce(self) -> None:
        target = advertised_target(
            self._cfg,
            self.presence,
            is_leaving=self.is_leaving,
        )
        if target is None:
            self._registry.withdraw()
        else:
            self._registry.announce(target)

    async def _check_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            now = monotonic_seconds()
            self.expire(now)
            if has_expired(self.presence, now, self._cfg.heartbeat_ms):
                self._remove_target(
                    'it has missed its heartbeats', has_left=False
                )


def _log_notice(notice: TargetNotice, message: str) -> None:
    logger.bind(
        service=notice.service,
        label=notice.label,
        run=notice.run_id,
        phase=notice.phase.value,
        sequence=notice.sequence,
    ).info(message)
