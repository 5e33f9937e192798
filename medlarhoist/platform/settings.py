"""Settings: the platform's settings file as the settings of a process.

Keys that are not read here are ignored, as the platform adds some over time.
"""

from pathlib import Path
from typing import Any, Final

import yaml
from msgspec import Struct, ValidationError, convert, field
from result import Err, Ok, Result

from medlarhoist.core.settings import Logs, NodeSettings, Peer, SourceSettings

SETTINGS_VARIABLE: Final = 'MEDLARHOIST_SETTINGS'
SOURCE_ROLE: Final = 'control_plane'
# The platform hands out no secret; its network reaches only its own machines.
SHARED_KEY: Final = 'medlarhoist-on-the-platform'
CONTROL_OFFSET: Final = 0
API_OFFSET: Final = 1
GOSSIP_OFFSET: Final = 1
ADMIN_OFFSET: Final = 2
# Three of a failure domain's three or four nodes keep its floor.
KEEPERS_PER_DOMAIN: Final = 3
_MS_PER_SECOND: Final = 1000


class _Process(Struct, kw_only=True):
    """The table `self`: the process and its machine."""

    name: str = field(name='node')
    serves: tuple[str, ...]
    ip: str
    domain: str = field(name='zone')
    is_first_start: bool = field(name='bootstrap', default=False)
    data_folder: str | None = field(name='data_dir', default=None)
    service: str = ''


class _Listen(Struct, kw_only=True):
    """Addresses that the platform chose, host:port; empty for none."""

    inbound: str = ''
    outbound: str = ''
    readiness: str = ''
    control: str = ''


class _Network(Struct, kw_only=True):
    """The table `network`.

    `seeds` are control addresses of machines that run sources.
    """

    listen: _Listen
    ports: tuple[int, int] = field(name='port_range')
    seeds: tuple[str, ...] = ()


class _Platform(Struct, kw_only=True):
    """The table `platform`; the heartbeat is in seconds."""

    heartbeat_s: float = 1.0


class _File(Struct, kw_only=True):
    """The whole file."""

    process: _Process = field(name='self')
    network: _Network
    platform: _Platform = field(default_factory=_Platform)


class Deployment(Struct, frozen=True, kw_only=True):
    """What a process is told by the platform.

    Args:
        process: settings of the process in the product's own terms.
        control: address for operators, or for the target beside a node.
        readiness: address that asks a node whether it takes calls.
    """

    process: NodeSettings | SourceSettings
    control: str
    readiness: str


def read_deployment(path: Path) -> Result[Deployment, str]:
    """Read the platform's settings file.

    Returns:
        What it says, or a short sentence on what cannot be read.
    """
    try:
        content = yaml.load(path.read_text(), yaml.CSafeLoader)
    except (OSError, yaml.YAMLError) as exc:
        return Err(f'{path}: cannot be read: {exc}')
    return decode_deployment(content)


def decode_deployment(content: Any) -> Result[Deployment, str]:
    """Turn the content of a settings file into settings."""
    try:
        told = convert(content, _File)
    except ValidationError as exc:
        return Err(f'settings: {exc}')
    return Ok(_build(told))


def _build(told: _File) -> Deployment:
    first_port = told.network.ports[0]
    sources = tuple(
        _build_peer(seed, first_port) for seed in sorted(told.network.seeds)
    )
    process: NodeSettings | SourceSettings
    if SOURCE_ROLE in told.process.serves:
        process = _build_source(told, sources)
    else:
        process = _build_node(told, sources)
    return Deployment(
        process=process,
        control=told.network.listen.control,
        readiness=told.network.listen.readiness,
    )


def _build_peer(seed: str, first_port: int) -> Peer:
    """Return the source at a seed; sources are named by their IP numbers."""
    host = seed.partition(':')[0]
    return Peer(
        name=host,
        control=f'{host}:{first_port + CONTROL_OFFSET}',
        api=f'{host}:{first_port + API_OFFSET}',
    )


def _build_source(told: _File, sources: tuple[Peer, ...]) -> SourceSettings:
    own = told.process
    is_founder = own.ip in {peer.name for peer in sources}
    spare = Peer(
        name=own.ip,
        control=_own_address(told, CONTROL_OFFSET),
        api=_own_address(told, API_OFFSET),
    )
    return SourceSettings(
        name=own.ip,
        spare=None if is_founder and own.is_first_start else spare,
        may_found=own.is_first_start,
        domain=own.domain,
        admin=_own_address(told, ADMIN_OFFSET),
        shared_key=SHARED_KEY,
        sources=sources,
        data_folder=own.data_folder or '',
        operators=(),
        keepers=KEEPERS_PER_DOMAIN,
        logs=Logs(json=True),
    )


def _build_node(told: _File, sources: tuple[Peer, ...]) -> NodeSettings:
    own = told.process
    listen = told.network.listen
    return NodeSettings(
        name=own.name,
        domain=own.domain,
        admin=_own_address(told, ADMIN_OFFSET),
        shared_key=SHARED_KEY,
        sources=sources,
        control=_own_address(told, CONTROL_OFFSET),
        gossip=_own_address(told, GOSSIP_OFFSET),
        entry=listen.outbound,
        peer=listen.inbound,
        service=own.service,
        heartbeat_ms=int(told.platform.heartbeat_s * _MS_PER_SECOND),
        logs=Logs(json=True),
    )


def _own_address(told: _File, offset: int) -> str:
    return f'{told.process.ip}:{told.network.ports[0] + offset}'
