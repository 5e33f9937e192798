"""Resource: the records that operators write.

A resource is identified by its kind and name. Its resource version is the
configuration version that last changed it; zero stands for "does not exist".
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


class Service(Struct, frozen=True, kw_only=True, tag='service'):
    """A group of interchangeable targets.

    Args:
        name: unique among services.
        current: target version that receives traffic outside of moves; empty
            until the sources have seen which version serves, and every
            version receives traffic until then.
        slots: requests that one target runs at the same time.
        connections: connections that one target accepts.
    """

    name: str
    current: str = ''
    slots: int = 20
    connections: int = 110


class WeightedService(Struct, frozen=True, kw_only=True):
    """One part of a route that is split between services.

    Args:
        service: name of the service.
        weight: its part of the calls, relative to the sum of all weights.
    """

    service: str
    weight: int


class Route(Struct, frozen=True, kw_only=True, tag='route'):
    """A rule that sends requests with a path prefix to a service.

    Args:
        name: unique among routes.
        prefix: path prefix, starts with a slash; the longest match wins. One
            that ends with a slash matches only what lies below it.
        host: host that requests must name, in lower case and without a port;
            empty for any host. A route of the host wins over one of any.
        service: name of the service, empty where the route is split.
        split: services that share the calls; empty where `service` has all.
        idempotent: whether a request may be sent again after it may have run.
        attempts: targets that one call may be sent to.
        timeout_ms: longest time that a call may take, in milliseconds.
        objective_ms: time within which an answer has its full worth, in
            milliseconds; zero for the timeout.
        priority: rank of its calls, zero for the highest.
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

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of the services that calls may go to."""
        if self.split:
            return tuple(part.service for part in self.split)
        return (self.service,)


class TargetVersion(Struct, frozen=True, kw_only=True, tag='target-version'):
    """A version of the targets of one service; its name is service/label."""

    name: str
    service: str
    label: str


class Move(Struct, frozen=True, kw_only=True, tag='move'):
    """Moves the traffic of one service from an old version to a new one.

    Args:
        name: unique among moves.
        service: name of the service.
        old: label of the version that has the traffic; empty for the current
            version of the service.
        new: label of the version that shall have it.
        deadline_ms: end of the move, in milliseconds since 1970.
        bake_ms: time for which the full share is watched before the move
            counts as completed, in milliseconds.
    """

    name: str
    service: str
    new: str
    old: str = ''
    deadline_ms: int
    bake_ms: int = 2000


class Limits(Struct, frozen=True, kw_only=True, tag='limits'):
    """What callers may send, and how long they may take.

    Args:
        name: always `callers`.
        head_bytes: longest head of a request, bytes.
        body_bytes: longest body of a request, bytes.
        head_timeout_ms: longest time for a head to arrive, milliseconds.
        idle_timeout_ms: longest time without a request, milliseconds.
    """

    name: str = CALLERS
    head_bytes: int = 16_384
    body_bytes: int = 33_554_432
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


Resource = Service | Route | TargetVersion | Move | Limits
RESOURCE_KINDS: Final = {
    Service: Kind.SERVICE,
    Route: Kind.ROUTE,
    TargetVersion: Kind.TARGET_VERSION,
    Move: Kind.MOVE,
    Limits: Kind.LIMITS,
}


class Key(Struct, frozen=True, order=True):
    """The identity of a resource."""

    kind: str
    name: str


class Change(Struct, frozen=True, kw_only=True):
    """One wish of an operator: a resource put, or one deleted.

    Args:
        key: the resource meant.
        resource: its new content; None deletes it.
        base: resource version that the operator saw; None skips the check.
    """

    key: Key
    resource: Resource | None
    base: int | None = None


class Fault(Struct, frozen=True, kw_only=True):
    """One reason for which something was refused.

    Args:
        source: where it was found: a file and line, a resource key or a
            field.
        message: a short sentence for the operator.
    """

    source: str
    message: str


def key_of(resource: Resource) -> Key:
    """Return the identity of a resource."""
    return Key(RESOURCE_KINDS[type(resource)], resource.name)
