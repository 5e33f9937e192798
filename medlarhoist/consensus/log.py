"""Log: the entries of the replicated log after the snapshot, in memory.

A log is never changed in place; compaction keeps it short.
"""

from msgspec import Struct

from medlarhoist.consensus.record import Entry, LogSnapshot


class Log(Struct, frozen=True, kw_only=True):
    """Consecutive log entries after a base index.

    Args:
        base_index: last index that the snapshot covers, zero for no snapshot.
        base_term: term of the entry at the base.
        entries: the entries from base_index + 1 on.
    """

    base_index: int = 0
    base_term: int = 0
    entries: tuple[Entry, ...] = ()


def last_index(log: Log) -> int:
    """Return the index of the last entry, zero if there was none ever."""
    return log.base_index + len(log.entries)


def last_term(log: Log) -> int:
    """Return the term of the last entry, zero if there was none ever."""
    return log.entries[-1].term if log.entries else log.base_term


def term_at(log: Log, index: int) -> int | None:
    """Return the term at an index, None where the log does not hold it."""
    if index == log.base_index:
        return log.base_term
    if log.base_index < index <= last_index(log):
        return log.entries[index - log.base_index - 1].term
    return None


def entries_between(log: Log, after: int, until: int) -> tuple[Entry, ...]:
    """Return the entries with after < index <= until."""
    start = max(after - log.base_index, 0)
    end = max(until - log.base_index, 0)
    return log.entries[start:end]


def replace_suffix(log: Log, entries: tuple[Entry, ...]) -> Log:
    """Return the log with consecutive entries stored at their indexes.

    The log is truncated only at the first entry whose term differs. If it
    holds all the entries already, those after them stay, too: a delayed
    message must not remove newer entries.
    """
    for offset, entry in enumerate(entries):
        if entry.index <= log.base_index:
            continue
        if term_at(log, entry.index) == entry.term:
            continue
        kept = log.entries[: entry.index - log.base_index - 1]
        return Log(
            base_index=log.base_index,
            base_term=log.base_term,
            entries=kept + entries[offset:],
        )
    return log


def new_suffix(old: Log, new: Log) -> tuple[Entry, ...]:
    """Return the entries of the new log that the old one does not hold."""
    if new.entries is old.entries:
        return ()
    if _is_extension(old, new):
        return new.entries[len(old.entries) :]
    for offset, entry in enumerate(new.entries):
        if term_at(old, entry.index) != entry.term:
            return new.entries[offset:]
    return ()


def _is_extension(old: Log, new: Log) -> bool:
    """Return whether the new log is certainly the old one with more entries.

    Compares one entry by identity, which is fast; False may also mean that the
    logs must be compared entry by entry.
    """
    old_count = len(old.entries)
    if not old_count or len(new.entries) < old_count:
        return False
    if old.base_index != new.base_index:
        return False
    return new.entries[old_count - 1] is old.entries[-1]


def compact_log(log: Log, snapshot: LogSnapshot) -> Log:
    """Return the log without the entries that a snapshot covers.

    All entries are dropped if the log has another term at the index of the
    snapshot, or ends before it.
    """
    if snapshot.index <= log.base_index:
        return log
    kept: tuple[Entry, ...] = ()
    if term_at(log, snapshot.index) == snapshot.term:
        kept = entries_between(log, snapshot.index, last_index(log))
    return Log(
        base_index=snapshot.index,
        base_term=snapshot.term,
        entries=kept,
    )
