"""Configuration: the platform's document as a whole configuration.

The document is kept as it came and given back byte by byte, so that nothing
that is not read here gets lost.
"""

from typing import Any, Final

from msgspec import DecodeError, Struct, ValidationError, field, json
from result import Err, Ok, Result

from medlarhoist.core.api_messages import REVISION_LIMIT, ReplaceRequest
from medlarhoist.core.check import SLOTS_LIMIT
from medlarhoist.core.digest import fingerprint_of
from medlarhoist.core.resource import Limits, Part, Resource, Route, Service
from medlarhoist.platform.names import REPEATABLE_KINDS, SINGLE_KINDS

_MS_PER_SECOND: Final = 1000


class _Service(Struct, kw_only=True):
    name: str
    connections: int = field(name='max_connections')


class _Part(Struct, kw_only=True):
    service: str
    weight: int


class _Path(Struct, kw_only=True):
    """A route; times are in seconds, `kind` says whether it may be repeated."""

    name: str
    prefix: str = field(name='path_prefix')
    kind: str = field(name='route_type')
    timeout_s: float
    objective_s: float = field(name='target_latency_s', default=0)
    priority: int = 0
    service: str = ''
    split: tuple[_Part, ...] = field(name='traffic_split', default=())
    attempts: int = field(name='max_attempts')


class _Host(Struct, kw_only=True):
    host: str
    paths: tuple[_Path, ...]


class _Limits(Struct, kw_only=True):
    head_bytes: int = field(name='max_header_bytes')
    body_bytes: int = field(name='max_body_bytes')
    head_timeout_s: float = field(name='header_timeout_s')
    idle_timeout_s: float


class _Document(Struct, kw_only=True):
    revision: int = field(name='version')
    base: int = field(name='base_version')
    services: tuple[_Service, ...]
    hosts: tuple[_Host, ...] = field(name='virtual_hosts')
    limits: _Limits | None = None


class _Body(Struct, frozen=True):
    """What the id of a request is made of."""

    content: bytes


def read_configuration(body: bytes) -> Result[ReplaceRequest, str]:
    """Read a whole configuration.

    Returns:
        The request that puts it in force, or what is wrong with the document.
        References and ranges are left to the sources.
    """
    try:
        told = json.decode(body, type=_Document)
        text = body.decode()
    except (DecodeError, ValidationError, UnicodeDecodeError) as exc:
        return Err(f'configuration: {exc}')
    fault = _find_fault(told)
    if fault:
        return Err(f'configuration: {fault}')
    return Ok(
        ReplaceRequest(
            request_id=f'config-{told.revision}-{fingerprint_of(_Body(body))}',
            revision=told.revision,
            base=told.base,
            resources=_build_resources(told),
            document=text,
        ),
    )


def _find_fault(told: _Document) -> str:
    """Return what the product's records have no place for."""
    for number in (told.revision, told.base):
        if not 0 <= number <= REVISION_LIMIT:
            return f'{number} is no version'
    for host in told.hosts:
        if not host.host:
            return 'a host is empty'
        for path in host.paths:
            if path.kind not in REPEATABLE_KINDS | SINGLE_KINDS:
                return f'route {path.name}: unknown type {path.kind!r}'
    return ''


def _build_resources(told: _Document) -> tuple[Resource, ...]:
    resources: list[Resource] = [
        Service(
            name=service.name,
            slots=SLOTS_LIMIT,
            connections=service.connections,
        )
        for service in told.services
    ]
    for host in told.hosts:
        resources.extend(_build_route(host.host, path) for path in host.paths)
    if told.limits is not None:
        resources.append(_build_limits(told.limits))
    return tuple(resources)


def _build_route(host: str, path: _Path) -> Route:
    return Route(
        name=path.name,
        host=host.lower(),
        prefix=path.prefix,
        service=path.service,
        split=tuple(
            Part(service=part.service, weight=part.weight)
            for part in path.split
        ),
        idempotent=path.kind in REPEATABLE_KINDS,
        attempts=path.attempts,
        timeout_ms=_to_ms(path.timeout_s),
        objective_ms=_to_ms(path.objective_s),
        priority=path.priority,
    )


def _build_limits(told: _Limits) -> Limits:
    return Limits(
        head_bytes=told.head_bytes,
        body_bytes=told.body_bytes,
        head_timeout_ms=_to_ms(told.head_timeout_s),
        idle_timeout_ms=_to_ms(told.idle_timeout_s),
    )


def _to_ms(seconds: Any) -> int:
    return round(seconds * _MS_PER_SECOND)
