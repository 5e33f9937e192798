"""Withdrawal: the drains and leaves that runs of targets have announced.

A node without a disk forgets with its process that the target beside it has
left, and a notice that was sent before may still arrive. So the nodes of a
failure domain hold one another's withdrawals, and keepers hold those of other
domains. A run is one lifetime of a target process.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Annotated, Final

from msgspec import Meta, Struct
from msgspec.structs import replace

from medlarhoist.core.digest import fingerprint_of
from medlarhoist.core.spread import pop_unsent
from medlarhoist.core.target import MAX_MILLISECONDS, MAX_SEQUENCE, TargetNotice

# Longer than a notice can be late. Each record is sent a few times only.
WITHDRAWAL_TTL_S: Final = 120.0
# How long a leave counts for a run whose start is unknown: a notice of the
# next run with the same id looks alike.
UNKNOWN_START_TTL_S: Final = 10.0
# A run that has left: all its notices are outdated.
ALL_NOTICES: Final = MAX_SEQUENCE + 1
CAPACITY: Final = 2048
RECORDS_PER_MESSAGE: Final = 64
_MS_PER_SECOND: Final = 1000
_Name = Annotated[str, Meta(min_length=1, max_length=256)]
_Key = tuple[str, str]


class Withdrawal(Struct, frozen=True, array_like=True):
    """A run of a target that drains or has left.

    Args:
        domain: failure domain of the node beside it.
        node: name of that node.
        run_id: id of the run.
        born_ms: when the run started, milliseconds since 1970; zero if
            unknown.
        sequence: notices of the run with a lower sequence are outdated;
            `ALL_NOTICES` once it has left.
        age_ms: milliseconds since it was announced.
    """

    domain: _Name
    node: _Name
    run_id: _Name
    born_ms: Annotated[int, Meta(ge=0, le=MAX_MILLISECONDS)]
    sequence: Annotated[int, Meta(ge=0, le=ALL_NOTICES)]
    age_ms: Annotated[int, Meta(ge=0, le=MAX_MILLISECONDS)] = 0

    @property
    def key(self) -> _Key:
        """Return what a newer record of the same run id replaces."""
        return self.node, self.run_id

    @property
    def order(self) -> tuple[int, int]:
        """Return the key by which the newer of two records wins."""
        return self.born_ms, self.sequence

    @property
    def has_left(self) -> bool:
        """Return whether the run has left."""
        return self.sequence == ALL_NOTICES


class _Entry:
    """A record, when it was announced, and the packets it was sent in."""

    __slots__ = ('record', 'stated_at', 'sent')

    def __init__(self, record: Withdrawal, now: float) -> None:
        self.record = record
        self.stated_at = now - record.age_ms / _MS_PER_SECOND
        self.sent = 0

    def export(self, now: float) -> Withdrawal:
        """Return the record with its present age."""
        age_ms = max(0, int((now - self.stated_at) * _MS_PER_SECOND))
        return replace(self.record, age_ms=age_ms)


class Withdrawals:
    """The withdrawals that a node holds.

    Times are seconds of the monotonic clock.

    Args:
        on_change: called after each change, to spread it.
        on_merge: called after a change that another node has reported.
    """

    __slots__ = ('_domain', '_entries', '_node', 'on_change', 'on_merge')

    def __init__(self, domain: str, node: str) -> None:
        """Start without withdrawals.

        Args:
            domain: failure domain of this node.
            node: name of this node.
        """
        self._domain = domain
        self._node = node
        self._entries: dict[_Key, _Entry] = {}
        self.on_change: Callable[[], None] = _ignore
        self.on_merge: Callable[[], None] = _ignore

    def record(
        self,
        run_id: str,
        born_ms: int,
        now: float,
        sequence: int = ALL_NOTICES,
    ) -> None:
        """Record that a run beside this node drains or has left.

        Args:
            run_id: id of the run; a run without id is not recorded, since it
                could not be told from the next one.
            born_ms: when it started, zero if unknown.
            now: present time.
            sequence: that of the notice by which it drains; left out for a
                run that has left.
        """
        if not run_id:
            return
        announced = Withdrawal(
            self._domain, self._node, run_id, born_ms, sequence
        )
        if self._adopt(announced, now):
            self.on_change()

    def find(self, notice: TargetNotice, now: float) -> Withdrawal | None:
        """Return the record that makes a notice outdated, None for none.

        Args:
            notice: a notice of the target beside this node.
            now: present time.
        """
        entry = self._entries.get((self._node, notice.run_id))
        if entry is None or now - entry.stated_at >= WITHDRAWAL_TTL_S:
            return None
        record = entry.record
        if record.born_ms:
            is_outdated = (notice.born_ms, notice.sequence) < record.order
        else:
            is_recent = now - entry.stated_at < UNKNOWN_START_TTL_S
            is_outdated = is_recent and notice.sequence < record.sequence
        return record if is_outdated else None

    def merge(self, records: Iterable[Withdrawal], now: float) -> None:
        """Adopt the newer ones of some records that another node sent."""
        if any([self._adopt(record, now) for record in records]):
            self.on_merge()
            self.on_change()

    def export(self, domain: str, now: float) -> tuple[Withdrawal, ...]:
        """Return the newest records of a domain, `RECORDS_PER_MESSAGE`."""
        return tuple(entry.export(now) for entry in self._newest(domain))

    def digest(self, domain: str) -> str:
        """Return a digest of what `export` returns, empty for no records.

        Two nodes compare it to decide whether to exchange the records.
        """
        records = sorted(
            (*entry.record.key, *entry.record.order)
            for entry in self._newest(domain)
        )
        return fingerprint_of(records) if records else ''

    def has_unsent(self) -> bool:
        """Return whether a record of this domain was not sent to members."""
        return any(not entry.sent for entry in self._entries_of(self._domain))

    def pop_updates(
        self, count: int, limit: int, now: float
    ) -> tuple[Withdrawal, ...]:
        """Return the records for the next packet to members of the domain.

        Args:
            count: records in a packet.
            limit: packets in which each record is sent.
            now: present time.
        """
        unsent = pop_unsent(self._entries_of(self._domain), count, limit)
        return tuple(entry.export(now) for entry in unsent)

    def expire(self, now: float) -> None:
        """Forget withdrawals after `WITHDRAWAL_TTL_S`."""
        for key, entry in tuple(self._entries.items()):
            if now - entry.stated_at >= WITHDRAWAL_TTL_S:
                self._entries.pop(key)

    def _entries_of(self, domain: str) -> Iterator[_Entry]:
        return (
            entry
            for entry in self._entries.values()
            if entry.record.domain == domain
        )

    def _newest(self, domain: str) -> list[_Entry]:
        newest = sorted(
            self._entries_of(domain),
            key=lambda entry: entry.stated_at,
            reverse=True,
        )
        return newest[:RECORDS_PER_MESSAGE]

    def _adopt(self, record: Withdrawal, now: float) -> bool:
        held = self._entries.get(record.key)
        is_older = held is not None and record.order <= held.record.order
        if is_older or record.age_ms >= WITHDRAWAL_TTL_S * _MS_PER_SECOND:
            return False
        self._entries[record.key] = _Entry(record, now)
        if len(self._entries) > CAPACITY:
            oldest = min(
                self._entries.values(), key=lambda entry: entry.stated_at
            )
            self._entries.pop(oldest.record.key)
        return True


def _ignore() -> None:
    """Ignore a change."""
