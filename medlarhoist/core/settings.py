"""Settings: the configuration of one process, read from its settings file.

The records are checked by msgspec; unknown keys are refused. Addresses are
host:port with an IPv4 number.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Address = Annotated[
    str,
    Meta(
        pattern=r'^[0-9.]+:[0-9]{1,5}\Z',
        description='address like `10.0.0.1:7000`',
    ),
]
Name = Annotated[
    str,
    Meta(
        pattern=r'^[a-z0-9][a-z0-9.-]{0,62}\Z',
        description='name: lower-case letters, digits, dots and dashes',
    ),
]
Sha256 = Annotated[
    str,
    Meta(pattern=r'^[0-9a-f]{64}\Z', description='64 hexadecimal digits'),
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
    """Person or program that may change resources.

    Args:
        name: shown in the audit log.
        token_sha256: hexadecimal SHA-256 of the bearer token.
    """

    name: Name
    token_sha256: Sha256


class Peer(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Name and endpoint of one source, the same in all settings.

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
        name: name of the process in log lines; that of one of `sources`, or
            of a standby source, see `spare`.
        domain: failure domain of its VM.
        admin: address for dump and metrics (HTTP).
        shared_key: secret that all processes of the system share.
        sources: initial members of the group of sources; for a standby source,
            and for a source whose disk was lost, the sources to ask for a
            member slot.
        spare: name and addresses of this source if it is a standby source,
            that is, none of `sources`.
        may_found: whether a source with an empty data folder may bootstrap a
            new group; if not, it waits until a leader assigns it a member
            slot. A source whose slot was reassigned never may.
        data_folder: folder on a disk for the log and the snapshots.
        operators: operators that may write.
        keepers: number of keepers (voting members of the quorum) that each
            failure domain shall have, an odd number.
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
        """Return name, control and API address of this source.

        Raises:
            StopIteration: it is neither a standby source nor one of `sources`.
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
        peer: address that other nodes forward calls to (HTTP).
        seeds: gossip addresses of a few nodes of the same failure domain.
        service: service whose target runs on the same VM, empty if unknown;
            requests that enter at this node are marked with it, and notices
            of another service are refused.
        target: address that the target on the same VM listens on; notices of
            another address are refused. Empty if unknown.
        heartbeat_ms: heartbeat interval of the target, milliseconds.
        grace_ms: time from SIGTERM until the process is killed, milliseconds;
            requests that are in progress shortly before are ended.
        quarantine: whether requests that crash their targets are refused.
        revocation_ms: time after the acceptance of a version within which a
            key that it withdraws must be refused, also by a node that is out
            of touch, milliseconds; zero for no limit.
        client_memory_mb: memory that the connections of callers and other nodes
            may hold together, megabytes of 1,048,576 bytes; beyond it the
            largest are refused or closed. A connection counts with 4 KB, a
            request in progress with 16 KB besides its head and body.
        memory_mb: memory that the process may use, megabytes; connections may
            hold half of what it leaves beside the process at rest, if that is
            less than client_memory_mb. Zero if unknown.
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
    target: Address | Literal[''] = ''
    heartbeat_ms: Annotated[int, Meta(ge=100, le=60_000)] = 1000
    grace_ms: Annotated[int, Meta(ge=3000, le=600_000)] = 60_000
    quarantine: bool = True
    revocation_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    client_memory_mb: Annotated[int, Meta(ge=8, le=65_536)] = 64
    memory_mb: Annotated[int, Meta(ge=0, le=1_048_576)] = 0
    logs: Logs = Logs()


Settings = SourceSettings | NodeSettings
