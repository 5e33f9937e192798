"""Current version: sets it for services whose operator named none.

The version that served most of the first calls of such a service becomes its
current one, so that targets of a later version get no calls before a move.
"""

from collections.abc import Iterable

from loguru import logger
from msgspec.structs import replace

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


class CurrentVersionSetter:
    """Proposes missing current versions; the mover calls it on the leader."""

    __slots__ = ('_calls', '_ledger')

    def __init__(self, ledger: Ledger) -> None:
        """Start without evidence."""
        self._calls: dict[str, dict[str, int]] = {}
        self._ledger = ledger

    def record_calls(self, rows: Iterable[EvidenceRow]) -> None:
        """Count the successful calls of services without a current version."""
        without_current = services_without_current(self._ledger.state)
        for row in rows:
            key = row.key
            if key.service in without_current and key.label:
                calls = self._calls.setdefault(key.service, {})
                calls[key.label] = calls.get(key.label, 0) + row.succeeded

    async def propose_versions(self, now_ms: int) -> None:
        """Propose the version with the most successful calls of each service.

        Nothing is proposed while a version is staged.

        Args:
            now_ms: wall clock time, milliseconds since 1970.
        """
        without_current = services_without_current(self._ledger.state)
        for name in set(self._calls) - set(without_current):
            self._calls.pop(name)
        if self._ledger.state.staged is not None:
            return
        labels = {
            service: max(sorted(calls), key=calls.__getitem__)
            for service, calls in self._calls.items()
            if any(calls.values())
        }
        if labels:
            await self._propose(without_current, labels, now_ms)

    async def _propose(
        self,
        without_current: dict[str, Entry],
        labels: dict[str, str],
        now_ms: int,
    ) -> None:
        changes: list[Change] = []
        for service, label in sorted(labels.items()):
            changes.extend(_list_changes(without_current[service], label))
        last_version = self._ledger.state.last_version
        command = Apply(
            request_id=f'settle-{last_version}',
            operator=OPERATOR,
            changes=tuple(changes),
            at_ms=now_ms,
        )
        try:
            outcome = await self._ledger.propose(command)
        except (NotLeader, OutcomeUnknown) as exc:
            logger.info('current version: outcome unknown: {!r}', exc)
            return
        if outcome.status in {Status.PENDING, Status.ACCEPTED}:
            logger.info('current version: proposed {}', labels)


def services_without_current(state: State) -> dict[str, Entry]:
    """Return the entries of services without a current version, by name."""
    return {
        entry.key.name: entry
        for entry in state.entries.values()
        if isinstance(entry.resource, Service) and not entry.resource.current
    }


def _list_changes(entry: Entry, label: str) -> tuple[Change, Change]:
    """Return the changes that add a version and make it the current one."""
    name = entry.key.name
    version = TargetVersion(name=f'{name}/{label}', service=name, label=label)
    service = entry.resource
    assert isinstance(service, Service)
    updated = replace(service, current=label)
    return (
        Change(key=key_of(version), resource=version),
        Change(key=entry.key, resource=updated, base=entry.version),
    )
