"""Calls static: fixed configuration and targets around a proxy.

They stand in for the parts of a node that the calls' path only asks, so that
the path can be measured and tested alone.
"""

import socket
from collections import Counter

from medlarhoist.core.compile import Compiled
from medlarhoist.core.resource import Route, Service
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.snapshot import Share, Snapshot
from medlarhoist.core.target import Target, TargetPhase

KEY = 'a shared key for benches'
SERVICE = 'bookings'
LABEL = 'v1'


class StaticConfiguration:
    """A configuration that tests set.

    Args:
        active: the configuration in force.
    """

    __slots__ = ('active',)

    def __init__(self, active: Compiled | None) -> None:
        """Start with a configuration."""
        self.active = active


class StaticRegistry:
    """Targets that tests set.

    Args:
        revision: grows with every change.
        known: the targets.
    """

    __slots__ = ('all_targets', 'revision')

    def __init__(self, known: tuple[Target, ...] = ()) -> None:
        """Start with targets."""
        self.all_targets = known
        self.revision = 0

    def set_known(self, known: tuple[Target, ...]) -> None:
        """Replace the targets."""
        self.all_targets = known
        self.revision += 1

    def local_targets(self) -> tuple[Target, ...]:
        """Return none; the proxy is told of its target otherwise."""
        return ()

    def targets(self, service: str, label: str) -> tuple[Target, ...]:
        """Return the targets of a version."""
        return tuple(
            target
            for target in self.all_targets
            if (target.service, target.label) == (service, label)
        )


class StaticLimiter:
    """Leaves every share as it is."""

    __slots__ = ()

    def limit(self, service: str, label: str, basis_points: int) -> int:
        """Return the share given."""
        return basis_points


class CountingRecorder:
    """Counts what it is told.

    Args:
        counts: calls by (label, how they ended).
    """

    __slots__ = ('counts',)

    def __init__(self) -> None:
        """Start with no calls."""
        self.counts: Counter[tuple[str, str]] = Counter()

    def record(
        self,
        route: tuple[str, str],
        label: str,
        *,
        succeeded: bool,
        refused: bool,
        latency_us: int,
    ) -> None:
        """Count one call."""
        ending = 'succeeded' if succeeded else 'failed'
        self.counts[(label, 'refused' if refused else ending)] += 1


def compile_sample(*, share: Share | None = None) -> Compiled:
    """Return a configuration with one service.

    Routes: `/` repeats nothing, `/sights` is idempotent, `/short` has a
    timeout of 200 ms.
    """
    routes = (
        Route(
            name='all',
            prefix='/',
            service=SERVICE,
            timeout_ms=10_000,
            objective_ms=500,
        ),
        Route(
            name='sights',
            prefix='/sights',
            service=SERVICE,
            idempotent=True,
        ),
        Route(
            name='short',
            prefix='/short',
            service=SERVICE,
            timeout_ms=200,
        ),
    )
    snapshot = Snapshot(
        version=1,
        services=(Service(name=SERVICE, current=LABEL),),
        routes=routes,
        shares=(share,) if share else (),
    )
    return Compiled(snapshot, '')


def find_address() -> str:
    """Return an address of this machine that is free now."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def create_settings(name: str, domain: str) -> NodeSettings:
    """Return the settings of a node on free ports."""
    return NodeSettings(
        name=name,
        domain=domain,
        admin=find_address(),
        shared_key=KEY,
        sources=(),
        control=find_address(),
        gossip=find_address(),
        entry=find_address(),
        peer=find_address(),
    )


def describe_target(
    cfg: NodeSettings,
    *,
    label: str = LABEL,
    slots: int = 20,
    phase: TargetPhase = TargetPhase.READY,
) -> Target:
    """Return the target beside a node, as the registry tells it."""
    return Target(
        node=cfg.name,
        domain=cfg.domain,
        service=SERVICE,
        label=label,
        address=cfg.peer,
        slots=slots,
        phase=phase,
        since_ms=0,
    )
