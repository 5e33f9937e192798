"""Translates the platform's settings file into the settings of a process.

Unknown keys are ignored, because the platform adds some over time.
"""

from pathlib import Path
from typing import Any, Final

import yaml
from msgspec import Struct, ValidationError, convert, field
from result import Err, Ok, Result

from medlarhoist.core.settings import Logs, NodeSettings, Peer, SourceSettings

SETTINGS_VARIABLE: Final = 'MEDLARHOIST_SETTINGS'
SOURCE_ROLE: Final = 'control_plane'
# The platform provides no secret; its network connects only its own
# machines.
SHARED_KEY: Final = 'medlarhoist-on-the-platform'
# Ports of a process, counted from the first port of its range. A source has
# an API (TCP) at the offset at which a node has gossip (UDP).
CONTROL_PORT_OFFSET: Final = 0
API_PORT_OFFSET: Final = 1
GOSSIP_PORT_OFFSET: Final = 1
ADMIN_PORT_OFFSET: Final = 2
# A failure domain has three or four nodes. Three of them are keepers: voting
# members of the quorum that holds the domain's floor, the lowest configuration
# version that its nodes may serve.
KEEPERS_PER_DOMAIN: Final = 3
_MS_PER_SECOND: Final = 1000


class _ProcessLimits(Struct, kw_only=True):
    """The table `limits` of a process, in megabytes; zero if unknown."""

    memory_mb: int = 0


class _Process(Struct, kw_only=True):
    """The table `self`: the process and its VM."""

    name: str = field(name='node')
    serves: tuple[str, ...]
    ip: str
    domain: str = field(name='zone')
    is_first_start: bool = field(name='bootstrap', default=False)
    data_folder: str | None = field(name='data_dir', default=None)
    service: str | None = None
    target: str | None = field(name='app_addr', default=None)
    limits: _ProcessLimits = field(default_factory=_ProcessLimits)


class _Listen(Struct, kw_only=True):
    """Addresses that the platform assigned, host:port; empty for none."""

    inbound: str = ''
    outbound: str = ''
    readiness: str = ''
    control: str = ''


class _Network(Struct, kw_only=True):
    """The table `network`.

    `seeds` are control addresses of the VMs that run sources.
    """

    listen: _Listen
    ports: tuple[int, int] = field(name='port_range')
    seeds: tuple[str, ...] = ()


class _Platform(Struct, kw_only=True):
    """The table `platform`; the heartbeat interval is in seconds."""

    heartbeat_s: float = 1.0


class _Bounds(Struct, kw_only=True):
    """The table `bounds`; times are in seconds.

    `grace_s` is the time from SIGTERM to SIGKILL. Keys that were withdrawn
    bind nodes out of touch only if `is_strict`.
    """

    grace_s: float = 60.0
    is_strict: bool = field(name='revoke_strict', default=False)
    revocation_s: float = field(name='revoke_s', default=0)


class _Terms(Struct, kw_only=True):
    """The table `terms`."""

    bounds: _Bounds = field(default_factory=_Bounds)


class _SettingsFile(Struct, kw_only=True):
    """The tables of the settings file that are read here."""

    process: _Process = field(name='self')
    network: _Network
    platform: _Platform = field(default_factory=_Platform)
    terms: _Terms = field(default_factory=_Terms)


class Deployment(Struct, frozen=True, kw_only=True):
    """Content of the platform's settings file, translated for one process.

    Args:
        process: settings of the source or node.
        control: address of the listener for operators (source) or for the
            target on the same VM (node), host:port.
        readiness: address of a node's listener for readiness checks,
            host:port; empty if there is none.
    """

    process: NodeSettings | SourceSettings
    control: str
    readiness: str


def read_deployment(path: Path) -> Result[Deployment, str]:
    """Read the platform's settings file.

    Returns:
        The settings, or a message that states why the file is unreadable or
        invalid.
    """
    try:
        content = yaml.load(path.read_text(), yaml.CSafeLoader)
    except (OSError, yaml.YAMLError) as exc:
        return Err(f'{path}: cannot be read: {exc}')
    return decode_deployment(content)


def decode_deployment(content: Any) -> Result[Deployment, str]:
    """Validate and translate the decoded content of a settings file.

    Returns:
        The settings, or a message that names the invalid key.
    """
    try:
        settings = convert(content, _SettingsFile)
    except ValidationError as exc:
        return Err(f'settings: {exc}')
    return Ok(_build(settings))


def _build(settings: _SettingsFile) -> Deployment:
    first_port = settings.network.ports[0]
    sources = tuple(
        _build_peer(seed, first_port) for seed in sorted(settings.network.seeds)
    )
    process: NodeSettings | SourceSettings
    if SOURCE_ROLE in settings.process.serves:
        process = _build_source(settings, sources)
    else:
        process = _build_node(settings, sources)
    return Deployment(
        process=process,
        control=settings.network.listen.control,
        readiness=settings.network.listen.readiness,
    )


def _build_peer(seed: str, first_port: int) -> Peer:
    """Return the source at a seed; a source is named by its IP address."""
    host = seed.partition(':')[0]
    return Peer(
        name=host,
        control=f'{host}:{first_port + CONTROL_PORT_OFFSET}',
        api=f'{host}:{first_port + API_PORT_OFFSET}',
    )


def _build_source(
    settings: _SettingsFile, sources: tuple[Peer, ...]
) -> SourceSettings:
    process = settings.process
    is_seed = process.ip in {peer.name for peer in sources}
    endpoint = Peer(
        name=process.ip,
        control=_local_address(settings, CONTROL_PORT_OFFSET),
        api=_local_address(settings, API_PORT_OFFSET),
    )
    return SourceSettings(
        name=process.ip,
        spare=None if is_seed and process.is_first_start else endpoint,
        may_found=process.is_first_start,
        domain=process.domain,
        admin=_local_address(settings, ADMIN_PORT_OFFSET),
        shared_key=SHARED_KEY,
        sources=sources,
        data_folder=process.data_folder or '',
        operators=(),
        keepers=KEEPERS_PER_DOMAIN,
        logs=Logs(json=True),
    )


def _build_node(
    settings: _SettingsFile, sources: tuple[Peer, ...]
) -> NodeSettings:
    process = settings.process
    listen = settings.network.listen
    bounds = settings.terms.bounds
    revocation_s = bounds.revocation_s if bounds.is_strict else 0
    return NodeSettings(
        name=process.name,
        domain=process.domain,
        admin=_local_address(settings, ADMIN_PORT_OFFSET),
        shared_key=SHARED_KEY,
        sources=sources,
        control=_local_address(settings, CONTROL_PORT_OFFSET),
        gossip=_local_address(settings, GOSSIP_PORT_OFFSET),
        entry=listen.outbound,
        peer=listen.inbound,
        service=process.service or '',
        target=process.target or '',
        heartbeat_ms=int(settings.platform.heartbeat_s * _MS_PER_SECOND),
        grace_ms=int(bounds.grace_s * _MS_PER_SECOND),
        revocation_ms=int(revocation_s * _MS_PER_SECOND),
        memory_mb=process.limits.memory_mb,
        logs=Logs(json=True),
    )


def _local_address(settings: _SettingsFile, offset: int) -> str:
    return f'{settings.process.ip}:{settings.network.ports[0] + offset}'
