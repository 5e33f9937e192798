"""Distributor plan: decides when a staged version is activated or abandoned.

A refusal abandons it. Otherwise it is activated once every reachable failure
domain has staged it, or after a bounded wait; what was not reached by then is
named.
"""

from collections.abc import Mapping
from itertools import chain
from typing import Final

from msgspec import Struct

from medlarhoist.core.command import Abandon, Activate
from medlarhoist.core.floor import majority
from medlarhoist.core.resource import Fault
from medlarhoist.wire.message import Ack

# Half of the time in which operators expect an answer.
STAGE_TIMEOUT_SECONDS: Final = 2.0
# Longer than a keeper takes to find a new leader.
UNAVAILABLE_SECONDS: Final = 3.0


class DomainView(Struct, frozen=True, kw_only=True):
    """What the leader knows of one failure domain.

    Args:
        keepers: number of keepers in its set.
        acks: what each attached keeper acknowledged for the staged version.
        silent_seconds: time since the last keeper was attached, zero where
            one is.
        attached: names of the attached keepers.
    """

    keepers: int
    acks: tuple[Ack, ...]
    silent_seconds: float = 0
    attached: tuple[str, ...] = ()


class Progress(Struct, frozen=True, kw_only=True):
    """How far a version is in one failure domain."""

    nodes: int
    staged: int
    active: int
    attached: int
    lagging: tuple[str, ...]


def progress_of(view: DomainView) -> Progress:
    """Return the sums over the keepers of a domain."""
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
    """Return the command to commit, or None to go on waiting.

    Args:
        version: the staged version.
        views: what is known of each failure domain by name.
        waited_seconds: time since this leader saw it staged.
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
