"""Resources: the records that operators write.

A resource is identified by its kind and name. Its resource version is the
configuration version that last changed it; zero means that the resource does
not exist.
"""

from enum import StrEnum
from typing import Final

from msgspec import Struct

ABSENT: Final = 0
CALLERS: Final = 'callers'
DEFAULT_ATTEMPTS: Final = 4


class Kind(StrEnum):
    """The kinds of resource."""

    SERVICE = 'service'
    ROUTE = 'route'
    TARGET_VERSION = 'target-version'
    MOVE = 'move'
    LIMITS = 'limits'
    ACCOUNT = 'account'
    DOMAIN_DRAIN = 'domain-drain'


class Service(Struct, frozen=True, kw_only=True, tag='service'):
    """A group of interchangeable targets.

    Args:
        name: unique among services.
        current: label of the target version that receives traffic outside of
            moves. Empty until the sources have observed which version serves
            calls; until then every version receives traffic.
        slots: number of requests that one target runs concurrently.
        connections: number of connections that one target accepts.
        cold_rate: requests per second that one target accepts while it is
            cold, from all nodes together; zero for no such limit.
    """

    name: str
    current: str = ''
    slots: int = 20
    connections: int = 110
    cold_rate: float = float()


class WeightedService(Struct, frozen=True, kw_only=True):
    """A service and its weight in a route that is split between services.

    Args:
        service: name of the service.
        weight: share of the calls, relative to the sum of the route's
            weights.
    """

    service: str
    weight: int


class Route(Struct, frozen=True, kw_only=True, tag='route'):
    """A rule that sends requests with a path prefix to a service.

    Args:
        name: unique among routes.
        prefix: path prefix, starts with a slash; the longest match wins. A
            prefix that ends with a slash matches only paths below it.
        host: host that requests must name, in lower case and without a port;
            empty for any host. A route with the request's host takes
            precedence over routes for any host.
        service: name of the service, empty if the route is split.
        split: services that share the calls, empty if `service` gets all.
        idempotent: whether a request may be retried although it may have run.
        attempts: maximum number of targets that one call is sent to.
        timeout_ms: maximum duration of a call, in milliseconds.
        objective_ms: latency objective of a call, in milliseconds; zero for
            the timeout.
        priority: rank of its calls, zero for the highest.
        anonymous: whether its calls need no key of a client account, also
            where the configuration has accounts.
    """

    name: str
    prefix: str
    host: str = ''
    service: str = ''
    split: tuple[WeightedService, ...] = ()
    idempotent: bool = False
    attempts: int = DEFAULT_ATTEMPTS
    timeout_ms: int = 5000
    objective_ms: int = 0
    priority: int = 0
    anonymous: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of the services that calls may go to."""
        if self.split:
            return tuple(part.service for part in self.split)
        return (self.service,)


class TargetVersion(Struct, frozen=True, kw_only=True, tag='target-version'):
    """A version of the targets of one service.

    Args:
        name: always service/label.
        service: name of the service.
        label: label of the version, unique within the service.
    """

    name: str
    service: str
    label: str


class Move(Struct, frozen=True, kw_only=True, tag='move'):
    """Rollout of a target version of one service.

    Shifts the service's traffic step by step from an old version to a new one.

    Args:
        name: unique among moves.
        service: name of the service.
        new: label of the version that the traffic is shifted to.
        old: label of the version that has the traffic; empty for the current
            version of the service.
        deadline_ms: latest end of the move, in milliseconds since 1970.
        bake_ms: time for which the new version is observed at its full share
            before the move is completed, in milliseconds.
    """

    name: str
    service: str
    new: str
    old: str = ''
    deadline_ms: int
    bake_ms: int = 2000


class Limits(Struct, frozen=True, kw_only=True, tag='limits'):
    """Size and time limits for the requests of callers.

    Args:
        name: always `callers`.
        head_bytes: maximum size of a request head, in bytes.
        body_bytes: maximum size of a request body, in bytes.
        head_timeout_ms: maximum time to receive a head, in milliseconds.
        idle_timeout_ms: maximum time that a connection stays open without a
            request, in milliseconds.
    """

    name: str = CALLERS
    head_bytes: int = 16_384
    body_bytes: int = 33_554_432
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


class Account(Struct, frozen=True, kw_only=True, tag='account'):
    """A client account, whose callers identify themselves by a key.

    Args:
        name: unique among accounts; targets receive it with each request.
        key_digests: SHA-256 digests of the keys, 64 hexadecimal digits each.
            The keys themselves are never stored with the account.
        priority: rank of its calls, takes precedence over that of the route;
            None for that of the route.
        rate: requests per second that all nodes together accept, zero for no
            limit.
        burst: requests that may be accepted beyond the rate.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int | None = None
    rate: float = float()
    burst: float = float()


class DomainDrain(Struct, frozen=True, kw_only=True, tag='domain-drain'):
    """An order that the targets of a failure domain receive no more calls.

    The order holds from its acceptance until it is deleted.

    Args:
        name: name of the failure domain.
    """

    name: str


Resource = (
    Service | Route | TargetVersion | Move | Limits | Account | DomainDrain
)
RESOURCE_KINDS: Final = {
    Service: Kind.SERVICE,
    Route: Kind.ROUTE,
    TargetVersion: Kind.TARGET_VERSION,
    Move: Kind.MOVE,
    Limits: Kind.LIMITS,
    Account: Kind.ACCOUNT,
    DomainDrain: Kind.DOMAIN_DRAIN,
}


class Key(Struct, frozen=True, order=True):
    """The identity of a resource."""

    kind: str
    name: str


class Change(Struct, frozen=True, kw_only=True):
    """Puts or deletes one resource.

    Args:
        key: key of the resource.
        resource: its new content; None deletes it.
        base: resource version that the operator's change is based on; a
            conflict if another is in force. None skips the check.
    """

    key: Key
    resource: Resource | None
    base: int | None = None


class Fault(Struct, frozen=True, kw_only=True):
    """A reason why a request, a record or a document was refused.

    Args:
        source: location of the fault: a file and line, a resource key or a
            field.
        message: a short sentence for the operator.
    """

    source: str
    message: str


def key_of(resource: Resource) -> Key:
    """Return the kind and name of a resource."""
    return Key(RESOURCE_KINDS[type(resource)], resource.name)
