"""Settings: what one process is told before it starts.

The records are checked by msgspec; unknown keys are refused. Addresses are
host:port with an IP number.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Address = Annotated[
    str,
    Meta(
        pattern=r'^[0-9.]+:[0-9]{1,5}$',
        description='address like `10.0.0.1:7000`',
    ),
]
Name = Annotated[
    str,
    Meta(
        pattern='^[a-z0-9][a-z0-9.-]{0,62}$',
        description='name: lower-case letters, digits, dots and dashes',
    ),
]
Sha256 = Annotated[
    str,
    Meta(pattern='^[0-9a-f]{64}$', description='64 hexadecimal digits'),
]
Level = Literal['DEBUG', 'INFO', 'WARNING', 'ERROR']


class Logs(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How a process logs.

    Args:
        json: whether lines are JSON objects.
        level: lowest level that is written.
    """

    json: bool = False
    level: Level = 'INFO'


class Operator(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Somebody who may change resources.

    Args:
        name: shown in the audit log.
        token_sha256: hexadecimal SHA-256 of the bearer token.
    """

    name: Name
    token_sha256: Sha256


class Peer(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One source, as every source and node knows it.

    Args:
        name: name of the source.
        control: address of its control listener (gRPC).
        api: address of its resource API (HTTP).
    """

    name: Name
    control: Address
    api: Address


class SourceSettings(
    Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field='role',
    tag='source',
):
    """Settings of a source.

    Args:
        name: name of the process, in the log lines; that of one of the
            sources, or of a spare source at `spare`.
        domain: failure domain of its VM.
        admin: address for dump and metrics (HTTP).
        shared_key: secret that all processes of the system share.
        sources: the group of sources at its founding; for a spare source
            and for a lost disk, sources to ask for a place.
        spare: addresses of this source where it is none of `sources`.
        may_found: whether an empty data folder may be that of a new group;
            if not, it waits until a leader gives it a place.
        data_folder: folder on a disk for the log and the snapshots.
        operators: who may write.
        keepers: keepers that each failure domain shall have, an odd number.
        logs: how it logs.
    """

    name: Name
    domain: Name
    admin: Address
    shared_key: Annotated[str, Meta(min_length=16)]
    sources: tuple[Peer, ...]
    spare: Peer | None = None
    may_found: bool = True
    data_folder: str
    operators: tuple[Operator, ...]
    keepers: Annotated[int, Meta(ge=1, le=7)] = 3
    logs: Logs = Logs()

    @property
    def endpoint(self) -> Peer:
        """Return where this source is.

        Raises:
            StopIteration: it is neither spare nor one of the sources.
        """
        if self.spare is not None:
            return self.spare
        return next(peer for peer in self.sources if peer.name == self.name)


class NodeSettings(
    Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field='role',
    tag='node',
):
    """Settings of a node.

    Args:
        name: name of the process, unique in the system.
        domain: failure domain of its VM.
        admin: address for dump, metrics and target announcements (HTTP).
        shared_key: secret that all processes of the system share.
        sources: all sources.
        control: address of its control listener (gRPC).
        gossip: address of its membership exchange (UDP).
        entry: address that callers send requests to (HTTP).
        peer: address that other nodes send calls to (HTTP).
        seeds: gossip addresses of a few nodes of the same failure domain.
        service: service whose target runs on the same VM, empty where it is
            not told; requests that enter here are marked with it.
        heartbeat_ms: time between two notices of the target, milliseconds.
        logs: how it logs.
    """

    name: Name
    domain: Name
    admin: Address
    shared_key: Annotated[str, Meta(min_length=16)]
    sources: tuple[Peer, ...]
    control: Address
    gossip: Address
    entry: Address
    peer: Address
    seeds: tuple[Address, ...] = ()
    service: str = ''
    heartbeat_ms: Annotated[int, Meta(ge=100, le=60_000)] = 1000
    logs: Logs = Logs()


Settings = SourceSettings | NodeSettings
