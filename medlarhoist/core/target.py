"""Target: what nodes know and tell about the targets beside them.

This is soft state. It never changes the configuration version.
"""

from enum import StrEnum
from typing import Annotated, Final

from msgspec import Meta, Struct

MAX_PORT: Final = 65_535
MAX_SLOTS: Final = 10_000
LOOPBACK: Final = '127.0.0.1'
ServiceName = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]


class TargetPhase(StrEnum):
    """What a target says of itself through its node."""

    WARMING = 'warming'
    READY = 'ready'
    DRAINING = 'draining'


class Target(Struct, frozen=True, kw_only=True):
    """One running target, as its node tells it.

    Args:
        node: name of the node beside it.
        domain: failure domain of the VM.
        service: name of the service.
        label: its version.
        address: host:port of the node's peer listener, which takes its calls.
        slots: requests that it runs at the same time.
        phase: warming, ready or draining.
        since_ms: when its node first saw it, milliseconds since 1970.
    """

    node: str
    domain: str
    service: str
    label: str
    address: str
    slots: int
    phase: TargetPhase
    since_ms: int


class TargetNotice(Struct, frozen=True, kw_only=True):
    """What a target tells the node beside it, once a second.

    Args:
        service: name of its service.
        label: its version.
        host: IP number that it listens on, of this VM.
        port: port on this VM that it listens on.
        slots: requests that it runs at the same time.
        phase: warming, ready or draining.
        run_id: id of this run of the target, empty where it has none.
        born_ms: when this run started, milliseconds since 1970; a notice of
            an earlier run is late and ignored. Zero where it is not told.
        sequence: grows with each notice of a run; a lower one is late.
    """

    service: ServiceName
    label: ServiceName
    host: str = LOOPBACK
    port: Annotated[int, Meta(ge=1, le=MAX_PORT)]
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    phase: TargetPhase
    run_id: str = ''
    born_ms: int = 0
    sequence: int = 0

    @property
    def address(self) -> str:
        """Return host:port that it listens on."""
        return f'{self.host}:{self.port}'
