"""Lag monitor: measures how late versions come into force at this node."""

import time
from typing import Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.compile import Compiled
from medlarhoist.core.latency import Latencies
from medlarhoist.node.configuration import Configuration
from medlarhoist.node.uplink import Uplink
from medlarhoist.node.uplink_receiver import Receiver

# Operators expect a version in force 2 s after its acceptance.
LATE_SECONDS: Final = 1.0
_US_PER_SECOND: Final = 1_000_000


class LagView(Struct, frozen=True, kw_only=True):
    """Time from the acceptance of versions until they were in force here.

    Args:
        within: number of versions by upper bound of that time, cumulative;
            the bounds are seconds as text.
        total_seconds: sum of these times.
    """

    within: dict[str, int]
    total_seconds: float


class LagMonitor:
    """Records the lag of each version that is put in force, but the first.

    The first one after a start tells when the node was started, not how long
    the version took to reach it.
    """

    __slots__ = (
        '_configuration',
        '_has_version',
        '_lags',
        '_receiver',
        '_uplink',
    )

    def __init__(
        self,
        configuration: Configuration,
        uplink: Uplink,
        receiver: Receiver,
    ) -> None:
        """Start without recorded versions; see `create_lag_monitor`."""
        self._configuration = configuration
        self._has_version = False
        self._lags = Latencies()
        self._receiver = receiver
        self._uplink = uplink

    def record(self, compiled: Compiled) -> None:
        """Record a version that has just been put in force."""
        if not self._has_version:
            self._has_version = True
            return
        version = compiled.version
        acceptance = self._configuration.acceptance
        lag_s = acceptance.seconds_since(version, time.monotonic())
        self._lags.record(int(lag_s * _US_PER_SECOND))
        if lag_s >= LATE_SECONDS:
            uplink = self._uplink.view()
            logger.bind(
                lag_s=round(lag_s, 2),
                parent=uplink.parent,
                attached_s=uplink.attached_seconds,
                leader_age_s=round(self._receiver.seconds_since_leader(), 2),
            ).info('configuration: version {} came late', version)

    def view(self) -> LagView:
        """Return the lags since the start for a dump."""
        return LagView(
            within=dict(self._lags.list_buckets()),
            total_seconds=self._lags.total_us / _US_PER_SECOND,
        )


def create_lag_monitor(
    configuration: Configuration,
    uplink: Uplink,
    receiver: Receiver,
) -> LagMonitor:
    """Return a monitor of the versions that a configuration puts in force.

    Args:
        configuration: the versions of the node.
        uplink: its connection to its parent, named where a version is late.
        receiver: knows the time since the last contact with the leader.
    """
    monitor = LagMonitor(configuration, uplink, receiver)
    configuration.subscribe(monitor.record)
    return monitor
