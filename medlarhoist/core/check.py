"""Validation of snapshots.

Checks that depend on a single record are cached, since a change leaves nearly
all records as they are. Order, references and prefixes are checked every time.
Faults are returned in the order of the snapshot.
"""

import re
from collections.abc import Callable, Iterable, Iterator
from functools import lru_cache
from typing import Any, Final

from msgspec import Struct

from medlarhoist.core.resource import (
    CALLERS,
    Account,
    DomainDrain,
    Fault,
    Limits,
    Route,
    Service,
    TargetVersion,
)
from medlarhoist.core.snapshot import FULL_SHARE, Share, Snapshot

SLOTS_LIMIT: Final = 10_000
CONNECTIONS_LIMIT: Final = 100_000
TIMEOUT_LIMIT_MS: Final = 600_000
PREFIX_LIMIT_BYTES: Final = 512
ATTEMPTS_LIMIT: Final = 100
WEIGHT_LIMIT: Final = 1_000_000
PRIORITY_LIMIT: Final = 1000
HEAD_LIMIT_BYTES: Final = 1_048_576
BODY_LIMIT_BYTES: Final = 1_099_511_627_776
RATE_LIMIT: Final = 1_000_000_000
DOMAIN_LIMIT_CHARS: Final = 256
ACCOUNT_LIMIT_CHARS: Final = 256
RECORD_CACHE_SIZE: Final = 32_768

_KEY_DIGEST: Final = re.compile('[0-9a-f]{64}')
_NAME: Final = re.compile(r'[a-z0-9][a-z0-9.-]{0,62}')
_PREFIX: Final = re.compile(r"/|(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)+/?")
_HOST: Final = re.compile('([a-z0-9_-]+[.])*[a-z0-9_-]+')
_NAME_RULE: Final = 'lower-case letters, digits, dots and dashes, at most 63'

Messages = tuple[str, ...]
SnapshotRecord = (
    Service | Route | TargetVersion | Limits | Account | DomainDrain
)


class DefinedNames(Struct, frozen=True):
    """Names that references in a snapshot may point to.

    Args:
        current: label of the current version by service name, empty if the
            service has no current version yet.
        versions: names (service/label) of the target versions.
    """

    current: dict[str, str]
    versions: frozenset[str]


_ReferenceCheck = Callable[[Any, DefinedNames], Messages]
_FieldCheck = Callable[[Any], Messages]


def check_snapshot(snapshot: Snapshot) -> tuple[Fault, ...]:
    """Return every fault of a snapshot, an empty tuple if it is valid."""
    names = DefinedNames(
        {service.name: service.current for service in snapshot.services},
        frozenset(version.name for version in snapshot.target_versions),
    )
    faults = [
        *_check_each(
            'service', snapshot.services, _check_service_references, names
        ),
        *_check_each('route', snapshot.routes, _check_route_references, names),
        *_check_each(
            'target-version',
            snapshot.target_versions,
            _check_target_version_references,
            names,
        ),
        *_check_shares(snapshot.shares, names),
        *_check_each('limits', snapshot.limits, _check_no_references, names),
        *_check_each('account', snapshot.accounts, _check_no_references, names),
        *_check_each(
            'domain-drain',
            snapshot.domain_drains,
            _check_no_references,
            names,
        ),
        *_check_unique_prefixes(snapshot.routes),
        *_check_unique_keys(snapshot.accounts),
    ]
    return tuple(faults)


def check_record(
    record: SnapshotRecord,
    names: DefinedNames,
) -> Messages:
    """Return the faults of a record's own fields and of its references.

    Order and uniqueness (of names, and of the prefixes of routes) are not
    checked here.
    """
    return _check_fields(record) + _REFERENCE_CHECKS[type(record)](
        record, names
    )


def check_share(share: Share, names: DefinedNames) -> Messages:
    """Return the faults of a share; order and uniqueness are not checked."""
    messages = (
        *check_range('basis_points', share.basis_points, 0, FULL_SHARE),
        *_check_version_exists('old', share.service, share.old, names),
        *_check_version_exists('new', share.service, share.new, names),
        *_check_service_exists(share.service, names),
    )
    if share.old == share.new:
        messages += (f'new: {share.new!r} is the old version too',)
    current = names.current.get(share.service, share.old)
    if current != share.old:
        text = f'old: {share.old!r} is not the current version {current!r}'
        messages += (text,)
    return messages


def check_name(field: str, name: str) -> Messages:
    """Return a message if a name is malformed, an empty tuple otherwise."""
    if _NAME.fullmatch(name):
        return ()
    return (f'{field}: {name!r} is no name ({_NAME_RULE})',)


def check_range(field: str, number: float, low: int, high: int) -> Messages:
    """Return a message if a number is not in low..high, both inclusive."""
    if low <= number <= high:
        return ()
    return (f'{field}: {number} is not in {low}..{high}',)


def _check_each(
    kind: str,
    records: Iterable[Any],
    check_references: _ReferenceCheck,
    names: DefinedNames,
) -> list[Fault]:
    faults: list[Fault] = []
    previous = ''
    for record in records:
        messages = _check_fields(record) + check_references(record, names)
        if record.name <= previous:
            messages += ('name: stands twice or out of order',)
        previous = record.name
        if messages:
            source = f'{kind}/{record.name}'
            faults.extend(Fault(source=source, message=m) for m in messages)
    return faults


@lru_cache(maxsize=RECORD_CACHE_SIZE)
def _check_fields(record: SnapshotRecord) -> Messages:
    return _FIELD_CHECKS[type(record)](record)


def _check_service(service: Service) -> Messages:
    connections = service.connections
    return (
        *check_name('name', service.name),
        *check_range('slots', service.slots, 1, SLOTS_LIMIT),
        *check_range('connections', connections, 1, CONNECTIONS_LIMIT),
        *check_range('cold_rate', service.cold_rate, 0, RATE_LIMIT),
    )


def _check_route(route: Route) -> Messages:
    return (
        *check_name('name', route.name),
        *_check_numbers(route),
        *_check_host(route.host),
        *_check_prefix(route.prefix),
        *_check_split(route),
    )


def _check_numbers(route: Route) -> Messages:
    return (
        *check_range('timeout_ms', route.timeout_ms, 1, TIMEOUT_LIMIT_MS),
        *check_range('objective_ms', route.objective_ms, 0, TIMEOUT_LIMIT_MS),
        *check_range('attempts', route.attempts, 1, ATTEMPTS_LIMIT),
        *check_range('priority', route.priority, 0, PRIORITY_LIMIT),
    )


def _check_host(host: str) -> Messages:
    if not host or _HOST.fullmatch(host):
        return ()
    return (f'host: {host!r} is no host name in lower case',)


def _check_split(route: Route) -> Messages:
    if not route.split:
        return () if route.service else ('service: is empty',)
    if route.service:
        return ('split: stands beside a service',)
    names = [part.service for part in route.split]
    weights = [part.weight for part in route.split]
    messages = [
        message
        for weight in weights
        for message in check_range('weight', weight, 0, WEIGHT_LIMIT)
    ]
    if len(set(names)) < len(names):
        messages.append('split: names a service twice')
    if not sum(weights):
        messages.append('split: the weights add up to zero')
    return tuple(messages)


def _check_limits(limits: Limits) -> Messages:
    messages = (
        *check_range('head_bytes', limits.head_bytes, 1, HEAD_LIMIT_BYTES),
        *check_range('body_bytes', limits.body_bytes, 0, BODY_LIMIT_BYTES),
        *_check_timeout('head_timeout_ms', limits.head_timeout_ms),
        *_check_timeout('idle_timeout_ms', limits.idle_timeout_ms),
    )
    if limits.name == CALLERS:
        return messages
    return (*messages, f'name: {limits.name!r} is not {CALLERS!r}')


def _check_account(account: Account) -> Messages:
    messages = (
        *_check_text('name', account.name, ACCOUNT_LIMIT_CHARS),
        *check_range('rate', account.rate, 0, RATE_LIMIT),
        *check_range('burst', account.burst, 0, RATE_LIMIT),
    )
    if account.priority is not None:
        messages += check_range('priority', account.priority, 0, PRIORITY_LIMIT)
    if all(_KEY_DIGEST.fullmatch(digest) for digest in account.key_digests):
        return messages
    return (*messages, 'key_digests: not 64 lower-case hexadecimal digits')


def _check_domain_drain(drain: DomainDrain) -> Messages:
    return _check_text('name', drain.name, DOMAIN_LIMIT_CHARS)


def _check_text(field: str, text: str, limit: int) -> Messages:
    if text.isprintable() and 0 < len(text) <= limit:
        return ()
    return (f'{field}: empty, not printable or longer than {limit}',)


def _check_timeout(field: str, time_ms: int) -> Messages:
    return check_range(field, time_ms, 1, TIMEOUT_LIMIT_MS)


def _check_prefix(prefix: str) -> Messages:
    if len(prefix) > PREFIX_LIMIT_BYTES:
        return (f'prefix: longer than {PREFIX_LIMIT_BYTES} bytes',)
    if _PREFIX.fullmatch(prefix):
        return ()
    return (f'prefix: {prefix!r} is no path like / or /seats',)


def _check_target_version(version: TargetVersion) -> Messages:
    messages = check_name('label', version.label)
    expected = f'{version.service}/{version.label}'
    if version.name == expected:
        return messages
    return (*messages, f'name: is not {expected!r}, its service and label')


def _check_service_references(
    service: Service, names: DefinedNames
) -> Messages:
    if not service.current:
        return ()
    return _check_version_exists(
        'current', service.name, service.current, names
    )


def _check_route_references(route: Route, names: DefinedNames) -> Messages:
    return tuple(
        message
        for service in route.services
        for message in _check_service_exists(service, names)
    )


def _check_no_references(
    record: Limits | Account | DomainDrain, names: DefinedNames
) -> Messages:
    return ()


def _check_target_version_references(
    version: TargetVersion, names: DefinedNames
) -> Messages:
    return _check_service_exists(version.service, names)


def _check_service_exists(service: str, names: DefinedNames) -> Messages:
    if service in names.current:
        return ()
    return (f'service: {service!r} does not exist',)


def _check_version_exists(
    field: str,
    service: str,
    label: str,
    names: DefinedNames,
) -> Messages:
    name = f'{service}/{label}'
    if name in names.versions:
        return ()
    return (f'{field}: target-version {name} does not exist',)


def _check_shares(
    shares: Iterable[Share], names: DefinedNames
) -> Iterator[Fault]:
    previous = ''
    for share in shares:
        messages = check_share(share, names)
        if share.service <= previous:
            messages += (f'service: {share.service!r} is moved twice',)
        previous = share.service
        source = f'move/{share.move}'
        for message in messages:
            yield Fault(source=source, message=message)


def _check_unique_prefixes(routes: Iterable[Route]) -> Iterator[Fault]:
    owners: dict[tuple[str, str], str] = {}
    for route in routes:
        owner = owners.setdefault((route.host, route.prefix), route.name)
        if owner != route.name:
            message = f'prefix: {route.prefix!r} belongs to route/{owner}'
            yield Fault(source=f'route/{route.name}', message=message)


def _check_unique_keys(accounts: Iterable[Account]) -> Iterator[Fault]:
    owners: dict[str, str] = {}
    for account in accounts:
        for digest in account.key_digests:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                message = f'key_digests: shares a key with account/{owner}'
                source = f'account/{account.name}'
                yield Fault(source=source, message=message)


_FIELD_CHECKS: Final[dict[type, _FieldCheck]] = {
    Service: _check_service,
    Route: _check_route,
    TargetVersion: _check_target_version,
    Limits: _check_limits,
    Account: _check_account,
    DomainDrain: _check_domain_drain,
}
_REFERENCE_CHECKS: Final[dict[type, _ReferenceCheck]] = {
    Service: _check_service_references,
    Route: _check_route_references,
    TargetVersion: _check_target_version_references,
    Limits: _check_no_references,
    Account: _check_no_references,
    DomainDrain: _check_no_references,
}
