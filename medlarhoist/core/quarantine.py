"""Quarantine: refuses requests that crash the targets that run them.

Load pattern: one request ends each target that begins to run it, and comes
again and again at any node, while targets also end for other reasons with many
requests in progress.

All requests in progress when a target ends are suspects. A suspect runs again
in one place at a time, so that what is known grows by one run of a target at a
time: a run counts only if it began with the knowledge of all counted ones
before. One that completes is cleared. One that ended DEATHS_TO_QUARANTINE runs
one after another is refused, except for rare trials.

Records are ordered, and the highest wins wherever two of them meet. Times are
seconds of the monotonic clock.
"""

from collections.abc import Callable, Iterable
from typing import Annotated, Final

from msgspec import DecodeError, Meta, Struct, json
from msgspec.structs import replace

from medlarhoist.core.fingerprint import Fingerprint
from medlarhoist.core.spread import pop_unsent

DEATHS_TO_QUARANTINE: Final = 3
# A suspect that has ended so many runs is tried with no other suspect beside
# it, so that the next run tells them apart.
DEATHS_TO_ISOLATE: Final = 2
FIRST_TRIAL_S: Final = 60.0
MAX_TRIAL_S: Final = 14_400.0
# How long a suspect, or that it was cleared, is remembered without news.
SUSPECT_TTL_S: Final = 600.0
CAPACITY: Final = 1024
QUARANTINED: Final = 'request has crashed its targets'
RECORDS_PER_SYNC: Final = 256
# The target may have sent them without having begun to run the request.
_UNCERTAIN_STATUSES: Final = frozenset((408, 421, 429, 503, 504))
_MS_PER_SECOND: Final = 1000
_MAX_DOUBLINGS: Final = 10
_Count = Annotated[int, Meta(ge=0, le=1_000_000)]


class Suspicion(Struct, frozen=True, array_like=True):
    """What nodes know of one request that has crashed targets.

    Args:
        fingerprint: identifies the request.
        clears: how often it was cleared, by a completed run or an operator.
        deaths: runs of targets that have ended with it, one after another,
            since it was cleared; at most DEATHS_TO_QUARANTINE.
        trials: runs that began in quarantine.
        wait_ms: time until it may run again, milliseconds; zero unless it is
            in quarantine.
    """

    fingerprint: Fingerprint
    clears: _Count = 0
    deaths: _Count = 0
    trials: _Count = 0
    wait_ms: Annotated[int, Meta(ge=0, le=86_400_000)] = 0

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key by which the newer of two records wins."""
        return self.clears, self.deaths, self.trials

    @property
    def is_quarantined(self) -> bool:
        """Return whether the request is refused, except for trials."""
        return self.deaths >= DEATHS_TO_QUARANTINE


def shows_completion(status: int) -> bool:
    """Return whether a response shows that its target has run the request.

    Errors do as well, since the target has survived it.

    Args:
        status: HTTP status of a complete response.
    """
    return status not in _UNCERTAIN_STATUSES


def format_suspicion(record: Suspicion) -> bytes:
    """Return the header value by which nodes send a record."""
    return json.encode(record)


def parse_suspicion(value: bytes | None) -> Suspicion | None:
    """Return the record that a node sent, None without a valid one."""
    try:
        return json.decode(value, type=Suspicion) if value else None
    except DecodeError:
        return None


class Entry:
    """A record with the state of it that is this node's own.

    Args:
        record: the record.
        changed_at: when it last changed.
        trial_at: when the request may run again; in the past unless it is in
            quarantine.
        sent: packets that it was sent in since it changed.
    """

    __slots__ = ('changed_at', 'record', 'sent', 'trial_at')

    def __init__(self, record: Suspicion, now: float) -> None:
        """Start with a record that is still to be sent."""
        self.record = record
        self.changed_at = now
        self.trial_at = now + record.wait_ms / _MS_PER_SECOND
        self.sent = 0

    @property
    def rank(self) -> tuple[bool, int, float]:
        """Return the key by which entries are kept where room is short."""
        record = self.record
        return record.is_quarantined, record.deaths, self.changed_at

    def export(self, now: float) -> Suspicion:
        """Return the record with the time that is left now."""
        wait_s = max(0, self.trial_at - now)
        return replace(self.record, wait_ms=int(wait_s * _MS_PER_SECOND))


class Quarantine:
    """The suspects that a node knows of.

    Args:
        entries: by fingerprint.
        on_change: called after each change.
        revision: grows with each change.
    """

    __slots__ = ('_is_enabled', 'entries', 'on_change', 'revision')

    def __init__(self, *, is_enabled: bool = True) -> None:
        """Start without suspects.

        Args:
            is_enabled: whether there are ever any; otherwise no request is
                suspected, whatever other nodes know.
        """
        self._is_enabled = is_enabled
        self.on_change: Callable[[], None] = _ignore
        self.entries: dict[str, Entry] = {}
        self.revision = 0

    def find(self, fingerprint: str, now: float) -> Suspicion | None:
        """Return the record of a suspect, None for any other request."""
        entry = self.entries.get(fingerprint)
        if entry is None or not entry.record.deaths:
            return None
        return entry.export(now)

    def merge(self, records: Iterable[Suspicion], now: float) -> bool:
        """Adopt the newer ones of some records; return whether there are any.

        Args:
            records: records that another node sent.
            now: present time.
        """
        changed = [self._adopt(record, now) for record in records]
        return any(changed)

    def record_death(
        self,
        fingerprint: str,
        known: Suspicion | None,
        now: float,
    ) -> Suspicion | None:
        """Record that a run of a target ended while it ran a request.

        Args:
            fingerprint: identifies the request.
            known: the record that the run of the request began with.
            now: present time.

        Returns:
            The record, None if the request was cleared since its run began.
        """
        before = known or Suspicion(fingerprint)
        deaths = min(before.deaths + 1, DEATHS_TO_QUARANTINE)
        record = replace(before, deaths=deaths, wait_ms=0)
        if record.is_quarantined:
            record = replace(record, wait_ms=_trial_wait_ms(record.trials))
        self._adopt(record, now)
        return self.find(fingerprint, now)

    def begin_trial(self, fingerprint: str, now: float) -> Suspicion:
        """Record that a request in quarantine runs once more.

        Returns:
            Its new record.
        """
        record = self.entries[fingerprint].record
        trials = record.trials + 1
        wait_ms = _trial_wait_ms(trials)
        trial = replace(record, trials=trials, wait_ms=wait_ms)
        self._adopt(trial, now)
        return trial

    def clear(self, fingerprint: str, now: float) -> bool:
        """Clear a suspect, as it has completed or an operator says so.

        Returns:
            False if it is no suspect.
        """
        record = self.find(fingerprint, now)
        if record is None:
            return False
        return self._adopt(Suspicion(fingerprint, record.clears + 1), now)

    def clear_all(self, now: float) -> int:
        """Clear all suspects; return how many there were."""
        return sum([self.clear(name, now) for name in tuple(self.entries)])

    def export(self, now: float) -> tuple[Suspicion, ...]:
        """Return the most important records, at most RECORDS_PER_SYNC."""
        ranked = sorted(
            self.entries.values(), key=lambda entry: entry.rank, reverse=True
        )
        return tuple(entry.export(now) for entry in ranked[:RECORDS_PER_SYNC])

    def has_unsent(self) -> bool:
        """Return whether a record was not sent since it changed."""
        return any(not entry.sent for entry in self.entries.values())

    def pop_updates(
        self, count: int, limit: int, now: float
    ) -> tuple[Suspicion, ...]:
        """Return the records for the next packet, the least often sent first.

        Args:
            count: records in a packet.
            limit: packets in which each record is sent.
            now: present time.
        """
        unsent = pop_unsent(self.entries.values(), count, limit)
        return tuple(entry.export(now) for entry in unsent)

    def expire(self, now: float) -> None:
        """Forget suspects, and that they were cleared, after SUSPECT_TTL_S."""
        for fingerprint, entry in tuple(self.entries.items()):
            age_s = now - entry.changed_at
            if age_s > SUSPECT_TTL_S and not entry.record.is_quarantined:
                self.entries.pop(fingerprint)

    def _adopt(self, record: Suspicion, now: float) -> bool:
        entry = self.entries.get(record.fingerprint)
        is_older = entry is not None and record.order <= entry.record.order
        if is_older or not self._is_enabled:
            return False
        self.entries[record.fingerprint] = Entry(record, now)
        self.revision += 1
        if len(self.entries) > CAPACITY:
            least = min(self.entries.values(), key=lambda item: item.rank)
            self.entries.pop(least.record.fingerprint)
        self.on_change()
        return True


class SuspectRuns:
    """The suspects that the target beside a node runs now."""

    __slots__ = ('_running',)

    def __init__(self) -> None:
        """Start without running suspects."""
        self._running: dict[str, Suspicion] = {}

    def find_refusal_reason(self, record: Suspicion) -> str:
        """Return why a suspect may not run now, or '' if it may.

        Args:
            record: what is known of it.
        """
        if record.wait_ms:
            return QUARANTINED
        if record.fingerprint in self._running:
            return 'suspect is running'
        must_isolate = record.deaths >= DEATHS_TO_ISOLATE or any(
            other.deaths >= DEATHS_TO_ISOLATE
            for other in self._running.values()
        )
        if must_isolate and self._running:
            return 'another suspect is running'
        return ''

    def begin(self, record: Suspicion) -> None:
        """Record that a suspect runs."""
        self._running[record.fingerprint] = record

    def end(self, fingerprint: str) -> None:
        """Record that a request, suspect or not, does not run any more."""
        self._running.pop(fingerprint, None)


def _ignore() -> None:
    """Ignore a change."""


def _trial_wait_ms(trials: int) -> int:
    """Return the milliseconds to the next trial; they double each time."""
    wait_s = FIRST_TRIAL_S * 2 ** min(trials, _MAX_DOUBLINGS)
    return int(min(wait_s, MAX_TRIAL_S) * _MS_PER_SECOND)
