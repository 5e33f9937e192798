"""Target: the records that describe the targets beside the nodes.

They are soft state, renewed by heartbeats, and never change the configuration
version.
"""

from enum import StrEnum
from typing import Annotated, Final

from msgspec import Meta, Struct

MAX_PORT: Final = 65_535
MAX_SLOTS: Final = 10_000
# The year 10,000 or so; far enough from where numbers lose precision.
MAX_MILLISECONDS: Final = 2**48
MAX_SEQUENCE: Final = 2**53
LOOPBACK: Final = '127.0.0.1'
ServiceName = Annotated[str, Meta(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}\Z')]


# It goes into a header of requests to the target.
RunId = Annotated[str, Meta(pattern=r'^[A-Za-z0-9._~:%+@=-]{0,128}\Z')]
Host = Annotated[str, Meta(pattern=r'^[0-9]{1,3}([.][0-9]{1,3}){3}\Z')]


class TargetPhase(StrEnum):
    """Readiness of a target, as it reports it to its node.

    Only a ready target takes new work.
    """

    WARMING = 'warming'
    READY = 'ready'
    DRAINING = 'draining'


class Target(Struct, frozen=True, kw_only=True):
    """One running target, as its node announces it.

    Args:
        node: name of the node beside it.
        domain: failure domain of the VM.
        service: name of the service.
        label: its version.
        address: host:port of the node's peer listener, which accepts the
            calls for it.
        slots: requests that it runs at the same time.
        phase: warming, ready or draining.
        since_ms: when its node received the first notice of this run,
            milliseconds since 1970.
        run_key: key of a run that has left, or has stated that it leaves;
            empty for any other.
    """

    node: str
    domain: str
    service: str
    label: str
    address: str
    slots: int
    phase: TargetPhase
    since_ms: int
    run_key: str = ''


class TargetNotice(Struct, frozen=True, kw_only=True):
    """Heartbeat that a target sends to the node beside it, once a second.

    Args:
        service: name of its service.
        label: its version.
        host: IP address of this VM that it listens on.
        port: port on this VM that it listens on.
        slots: requests that it runs at the same time.
        phase: warming, ready or draining.
        run_id: id of this run of the target, empty if it has none.
        born_ms: when this run started, milliseconds since 1970, zero if
            unknown; a notice of an earlier run is outdated and ignored.
        sequence: grows with each notice of a run; a lower one is outdated.
        cold_ms: for how much longer it is cold, milliseconds.
    """

    service: ServiceName
    label: ServiceName
    host: Host = LOOPBACK
    port: Annotated[int, Meta(ge=1, le=MAX_PORT)]
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    phase: TargetPhase
    run_id: RunId = ''
    born_ms: Annotated[int, Meta(ge=0, le=MAX_MILLISECONDS)] = 0
    sequence: Annotated[int, Meta(ge=0, le=MAX_SEQUENCE)] = 0
    cold_ms: Annotated[int, Meta(ge=0, le=MAX_MILLISECONDS)] = 0

    @property
    def address(self) -> str:
        """Return host:port that the target listens on."""
        return f'{self.host}:{self.port}'

    @property
    def run_key(self) -> str:
        """Return the key of this run, empty if it has no id."""
        return f'{self.run_id}/{self.born_ms}' if self.run_id else ''
