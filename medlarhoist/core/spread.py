"""Spread: chooses which records go into the next packet to the members."""

from collections.abc import Iterable
from typing import Protocol, TypeVar


class Spreadable(Protocol):
    """A record that is sent in a number of packets after each change.

    Args:
        sent: packets that it was sent in since it changed.
    """

    sent: int


_Entry = TypeVar('_Entry', bound=Spreadable)


def pop_unsent(
    entries: Iterable[_Entry],
    count: int,
    limit: int,
) -> tuple[_Entry, ...]:
    """Return the entries for the next packet, the least often sent first.

    Args:
        entries: all entries; those returned are counted as sent once more.
        count: entries in a packet.
        limit: packets in which each entry is sent.
    """
    unsent = [entry for entry in entries if entry.sent < limit]
    unsent.sort(key=lambda entry: entry.sent)
    for entry in unsent[:count]:
        entry.sent += 1
    return tuple(unsent[:count])
