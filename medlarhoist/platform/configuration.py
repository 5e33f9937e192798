"""Translates the platform's configuration document into resources.

The document is stored and returned byte by byte, which keeps the fields that
are not read here. The private records mirror the platform's document.
"""

from typing import Annotated, Any, Final

from msgspec import Meta, Struct, field, json
from result import Err, Ok, Result

from medlarhoist.core.accounts import digest_key
from medlarhoist.core.api_messages import REVISION_LIMIT, ReplaceRequest
from medlarhoist.core.check import SLOTS_LIMIT
from medlarhoist.core.digest import fingerprint_of
from medlarhoist.core.resource import (
    Account,
    Limits,
    Resource,
    Route,
    Service,
    WeightedService,
)
from medlarhoist.platform.names import (
    IDEMPOTENT_ROUTE_TYPES,
    NON_IDEMPOTENT_ROUTE_TYPES,
)
from medlarhoist.utils.web import JSON_ERRORS

_MS_PER_SECOND: Final = 1000
# What the ledger can store; the sources check the ranges of resources.
MAX_NUMBER: Final = 2**53
MAX_SECONDS: Final = 1_000_000_000
Number = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Seconds = Annotated[float, Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)]
Rate = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class _Service(Struct, kw_only=True):
    name: str
    connections: Number = field(name='max_connections')
    cold_rate: Rate = field(name='cold_per_s', default=float())


class _WeightedService(Struct, kw_only=True):
    service: str
    weight: Number


class _Route(Struct, kw_only=True):
    """A route; its kind determines whether its calls may be retried."""

    name: str
    prefix: str = field(name='path_prefix')
    kind: str = field(name='route_type')
    timeout_s: Seconds
    objective_s: Seconds = field(name='target_latency_s', default=0)
    priority: Number = 0
    service: str = ''
    split: tuple[_WeightedService, ...] = field(
        name='traffic_split', default=()
    )
    attempts: Number = field(name='max_attempts')
    anonymous: bool = field(name='public', default=False)


class _VirtualHost(Struct, kw_only=True):
    host: str
    paths: tuple[_Route, ...]


class _Limits(Struct, kw_only=True):
    head_bytes: Number = field(name='max_header_bytes')
    body_bytes: Number = field(name='max_body_bytes')
    head_timeout_s: Seconds = field(name='header_timeout_s')
    idle_timeout_s: Seconds


class _Account(Struct, kw_only=True):
    name: str
    keys: tuple[str, ...] = field(name='api_keys', default=())
    priority: Number | None = None
    rate: Seconds = field(name='rate_per_s', default=float())
    burst: Seconds = float()


class _Document(Struct, kw_only=True):
    revision: int = field(name='version')
    base: int = field(name='base_version')
    services: tuple[_Service, ...]
    hosts: tuple[_VirtualHost, ...] = field(name='virtual_hosts')
    limits: _Limits | None = None
    accounts: tuple[_Account, ...] = field(name='tenants', default=())


class _Body(Struct, frozen=True):
    """Input of the digest in the id of a request."""

    content: bytes


def read_configuration(body: bytes) -> Result[ReplaceRequest, str]:
    """Decode a complete configuration.

    References between resources and ranges are checked by the sources.

    Args:
        body: JSON as the platform's operators send it.

    Returns:
        The request that replaces the configuration, or a message that states
        why the document is invalid. The same body has the same request id, so
        that a resend is recognised.
    """
    try:
        doc = json.decode(body, type=_Document)
        text = body.decode()
    except JSON_ERRORS as exc:
        return Err(f'configuration: {exc}')
    fault = _find_fault(doc)
    if fault:
        return Err(f'configuration: {fault}')
    return Ok(
        ReplaceRequest(
            request_id=f'config-{doc.revision}-{fingerprint_of(_Body(body))}',
            revision=doc.revision,
            base=doc.base,
            resources=_build_resources(doc),
            document=text,
        ),
    )


def _find_fault(doc: _Document) -> str:
    """Return why the resources cannot hold the document, empty if they can."""
    for number in (doc.revision, doc.base):
        if not 0 <= number <= REVISION_LIMIT:
            return f'{number} is no version'
    for host in doc.hosts:
        if not host.host:
            return 'a host is empty'
        for path in host.paths:
            if (
                path.kind
                not in IDEMPOTENT_ROUTE_TYPES | NON_IDEMPOTENT_ROUTE_TYPES
            ):
                return f'route {path.name}: unknown type {path.kind!r}'
    return ''


def _build_resources(doc: _Document) -> tuple[Resource, ...]:
    resources: list[Resource] = [
        Service(
            name=service.name,
            slots=SLOTS_LIMIT,
            connections=service.connections,
            # The digest tells a whole number from an equal fraction.
            cold_rate=float(service.cold_rate),
        )
        for service in doc.services
    ]
    for host in doc.hosts:
        resources.extend(_build_route(host.host, path) for path in host.paths)
    if doc.limits is not None:
        resources.append(_build_limits(doc.limits))
    resources.extend(_build_account(account) for account in doc.accounts)
    return tuple(resources)


def _build_route(host: str, path: _Route) -> Route:
    return Route(
        name=path.name,
        host=host.lower(),
        prefix=path.prefix,
        service=path.service,
        split=tuple(
            WeightedService(service=weighted.service, weight=weighted.weight)
            for weighted in path.split
        ),
        idempotent=path.kind in IDEMPOTENT_ROUTE_TYPES,
        attempts=path.attempts,
        timeout_ms=_to_ms(path.timeout_s),
        objective_ms=_to_ms(path.objective_s),
        priority=path.priority,
        anonymous=path.anonymous,
    )


def _build_account(account: _Account) -> Account:
    keys = dict.fromkeys(account.keys)
    return Account(
        name=account.name,
        key_digests=tuple(digest_key(key.encode()) for key in keys),
        priority=account.priority,
        rate=float(account.rate),
        burst=float(account.burst),
    )


def _build_limits(limits: _Limits) -> Limits:
    return Limits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        head_timeout_ms=_to_ms(limits.head_timeout_s),
        idle_timeout_ms=_to_ms(limits.idle_timeout_s),
    )


def _to_ms(seconds: Any) -> int:
    return round(seconds * _MS_PER_SECOND)
