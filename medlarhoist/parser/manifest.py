"""Manifest: resources as operators write them in YAML.

Each YAML document of a file is one resource. Times are written as durations.
A target version has no `name` field: its name is service/label.
"""

from typing import Annotated, Any, Final

from msgspec import Meta, Struct

from medlarhoist.core.check import (
    ATTEMPTS_LIMIT,
    CONNECTIONS_LIMIT,
    PRIORITY_LIMIT,
    SLOTS_LIMIT,
    WEIGHT_LIMIT,
)
from medlarhoist.core.compile import DEFAULT_LIMITS
from medlarhoist.core.resource import (
    DEFAULT_ATTEMPTS,
    Account,
    Change,
    DomainDrain,
    Fault,
    Limits,
    Move,
    Resource,
    Route,
    Service,
    TargetVersion,
    WeightedService,
    key_of,
)
from medlarhoist.parser.document import (
    Document,
    convert_document,
    fault_at,
    read_documents,
)
from medlarhoist.parser.duration import (
    Duration,
    parse_deadline,
    parse_duration,
)

VERSION_LIMIT: Final = 2**62

ResourceVersion = Annotated[int, Meta(ge=0, le=VERSION_LIMIT)]
Slots = Annotated[int, Meta(ge=1, le=SLOTS_LIMIT)]
Connections = Annotated[int, Meta(ge=1, le=CONNECTIONS_LIMIT)]
Attempts = Annotated[int, Meta(ge=1, le=ATTEMPTS_LIMIT)]
Priority = Annotated[int, Meta(ge=0, le=PRIORITY_LIMIT)]
Weight = Annotated[int, Meta(ge=0, le=WEIGHT_LIMIT)]


class _Manifest(
    Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field='kind',
):
    """Fields that every document may have.

    Args:
        base: resource version that the change is based on; the change is
            refused if another one is in force. Without it, the change is made
            in any case.
    """

    base: ResourceVersion | None = None


class ServiceManifest(_Manifest, frozen=True, kw_only=True, tag='service'):
    """A service, see `core.resource.Service`."""

    name: str
    current: str = ''
    slots: Slots = 20
    connections: Connections = 110
    cold_rate: float = float()


class WeightedServiceManifest(Struct, frozen=True, forbid_unknown_fields=True):
    """One service of a split route and its weight."""

    service: str
    weight: Weight


class RouteManifest(_Manifest, frozen=True, kw_only=True, tag='route'):
    """A route, see `core.resource.Route`.

    Names one service, or splits its calls between several.
    """

    name: str
    prefix: str
    host: str = ''
    service: str = ''
    split: tuple[WeightedServiceManifest, ...] = ()
    idempotent: bool = False
    attempts: Attempts = DEFAULT_ATTEMPTS
    timeout: Duration = '5s'
    objective: Duration | None = None
    priority: Priority = 0
    anonymous: bool = False


class LimitsManifest(_Manifest, frozen=True, kw_only=True, tag='limits'):
    """Limits on callers' requests, see `core.resource.Limits`."""

    head_bytes: int = DEFAULT_LIMITS.head_bytes
    body_bytes: int = DEFAULT_LIMITS.body_bytes
    head_timeout: Duration = '10s'
    idle_timeout: Duration = '75s'


class AccountManifest(_Manifest, frozen=True, kw_only=True, tag='account'):
    """A client account, see `core.resource.Account`."""

    name: str
    key_digests: tuple[str, ...] = ()
    priority: Priority | None = None
    rate: float = float()
    burst: float = float()


class DomainDrainManifest(
    _Manifest,
    frozen=True,
    kw_only=True,
    tag='domain-drain',
):
    """A drain of a failure domain, see `core.resource.DomainDrain`."""

    name: str


class TargetVersionManifest(
    _Manifest,
    frozen=True,
    kw_only=True,
    tag='target-version',
):
    """A target version, see `core.resource.TargetVersion`."""

    service: str
    label: str


class MoveManifest(_Manifest, frozen=True, kw_only=True, tag='move'):
    """A move, the rollout of a target version; see `core.resource.Move`.

    The deadline is a duration from now or an RFC 3339 time with its zone.
    """

    name: str
    service: str
    new: str
    old: str = ''
    deadline: str
    bake: Duration = '2s'


Manifest = (
    ServiceManifest
    | RouteManifest
    | TargetVersionManifest
    | MoveManifest
    | LimitsManifest
    | AccountManifest
    | DomainDrainManifest
)


def parse_manifest(
    text: str,
    source: str,
    now_ms: int,
) -> tuple[tuple[Change, ...], tuple[Fault, ...]]:
    """Parse the resources of a file.

    Args:
        text: complete text of the file.
        source: name of the file, for faults.
        now_ms: current time, milliseconds since 1970, for deadlines.

    Returns:
        A change for each valid resource, in the order of the file, and all
        faults. The caller applies none of the changes if there is a fault.
    """
    documents, faults = read_documents(text, source)
    changes: list[Change] = []
    found = list(faults)
    for document in documents:
        if document.content is None:
            continue
        manifest, type_faults = convert_document(document, Manifest)
        if manifest is None:
            found.extend(type_faults)
            continue
        resource = _build_resource(manifest, now_ms)
        if resource is None:
            message = 'is neither a duration like 30s nor an RFC 3339 time'
            found.append(fault_at(document, '$.deadline', message))
            continue
        found.extend(_check_duplicate(document, resource, changes))
        changes.append(
            Change(
                key=key_of(resource),
                resource=resource,
                base=manifest.base,
            ),
        )
    if not changes and not found:
        found.append(Fault(source=source, message='contains no resource'))
    return tuple(changes), tuple(found)


def _check_duplicate(
    document: Document,
    resource: Resource,
    changes: list[Change],
) -> tuple[Fault, ...]:
    key = key_of(resource)
    if any(change.key == key for change in changes):
        message = f'{key.kind}/{key.name} is defined twice'
        return (fault_at(document, '$.kind', message),)
    return ()


def _build_resource(manifest: Any, now_ms: int) -> Resource | None:
    if isinstance(manifest, ServiceManifest):
        return Service(
            name=manifest.name,
            current=manifest.current,
            slots=manifest.slots,
            connections=manifest.connections,
            cold_rate=manifest.cold_rate,
        )
    if isinstance(manifest, RouteManifest):
        return _build_route(manifest)
    if isinstance(manifest, LimitsManifest):
        return Limits(
            head_bytes=manifest.head_bytes,
            body_bytes=manifest.body_bytes,
            head_timeout_ms=parse_duration(manifest.head_timeout) or 0,
            idle_timeout_ms=parse_duration(manifest.idle_timeout) or 0,
        )
    if isinstance(manifest, TargetVersionManifest):
        return TargetVersion(
            name=f'{manifest.service}/{manifest.label}',
            service=manifest.service,
            label=manifest.label,
        )
    if isinstance(manifest, AccountManifest):
        return Account(
            name=manifest.name,
            key_digests=manifest.key_digests,
            priority=manifest.priority,
            rate=float(manifest.rate),
            burst=float(manifest.burst),
        )
    if isinstance(manifest, DomainDrainManifest):
        return DomainDrain(name=manifest.name)
    return _build_move(manifest, now_ms)


def _build_route(manifest: RouteManifest) -> Route:
    return Route(
        name=manifest.name,
        prefix=manifest.prefix,
        host=manifest.host,
        service=manifest.service,
        split=tuple(
            WeightedService(service=weighted.service, weight=weighted.weight)
            for weighted in manifest.split
        ),
        idempotent=manifest.idempotent,
        attempts=manifest.attempts,
        timeout_ms=parse_duration(manifest.timeout) or 0,
        objective_ms=parse_duration(manifest.objective or '') or 0,
        priority=manifest.priority,
        anonymous=manifest.anonymous,
    )


def _build_move(manifest: MoveManifest, now_ms: int) -> Move | None:
    deadline_ms = parse_deadline(manifest.deadline, now_ms)
    if deadline_ms is None:
        return None
    return Move(
        name=manifest.name,
        service=manifest.service,
        old=manifest.old,
        new=manifest.new,
        deadline_ms=deadline_ms,
        bake_ms=parse_duration(manifest.bake) or 0,
    )
