"""Operator: resource API requests and reads of dumps for experiments."""

from typing import Any, Final

import msgspec

from bench.fleet import OPERATOR_TOKEN, Fleet
from medlarhoist.core.api_messages import (
    ApplyRequest,
    ApplyResponse,
    ResourceList,
)
from medlarhoist.core.command import Outcome
from medlarhoist.core.resource import (
    Change,
    Key,
    Kind,
    Resource,
    Route,
    Service,
    TargetVersion,
    key_of,
)
from medlarhoist.core.state import Entry
from medlarhoist.ops.client import Client, create_client, decode_reply, fetch

CLIENT_SECONDS: Final = 20.0
SERVICE: Final = 'bookings'


def create_operator(fleet: Fleet, first: str = '') -> Client:
    """Return a client that tries the source `first`, if any, before others."""
    names = sorted(fleet.sources, key=lambda name: name != first)
    servers = tuple(fleet.sources[name].api for name in names)
    return create_client(servers, OPERATOR_TOKEN, CLIENT_SECONDS)


def put(
    client: Client,
    request_id: str,
    *resources: Resource,
    base: int | None = None,
) -> Outcome | None:
    """Put resources in one atomic change.

    Args:
        client: client of the resource API.
        request_id: identifies the request; a resend has the same id.
        resources: new contents.
        base: resource version that each resource must have; None for any.

    Returns:
        The outcome, which may be a refusal; None if it is unknown.
    """
    changes = tuple(
        Change(key=key_of(resource), resource=resource, base=base)
        for resource in resources
    )
    request = ApplyRequest(request_id=request_id, changes=changes)
    response = decode_reply(client.apply(request), ApplyResponse)
    return response.outcome if response else None


def find_resource(client: Client, kind: Kind, name: str) -> Entry | None:
    """Return a resource of the current configuration, None if absent.

    Raises:
        LookupError: no source returned the resource or its absence.
    """
    reply = client.get(f'/v1/resources/{kind}/{name}')
    if reply.status == 404:
        return None
    found = decode_reply(reply, ResourceList)
    if found is None:
        raise LookupError(reply.body.decode(errors='replace'))
    return next(
        (entry for entry in found.entries if entry.key == Key(kind, name)),
        None,
    )


def base_resources(*labels: str) -> tuple[Resource, ...]:
    """Return a service, its target versions and two routes to it.

    Args:
        labels: labels of the target versions; the first one is current.
    """
    versions = tuple(
        TargetVersion(name=f'{SERVICE}/{label}', service=SERVICE, label=label)
        for label in labels
    )
    return (
        *versions,
        Service(name=SERVICE, current=labels[0]),
        Route(name='seats', prefix='/seats', service=SERVICE, idempotent=True),
        Route(name='deposits', prefix='/deposits', service=SERVICE),
    )


def read_dump(admin: str) -> dict[str, Any]:
    """Return the dump of a process, empty if it does not return one."""
    reply = fetch(admin, '/dump')
    return msgspec.json.decode(reply.body) if reply.status == 200 else {}


def node_version(fleet: Fleet, node: str) -> int | None:
    """Return the configuration version in force at a node, None if none is."""
    return read_dump(fleet.nodes[node].admin).get('version')


def is_in_force_everywhere(fleet: Fleet, version: int) -> bool:
    """Return whether exactly this version is in force at every node."""
    return all(node_version(fleet, node) == version for node in fleet.nodes)


def find_leader(fleet: Fleet) -> str:
    """Return the name of the source that reports itself leader.

    Empty if no running source does.
    """
    for name, source in fleet.sources.items():
        if name not in fleet.processes:
            continue
        status = read_dump(source.admin).get('status', {})
        if status.get('leader') == name:
            return name
    return ''
