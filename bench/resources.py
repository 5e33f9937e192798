"""Resources: costs of admission and compilation by size of configuration.

Prints the processor time in milliseconds, the least of several runs, of one
change of a configuration with a number of services, each with two target
versions and two routes, and the memory of compiled configurations in kilobytes.
"""

import sys
import time
from collections.abc import Callable
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from bench.slopes import held_kb
from medlarhoist.core.command import Activate, Apply
from medlarhoist.core.compile import compile_next, compile_snapshot
from medlarhoist.core.digest import create_incremental_digest, digest_of
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
from medlarhoist.source.transition import apply_command

SIZES: Final = (100, 400, 1700, 3400)
RUNS: Final = 7
MILLISECONDS_PER_SECOND: Final = 1000


class Cost(Struct, frozen=True, kw_only=True):
    """Costs for one size of configuration; times are processor time.

    Args:
        services: number of services.
        resources: number of resources.
        apply_ms: admission of a change of one service.
        activate_ms: activation of that change.
        compile_ms: compilation of the full configuration.
        digest_ms: digest of the full configuration, a part of compile_ms.
        next_ms: incremental compilation of the change.
        next_digest_ms: incremental digest after the change.
        deletion_ms: incremental compilation after the deletion of one service
            and all that refers to it.
        held_kb: memory of the compiled configuration besides its snapshot, in
            kilobytes.
        next_held_kb: additional memory of the incrementally compiled one, in
            kilobytes.
    """

    services: int
    resources: int
    apply_ms: float
    activate_ms: float
    compile_ms: float
    digest_ms: float
    next_ms: float
    next_digest_ms: float
    deletion_ms: float
    held_kb: float
    next_held_kb: float


def list_resources(services: int) -> list[Resource]:
    """Return services with two target versions and two routes each."""
    resources: list[Resource] = []
    for number in range(services):
        name = f'service{number}'
        resources.append(Service(name=name, current='v1'))
        for label in ('v1', 'v2'):
            resources.append(
                TargetVersion(
                    name=f'{name}/{label}',
                    service=name,
                    label=label,
                ),
            )
        for suffix in ('seats', 'deposits'):
            resources.append(
                Route(
                    name=f'{name}-{suffix}',
                    prefix=f'/{name}/{suffix}',
                    service=name,
                ),
            )
    return resources


def measure(services: int) -> Cost:
    """Measure the costs for a number of services."""
    resources = list_resources(services)
    state, _ = apply_command(State(), _put('request-1', resources))
    state, _ = apply_command(state, Activate(version=1, at_ms=1))
    change = _put('request-2', [replace(resources[0], slots=3)])
    staged, _ = apply_command(state, change)
    activate = Activate(version=2, at_ms=1)
    activated, _ = apply_command(staged, activate)
    full, changed = state.active, activated.active
    deleted = _delete(full, resources[0].name)
    base, _ = compile_snapshot(full)
    digest = create_incremental_digest()
    digest(full)
    return Cost(
        services=services,
        resources=len(resources),
        apply_ms=_time(lambda: apply_command(state, change)),
        activate_ms=_time(lambda: apply_command(staged, activate)),
        compile_ms=_time(lambda: compile_snapshot(full)),
        digest_ms=_time(lambda: digest_of(full)),
        next_ms=_time(lambda: compile_next(base, changed)),
        next_digest_ms=_time(lambda: (digest(changed), digest(full))) / 2,
        deletion_ms=_time(lambda: compile_next(base, deleted)),
        held_kb=held_kb(lambda: compile_snapshot(full)),
        next_held_kb=held_kb(lambda: compile_next(base, changed)),
    )


def main() -> None:
    """Print a line for each size."""
    for services in SIZES:
        cost = measure(services)
        sys.stdout.write(
            f'{cost.services} services ({cost.resources} resources): '
            f'apply {cost.apply_ms:.1f} ms, '
            f'activate {cost.activate_ms:.1f} ms, '
            f'compile {cost.compile_ms:.1f} ms, '
            f'digest {cost.digest_ms:.1f} ms, '
            f'next compile {cost.next_ms:.2f} ms, '
            f'next digest {cost.next_digest_ms:.2f} ms, '
            f'deletion {cost.deletion_ms:.2f} ms, '
            f'held {cost.held_kb:.0f} KB, '
            f'next held {cost.next_held_kb:.0f} KB\n',
        )


def _put(request_id: str, resources: list[Resource]) -> Apply:
    changes = tuple(
        Change(key=key_of(resource), resource=resource)
        for resource in resources
    )
    return Apply(
        request_id=request_id,
        operator='bench',
        changes=changes,
        at_ms=1,
    )


def _delete(snapshot: Snapshot, service: str) -> Snapshot:
    return replace(
        snapshot,
        services=tuple(
            each for each in snapshot.services if each.name != service
        ),
        routes=tuple(
            route for route in snapshot.routes if route.service != service
        ),
        target_versions=tuple(
            target_version
            for target_version in snapshot.target_versions
            if target_version.service != service
        ),
    )


def _time(run: Callable[[], object]) -> float:
    best = float('inf')
    for _ in range(RUNS):
        started = time.process_time()
        run()
        best = min(best, time.process_time() - started)
    return best * MILLISECONDS_PER_SECOND


if __name__ == '__main__':
    main()
