"""Calls static: fakes of the interfaces that a proxy uses.

They replace the configuration, registry, share limiter and call recorder of a
node, so that the proxy can be measured and tested alone.
"""

import socket
from collections import Counter

from msgspec.structs import replace

from medlarhoist.core.compile import Compiled
from medlarhoist.core.confirmation import Confirmations
from medlarhoist.core.resource import Limits, Route, Service
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.snapshot import Share, Snapshot
from medlarhoist.core.target import Target, TargetNotice, TargetPhase

SHARED_KEY = 'a shared key for benches'
SERVICE = 'bookings'
LABEL = 'v1'
DEFAULT_SLOTS = 20


class StaticConfiguration:
    """A configuration that is set by tests.

    Args:
        active: the configuration in force, which calls are routed by; None
            before the node has one.
        confirmations: when its versions were known to be the newest.
    """

    __slots__ = ('active', 'confirmations')

    def __init__(self, active: Compiled | None) -> None:
        """Create it with the configuration in force."""
        self.active = active
        self.confirmations = Confirmations()


class StaticRegistry:
    """A registry whose targets are set by tests.

    Args:
        revision: number that grows with every change of the targets.
        all_targets: targets of every service and version.
    """

    __slots__ = ('all_targets', 'revision')

    def __init__(self, targets: tuple[Target, ...] = ()) -> None:
        """Create it with targets."""
        self.all_targets = targets
        self.revision = 0

    def set_targets(self, targets: tuple[Target, ...]) -> None:
        """Replace all targets."""
        self.all_targets = targets
        self.revision += 1

    def renew(self, address: str) -> None:
        """Announce the target at an address as a new run."""
        self.set_targets(
            tuple(
                replace(target, since_ms=target.since_ms + 1)
                if target.address == address
                else target
                for target in self.all_targets
            )
        )

    def local_targets(self) -> tuple[Target, ...]:
        """Return none; tests call Proxy.set_local_target instead."""
        return ()

    def targets(self, service: str, label: str) -> tuple[Target, ...]:
        """Return the targets of a version."""
        return tuple(
            target
            for target in self.all_targets
            if (target.service, target.label) == (service, label)
        )


class StaticLimiter:
    """A share limiter that lowers no share."""

    __slots__ = ()

    def limit(self, service: str, label: str, basis_points: int) -> int:
        """Return basis_points unchanged."""
        return basis_points


class CountingRecorder:
    """Counts the results of calls.

    Args:
        counts: calls by label and result, which is `succeeded`, `failed` or
            `refused`.
    """

    __slots__ = ('counts',)

    def __init__(self) -> None:
        """Create it with no calls."""
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


def compile_sample(
    *,
    share: Share | None = None,
    limits: Limits | None = None,
    slots: int = DEFAULT_SLOTS,
    cold_rate: float = 0,
) -> Compiled:
    """Return a configuration with one service.

    Calls of route `/` are not idempotent, those of `/sights` are, and `/short`
    has a timeout of 200 ms.

    Args:
        share: share of a new version; None for no rollout.
        limits: limits of callers' requests; None for the default.
        slots: slots of each target of the service.
        cold_rate: requests per second that a cold target accepts.
    """
    service = Service(
        name=SERVICE, current=LABEL, slots=slots, cold_rate=cold_rate
    )
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
        services=(service,),
        routes=routes,
        shares=(share,) if share else (),
        limits=(limits,) if limits else (),
    )
    return Compiled(snapshot, '')


def find_free_address() -> str:
    """Return a loopback address whose port is free at present."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def create_notice(
    run_id: str = 'i-1',
    born_ms: int = 5,
    sequence: int = 1,
) -> TargetNotice:
    """Return a notice of a ready target.

    Args:
        run_id: id of its run.
        born_ms: when the run started, milliseconds since 1970.
        sequence: sequence of the notice.
    """
    return TargetNotice(
        service=SERVICE,
        label=LABEL,
        port=1,
        slots=1,
        phase=TargetPhase.READY,
        run_id=run_id,
        born_ms=born_ms,
        sequence=sequence,
    )


def create_settings(name: str, domain: str) -> NodeSettings:
    """Return settings of a node whose addresses have free ports."""
    return NodeSettings(
        name=name,
        domain=domain,
        admin=find_free_address(),
        shared_key=SHARED_KEY,
        sources=(),
        control=find_free_address(),
        gossip=find_free_address(),
        entry=find_free_address(),
        peer=find_free_address(),
    )


def create_target(
    cfg: NodeSettings,
    *,
    label: str = LABEL,
    slots: int = DEFAULT_SLOTS,
    phase: TargetPhase = TargetPhase.READY,
) -> Target:
    """Return the target beside a node as a registry entry."""
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
