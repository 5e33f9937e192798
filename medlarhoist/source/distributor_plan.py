"""Distributor plan: decides when a staged version is activated or abandoned.

A version is staged on a node that holds it compiled but does not route by it
yet. A refusal of any node abandons the version. Otherwise it is activated
once every reachable failure domain has staged it, or after a bounded wait;
the command then names the domains and nodes that have not.
"""

from collections.abc import Mapping
from itertools import chain
from typing import Final

from msgspec import Struct

from medlarhoist.core.command import Abandon, Activate
from medlarhoist.core.floor import majority
from medlarhoist.core.resource import Fault
from medlarhoist.wire.message import Ack

# Half of the time in which operators expect a response.
STAGE_TIMEOUT_SECONDS: Final = 2.0
# Longer than a keeper takes to find a new leader and attach to it.
UNAVAILABLE_SECONDS: Final = 3.0


class DomainView(Struct, frozen=True, kw_only=True):
    """What the leader has received from one failure domain.

    Args:
        keepers: number of keepers in its keeper set.
        acks: acknowledgement of each attached keeper for one version.
        silent_seconds: time since the last keeper was attached, zero if one
            is attached.
        attached: names of the attached keepers.
    """

    keepers: int
    acks: tuple[Ack, ...]
    silent_seconds: float = 0
    attached: tuple[str, ...] = ()


class Progress(Struct, frozen=True, kw_only=True):
    """Progress of a version in one failure domain.

    Args:
        nodes: nodes in the subtrees of the attached keepers.
        staged: how many of these have staged the version.
        active: how many of these have it, or a later one, in force.
        attached: number of attached keepers.
        lagging: names of up to eight nodes of each keeper that have not
            staged it.
    """

    nodes: int
    staged: int
    active: int
    attached: int
    lagging: tuple[str, ...]


def progress_of(view: DomainView) -> Progress:
    """Return the sums over the attached keepers of a domain."""
    return Progress(
        nodes=sum(ack.nodes for ack in view.acks),
        staged=sum(ack.staged for ack in view.acks),
        active=sum(ack.active for ack in view.acks),
        attached=len(view.acks),
        lagging=tuple(chain(*(ack.lagging for ack in view.acks))),
    )


def decide(
    version: int,
    views: Mapping[str, DomainView],
    waited_seconds: float,
    now_ms: int,
) -> Activate | Abandon | None:
    """Return the command to commit, or None to wait longer.

    Args:
        version: the staged version.
        views: state of each failure domain for the version, by name.
        waited_seconds: time since this leader first found it staged.
        now_ms: milliseconds since 1970.
    """
    faults = _refusals(views)
    if faults:
        return Abandon(version=version, at_ms=now_ms, faults=faults)
    waiting = [
        domain
        for domain, view in sorted(views.items())
        if not _is_staged(view) and view.silent_seconds <= UNAVAILABLE_SECONDS
    ]
    if waiting and waited_seconds < STAGE_TIMEOUT_SECONDS:
        return None
    return Activate(version=version, at_ms=now_ms, absent=_absent(views))


def _refusals(views: Mapping[str, DomainView]) -> tuple[Fault, ...]:
    faults: list[Fault] = []
    for _, view in sorted(views.items()):
        for ack in view.acks:
            faults.extend(ack.refusals)
    return tuple(dict.fromkeys(faults))


def _is_staged(view: DomainView) -> bool:
    progress = progress_of(view)
    if progress.attached < majority(view.keepers):
        return False
    return progress.staged == progress.nodes


def _absent(views: Mapping[str, DomainView]) -> tuple[str, ...]:
    absent: list[str] = []
    for domain, view in sorted(views.items()):
        progress = progress_of(view)
        if not progress.staged:
            absent.append(domain)
            continue
        absent.extend(f'{domain}/{name}' for name in progress.lagging)
    return tuple(absent)
