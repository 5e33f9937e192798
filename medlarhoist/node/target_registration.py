"""Target registration: tracks the target beside a node and announces it.

A notice must be in effect before it is acknowledged, so it is applied within
the call that delivers it and not by way of an event.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from loguru import logger
from msgspec import Struct

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
# Several times as long as announcements take to reach every failure domain.
LEFT_SECONDS: Final = 10.0

SetTarget = Callable[[TargetNotice | None], None]


class _Leave(Struct, frozen=True):
    """The last leave that a node has received.

    Args:
        run_id: id of the run that has left, empty if it has none.
        born_ms: when it started, milliseconds since 1970; zero if unknown.
        received_at: seconds of the monotonic clock.
    """

    run_id: str = ''
    born_ms: int = 0
    received_at: float = 0

    def is_followed_by(self, notice: TargetNotice, now: float) -> bool:
        """Return whether a notice of the run that has left is late.

        Without the start of that run, a notice of the next run with its id
        looks alike, so the leave counts for `LEFT_SECONDS` only.
        """
        if not self.run_id or notice.run_id != self.run_id:
            return False
        if self.born_ms:
            return notice.born_ms <= self.born_ms
        return now - self.received_at < LEFT_SECONDS


class TargetRegistration:
    """Applies the notices of a target to its node and failure domain.

    Args:
        presence: the target as last reported, without a notice if there is
            none.
        is_leaving: whether the node stops, which drains its target.
    """

    __slots__ = (
        '_cfg',
        '_last_leave',
        '_leaving_run',
        '_left_seconds',
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
            registry: announces the target to the failure domain.
            set_target: updates the proxy to a notice, None for no target.
        """
        self._cfg = cfg
        self._leaving_run = ''
        self._left_seconds = float()
        self._last_leave = _Leave()
        self._registry = registry
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
        """Announce a run as draining, since it states that it leaves.

        Its notices may still report it as ready.

        Args:
            run_key: key of the run.
        """
        if run_key != self._leaving_run:
            self._leaving_run = run_key
            logger.bind(run=run_key).info('target: states that it leaves')
            self._announce()

    def receive(self, notice: TargetNotice) -> None:
        """Apply a notice of the target; an outdated one is ignored."""
        now = monotonic_seconds()
        is_late = self._last_leave.is_followed_by(notice, now)
        if is_late or is_outdated(self.presence, notice):
            logger.bind(run=notice.run_id, sequence=notice.sequence).info(
                'target: outdated notice ignored',
            )
            return
        previous = self.presence.notice
        if previous is None or not is_same_run(previous, notice):
            _log_notice(notice, 'target: new run')
        elif previous.phase is not notice.phase:
            _log_notice(notice, 'target: phase changed')
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
        later notices of that run are ignored: after a restart of the node, the
        leave of a run can come before its first notice.

        Args:
            run_id: id of the run that leaves; empty for the current one.
            born_ms: when that run started, milliseconds since 1970; zero if
                unknown.
        """
        self._last_leave = _Leave(run_id, born_ms, monotonic_seconds())
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

    def expire(self, now: float) -> None:
        """Withdraw a target that has left `LEFT_SECONDS` ago.

        Args:
            now: seconds of the monotonic clock.
        """
        since_leave_s = now - self._left_seconds
        if self.presence.has_left and since_leave_s >= LEFT_SECONDS:
            self._registry.withdraw()

    def _announce(self) -> None:
        target = advertised_target(
            self._cfg,
            self.presence,
            is_leaving=self.is_leaving,
            leaving_run=self._leaving_run,
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
