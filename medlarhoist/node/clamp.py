"""Clamp: stops sending to a version on this node's own strong evidence.

It runs without a source. A clamp only lowers a share, and ends when the move
that set the share has ended or is about another version.
"""

import asyncio
from collections.abc import Callable, Collection, Mapping
from typing import Final

from loguru import logger

from medlarhoist.core.clamp import KEPT_WINDOWS, find_clamp, is_same_share
from medlarhoist.core.evidence import EvidenceKey, EvidenceRow, merge_rows
from medlarhoist.core.fault_detector import cold_windows
from medlarhoist.core.snapshot import Share
from medlarhoist.node.recorder import WINDOW_MS, Clock, Recorder
from medlarhoist.utils.tasks import cancel_all

TICK_S: Final = 0.1

Shares = Callable[[], Mapping[str, Share]]
Unsettled = Callable[[], Collection[str]]


class _Watch:
    """What the node knows of the move of one service."""

    __slots__ = ('reason', 'rows', 'share', 'steps')

    def __init__(self, share: Share, window: int) -> None:
        self.share = share
        self.steps = [window]
        self.rows: dict[tuple[EvidenceKey, int], EvidenceRow] = {}
        self.reason = ''

    def add(self, rows: list[EvidenceRow], window: int) -> None:
        """Take rows in and forget those of windows long gone."""
        merged = merge_rows([*self.rows.values(), *rows])
        self.rows = {
            (row.key, row.window): row
            for row in merged
            if row.window > window - KEPT_WINDOWS
        }


class Clamp:
    """Watches the moves in force and limits their shares."""

    __slots__ = (
        '_clock',
        '_recorder',
        '_shares',
        '_tasks',
        '_unsettled',
        '_watches',
    )

    def __init__(
        self,
        recorder: Recorder,
        clock: Clock,
        shares: Shares,
        unsettled: Unsettled,
    ) -> None:
        """Start with no move; the clock gives milliseconds since 1970."""
        self._recorder = recorder
        self._clock = clock
        self._shares = shares
        self._unsettled = unsettled
        self._watches: dict[str, _Watch] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def limit(self, service: str, label: str, basis_points: int) -> int:
        """Return the share to use, never above the one given."""
        watch = self._watches.get(service)
        if watch is None or not watch.reason or watch.share.new != label:
            return basis_points
        return 0

    def tick(self) -> None:
        """Follow the shares in force and judge the newest calls."""
        window = self._clock() // WINDOW_MS
        rows = self._recorder.collect_rows()
        self._follow(self._shares(), window)
        self._recorder.follow({*self._watches, *self._unsettled()})
        for service, watch in self._watches.items():
            newest = [row for row in rows if row.key.service == service]
            if newest and not watch.reason:
                self._judge(watch, newest, window)
            if watch.reason:
                self._recorder.tell_clamp(service, watch.share.new)

    async def start(self) -> None:
        """Begin to watch."""
        self._tasks = [asyncio.create_task(self._run())]

    async def stop(self) -> None:
        """Stop watching; limits stay as they are."""
        await cancel_all(self._tasks)
        self._tasks = []

    def dump(self) -> dict[str, object]:
        """Return the state for the dump of the process."""
        return {
            service: {
                'share': watch.share,
                'clamped': bool(watch.reason),
                'reason': watch.reason,
            }
            for service, watch in self._watches.items()
        }

    def _follow(self, shares: Mapping[str, Share], window: int) -> None:
        for service in set(self._watches) - set(shares):
            self._watches.pop(service)
        for service, share in shares.items():
            watch = self._watches.get(service)
            if watch is None or not is_same_share(watch.share, share):
                self._watches[service] = _Watch(share, window)
            elif watch.share.basis_points != share.basis_points:
                watch.share = share
                watch.steps.append(window)

    def _judge(
        self,
        watch: _Watch,
        rows: list[EvidenceRow],
        window: int,
    ) -> None:
        is_due = all(row.window < window for row in watch.rows.values())
        watch.add(rows, window)
        new = watch.share.new
        if not is_due and not any(
            row.failed and row.key.label == new for row in rows
        ):
            return
        cold = cold_windows(watch.steps)
        finding = find_clamp(watch.share, watch.rows.values(), cold)
        if finding is not None:
            watch.reason = finding.describe()
            logger.warning(
                'clamp: {} {} gets no calls: {}',
                watch.share.service,
                watch.share.new,
                watch.reason,
            )

    async def _run(self) -> None:
        while True:
            self._tick_safely()
            await asyncio.sleep(TICK_S)

    def _tick_safely(self) -> None:
        try:
            self.tick()
        except Exception as exc:
            logger.exception('clamp: a tick failed: {}', exc)


def create_clamp(
    recorder: Recorder,
    clock: Clock,
    shares: Shares,
    unsettled: Unsettled = frozenset,
) -> Clamp:
    """Return the limiter of the shares of a node.

    Args:
        recorder: counts the calls of the node; the clamp tells it which
            services move.
        clock: returns milliseconds since 1970.
        shares: returns the shares in force by service.
        unsettled: returns the services whose current version is not known;
            the sources learn it from what their calls showed.
    """
    return Clamp(recorder, clock, shares, unsettled)
