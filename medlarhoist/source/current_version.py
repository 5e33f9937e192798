"""Settler: learns the current version of services that name none.

An operator may leave the current version of a service open. The version that
served the first calls then becomes the current one, so that targets of a
later version get no calls before a move sends them some.
"""

from collections.abc import Iterable

from loguru import logger

from medlarhoist.core.command import Apply, Status
from medlarhoist.core.evidence import EvidenceRow
from medlarhoist.core.interfaces import Ledger, NotLeader, OutcomeUnknown
from medlarhoist.core.resource import (
    Change,
    Service,
    TargetVersion,
    key_of,
)
from medlarhoist.core.state import Entry, State

OPERATOR = 'medlarhoist'


class Settler:
    """Proposes the current versions, on the leader."""

    __slots__ = ('_calls', '_ledger')

    def __init__(self, ledger: Ledger) -> None:
        """Start with no evidence."""
        self._calls: dict[str, dict[str, int]] = {}
        self._ledger = ledger

    def note(self, rows: Iterable[EvidenceRow]) -> None:
        """Count the calls that versions of unsettled services answered."""
        open_ones = find_unsettled(self._ledger.state)
        for row in rows:
            key = row.key
            if key.service in open_ones and key.label:
                calls = self._calls.setdefault(key.service, {})
                calls[key.label] = calls.get(key.label, 0) + row.succeeded

    async def settle(self, now_ms: int) -> None:
        """Propose the version that answered most calls of each service."""
        open_ones = find_unsettled(self._ledger.state)
        for settled in set(self._calls) - set(open_ones):
            self._calls.pop(settled)
        if self._ledger.state.staged is not None:
            return
        chosen = {
            service: max(sorted(calls), key=calls.__getitem__)
            for service, calls in self._calls.items()
            if any(calls.values())
        }
        if chosen:
            await self._propose(open_ones, chosen, now_ms)

    async def _propose(
        self,
        open_ones: dict[str, Entry],
        chosen: dict[str, str],
        now_ms: int,
    ) -> None:
        changes: list[Change] = []
        for service, label in sorted(chosen.items()):
            changes.extend(_settle_one(open_ones[service], label))
        version = self._ledger.state.last_version
        command = Apply(
            request_id=f'settle-{version}',
            operator=OPERATOR,
            changes=tuple(changes),
            at_ms=now_ms,
        )
        try:
            outcome = await self._ledger.propose(command)
        except (NotLeader, OutcomeUnknown) as exc:
            logger.info('settler: the current versions are open: {!r}', exc)
            return
        if outcome.status in {Status.PENDING, Status.ACCEPTED}:
            logger.info('settler: current versions: {}', chosen)


def find_unsettled(state: State) -> dict[str, Entry]:
    """Return the services whose current version is open, by name."""
    return {
        entry.key.name: entry
        for entry in state.entries.values()
        if isinstance(entry.resource, Service) and not entry.resource.current
    }


def _settle_one(entry: Entry, label: str) -> tuple[Change, Change]:
    name = entry.key.name
    known = TargetVersion(name=f'{name}/{label}', service=name, label=label)
    service = entry.resource
    assert isinstance(service, Service)
    settled = Service(
        name=name,
        current=label,
        slots=service.slots,
        connections=service.connections,
    )
    return (
        Change(key=key_of(known), resource=known),
        Change(key=entry.key, resource=settled, base=entry.version),
    )
