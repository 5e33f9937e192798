"""Slope cases: creates configurations and failure domains of any size."""

import subprocess
import sys
from collections.abc import Callable
from typing import Any, Final

from msgspec import msgpack
from msgspec.structs import replace

from medlarhoist.core.command import Activate, Apply
from medlarhoist.core.compile import Compiled, compile_next, compile_snapshot
from medlarhoist.core.delta import apply_changes, encode_changes
from medlarhoist.core.membership import Member, MembershipState, merge_members
from medlarhoist.core.resource import (
    Change,
    Resource,
    Route,
    Service,
    TargetVersion,
    key_of,
)
from medlarhoist.core.snapshot import Snapshot
from medlarhoist.core.state import State
from medlarhoist.core.summary import Summary, sample_targets
from medlarhoist.core.target import Target, TargetPhase
from medlarhoist.node.registry import TargetRegistry, create_registry
from medlarhoist.source.transition import apply_command

ROUTES_PER_SERVICE: Final = 2
LABELS: Final = ('v1', 'v2')
ADDRESS: Final = '127.0.0.1:10000'
TARGETS_PER_SERVICE: Final = 10
AT_MS: Final = 1_800_000_000_000


def resources(services: int) -> tuple[Resource, ...]:
    """Return services with two target versions and two routes each."""
    created: list[Resource] = []
    for number in range(services):
        name = f'service-{number:05}'
        for label in LABELS:
            created.append(
                TargetVersion(
                    name=f'{name}/{label}',
                    service=name,
                    label=label,
                )
            )
        created.append(Service(name=name, current=LABELS[0]))
        for index in range(ROUTES_PER_SERVICE):
            route = f'{name}-{index}'
            created.append(Route(name=route, prefix=f'/{route}', service=name))
    return tuple(created)


def state(services: int) -> State:
    """Return a replicated state whose active version holds the services."""
    changes = tuple(
        Change(key=key_of(resource), resource=resource)
        for resource in resources(services)
    )
    command = Apply(
        request_id='base-resources',
        operator='op',
        changes=changes,
        at_ms=AT_MS,
    )
    staged, outcome = apply_command(State(), command)
    active, _ = apply_command(
        staged,
        Activate(version=outcome.version, at_ms=AT_MS),
    )
    return active


def snapshot(services: int) -> Snapshot:
    """Return a configuration with a number of services."""
    return state(services).active


def change_one_route(base: Snapshot) -> Snapshot:
    """Return the configuration with one route changed."""
    first = replace(base.routes[0], timeout_ms=77)
    return replace(
        base,
        version=base.version + 1,
        routes=(first, *base.routes[1:]),
    )


def make_compiled(services: int) -> Callable[[], Compiled | None]:
    """Return a function that decodes and compiles a configuration."""
    body = msgpack.encode(snapshot(services))
    return lambda: compile_snapshot(msgpack.decode(body, type=Snapshot))[0]


def make_compile(services: int) -> Callable[[], Any]:
    """Return a function that compiles a full configuration."""
    base = snapshot(services)
    return lambda: compile_snapshot(base)


def make_compile_next(services: int) -> Callable[[], Any]:
    """Return a function that incrementally compiles a change of one route."""
    base = snapshot(services)
    compiled, _ = compile_snapshot(base)
    later = change_one_route(base)
    return lambda: compile_next(compiled, later)


def make_delta_apply(services: int) -> Callable[[], Any]:
    """Return a function that applies a delta of one route."""
    base = snapshot(services)
    body = encode_changes(base, change_one_route(base))
    return lambda: apply_changes(base, body)


def make_delta_encode(services: int) -> Callable[[], Any]:
    """Return a function that encodes a delta of one route."""
    base = snapshot(services)
    later = change_one_route(base)
    return lambda: encode_changes(base, later)


def delta_length(services: int) -> int:
    """Return the encoded length of a delta of one route, in bytes."""
    base = snapshot(services)
    return len(encode_changes(base, change_one_route(base)))


def make_state_encode(services: int) -> Callable[[], Any]:
    """Return a function that encodes the replicated state."""
    base = state(services)
    return lambda: msgpack.encode(base)


def one_route_command() -> Apply:
    """Return the command of an operator who changes one route."""
    route = replace(snapshot(1).routes[0], timeout_ms=77)
    return Apply(
        request_id='one-route',
        operator='op',
        changes=(Change(key=key_of(route), resource=route),),
        at_ms=AT_MS,
    )


def make_admission(services: int) -> Callable[[], Any]:
    """Return a function that admits a change of one route."""
    base = state(services)
    command = one_route_command()
    return lambda: apply_command(base, command)


def import_resident_kb(module: str) -> float:
    """Return the resident memory of a new process that imports a module.

    In kilobytes.
    """
    program = (
        f'import {module}\n'
        "lines = open('/proc/self/status').read().splitlines()\n"
        "print([ln.split()[1] for ln in lines if ln.startswith('VmRSS')][0])"
    )
    completed = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        text=True,
        check=True,
    )
    return float(completed.stdout)


def _target(number: int) -> Target:
    return Target(
        node=f'node-{number:05}',
        domain='domain-a',
        service=f'service-{number // TARGETS_PER_SERVICE:05}',
        label=LABELS[0],
        address=ADDRESS,
        slots=20,
        phase=TargetPhase.READY,
        since_ms=AT_MS,
    )


def _member(number: int) -> Member:
    return Member(
        name=f'node-{number:05}',
        domain='domain-a',
        gossip=ADDRESS,
        control=ADDRESS,
        incarnation=AT_MS,
        target=_target(number),
    )


def _membership(members: int) -> MembershipState:
    body = msgpack.encode([_member(number) for number in range(members)])
    membership = MembershipState(_member(members))
    merge_members(membership, msgpack.decode(body, type=list[Member]), 0)
    return membership


def make_membership(members: int) -> Callable[[], MembershipState]:
    """Return a function that creates the membership state of a node."""
    return lambda: _membership(members)


def make_index(members: int) -> Callable[[], Any]:
    """Return a function that rebuilds the index of targets."""

    def index() -> Any:  # noqa: WPS430
        registry: TargetRegistry = create_registry(membership)
        return registry.targets('service-00000', LABELS[0])

    membership = _membership(members)
    return index


def summary(members: int) -> Summary:
    """Return the summary that a failure domain sends to the others."""
    targets = sample_targets(_target(number) for number in range(members))
    return Summary(
        domain='domain-a',
        sequence=1,
        targets=targets,
    )


def make_summary(members: int) -> Callable[[], Summary]:
    """Return a function that decodes a summary, to measure its memory."""
    body = msgpack.encode(summary(members))
    return lambda: msgpack.decode(body, type=Summary)


def make_summary_decode(members: int) -> Callable[[], Any]:
    """Return a function that decodes a summary, to measure its time."""
    return make_summary(members)
