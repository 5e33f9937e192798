"""Clamp: stops the calls to a version on this node's own evidence.

A clamp is a node's own limit on the share of a new version. It needs no
source and only lowers the share. It ends when the move that set the share
ends or rolls out another version.
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

GetShares = Callable[[], Mapping[str, Share]]
GetServices = Callable[[], Collection[str]]


class _MoveWatch:
    """The calls of this node during the move of one service.

    Args:
        share: the share in force.
        step_windows: windows in which the share was set or changed, in order.
        rows: rows of the last `KEPT_WINDOWS` windows, by key and window.
        reason: the fault for which the new version is clamped; empty while
            it is not.
    """

    __slots__ = ('reason', 'rows', 'share', 'step_windows')

    def __init__(self, share: Share, window: int) -> None:
        self.share = share
        self.step_windows = [window]
        self.rows: dict[tuple[EvidenceKey, int], EvidenceRow] = {}
        self.reason = ''

    def add(self, rows: list[EvidenceRow], window: int) -> None:
        """Merge new rows; remove those older than `KEPT_WINDOWS` windows."""
        merged = merge_rows([*self.rows.values(), *rows])
        self.rows = {
            (row.key, row.window): row
            for row in merged
            if row.window > window - KEPT_WINDOWS
        }


class Clamp:
    """Evaluates the moves in force and limits their shares."""

    __slots__ = (
        '_clock',
        '_get_services_without_version',
        '_get_shares',
        '_recorder',
        '_tasks',
        '_watches',
    )

    def __init__(
        self,
        recorder: Recorder,
        clock: Clock,
        get_shares: GetShares,
        get_services_without_version: GetServices,
    ) -> None:
        """Start without moves; see create_clamp for the arguments."""
        self._recorder = recorder
        self._clock = clock
        self._get_shares = get_shares
        self._get_services_without_version = get_services_without_version
        self._watches: dict[str, _MoveWatch] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def limit(self, service: str, label: str, basis_points: int) -> int:
        """Return the share to use, in basis points.

        It is zero while the version is clamped, else `basis_points`, the
        share of the configuration.
        """
        watch = self._watches.get(service)
        if watch is None or not watch.reason or watch.share.new != label:
            return basis_points
        return 0

    def tick(self) -> None:
        """Apply the shares in force and evaluate the calls since last time."""
        window = self._clock() // WINDOW_MS
        rows = self._recorder.collect_rows()
        self._update_watches(self._get_shares(), window)
        self._recorder.select_services(
            {*self._watches, *self._get_services_without_version()}
        )
        for service, watch in self._watches.items():
            new_rows = [row for row in rows if row.key.service == service]
            if new_rows and not watch.reason:
                self._evaluate(watch, new_rows, window)
            if watch.reason:
                self._recorder.record_clamp(service, watch.share.new)

    async def start(self) -> None:
        """Start to evaluate the moves every `TICK_S`."""
        self._tasks = [asyncio.create_task(self._run())]

    async def stop(self) -> None:
        """Stop evaluating; the limits stay as they are."""
        await cancel_all(self._tasks)
        self._tasks = []

    def dump(self) -> dict[str, object]:
        """Return share and clamp of each moving service, for the dump."""
        return {
            service: {
                'share': watch.share,
                'clamped': bool(watch.reason),
                'reason': watch.reason,
            }
            for service, watch in self._watches.items()
        }

    def _update_watches(self, shares: Mapping[str, Share], window: int) -> None:
        for service in set(self._watches) - set(shares):
            self._watches.pop(service)
        for service, share in shares.items():
            watch = self._watches.get(service)
            if watch is None or not is_same_share(watch.share, share):
                self._watches[service] = _MoveWatch(share, window)
            elif watch.share.basis_points != share.basis_points:
                watch.share = share
                watch.step_windows.append(window)

    def _evaluate(
        self,
        watch: _MoveWatch,
        rows: list[EvidenceRow],
        window: int,
    ) -> None:
        """Clamp the new version if its calls show a fault.

        They are evaluated once in a window, and whenever a call of the new
        version failed.
        """
        is_first_in_window = all(
            row.window < window for row in watch.rows.values()
        )
        watch.add(rows, window)
        new = watch.share.new
        if not is_first_in_window and not any(
            row.failed and row.key.label == new for row in rows
        ):
            return
        cold = cold_windows(watch.step_windows)
        finding = find_clamp(watch.share, watch.rows.values(), cold)
        if finding is not None:
            watch.reason = finding.describe()
            logger.warning(
                'clamp: no more calls to {} {}: {}',
                watch.share.service,
                watch.share.new,
                watch.reason,
            )

    async def _run(self) -> None:
        while True:
            self._tick_safely()
            await asyncio.sleep(TICK_S)

    def _tick_safely(self) -> None:
        """Evaluate, and log any failure, so that the next tick follows."""
        try:
            self.tick()
        except Exception as exc:
            logger.exception('clamp: evaluation failed: {}', exc)


def create_clamp(
    recorder: Recorder,
    clock: Clock,
    get_shares: GetShares,
    get_services_without_version: GetServices = frozenset,
) -> Clamp:
    """Return the clamp of a node, which limits its shares.

    Args:
        recorder: counts the calls of the node; the clamp sets the services
            that it keeps rows of.
        clock: returns milliseconds since 1970.
        get_shares: returns the shares in force by service.
        get_services_without_version: returns the services that name no
            current version; the sources set it from the rows of their calls.
    """
    return Clamp(recorder, clock, get_shares, get_services_without_version)
