"""Confirmation: how long ago a version was known to be the newest.

The leader of the sources knows of a moment when a majority still followed it.
No version later than its active one was accepted before that moment. Nodes
pass the moment down the tree.

No clocks have to agree, and a message may be held up: each process converts
the moment by an earlier message of the receiver. What happened at a sender
some time after it had received a message happened, by the clock of the one who
sent that message, at least that time after its sending. A process that was
suspended therefore dates what waited for it as old as it is. Points in time
are seconds of a clock that goes on while the VM is suspended, see
`boot_seconds`.
"""

from math import floor, inf
from typing import Final

from msgspec import Struct

MAX_VERSIONS: Final = 64
# Of the time within which a withdrawn key must be refused.
LEASE_SHARE: Final = 0.9
# From this share on a node looks for another way to the sources.
STALE_SHARE: Final = 0.6
_MS_PER_SECOND: Final = 1000


class Anchor(Struct, frozen=True):
    """A message of a child, by which times are converted to its clock.

    Args:
        sent_ms: when the child sent it, milliseconds of the child's clock.
        received_at: when it was received, or later.
    """

    sent_ms: int
    received_at: float


class Contact(Struct, frozen=True, kw_only=True):
    """A moment when a version was the newest, for one receiver.

    Args:
        version: no later version was accepted before that moment.
        sent_ms: the anchor's, as the receiver sent it.
        offset_ms: milliseconds from the receipt of the anchor until that
            moment, negative if it came before.
    """

    version: int
    sent_ms: int
    offset_ms: int


class Confirmations:
    """The moments when the versions of a node were known to be the newest."""

    __slots__ = ('_confirmed_at',)

    def __init__(self) -> None:
        """Start without any; a process that starts knows of none."""
        self._confirmed_at: dict[int, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no moment is known."""
        return not self._confirmed_at

    def record(self, contact: Contact) -> bool:
        """Record a moment that the parent has sent.

        Returns:
            Whether it is later than all that were recorded before.
        """
        at = (contact.sent_ms + contact.offset_ms) / _MS_PER_SECOND
        is_later = at > max(self._confirmed_at.values(), default=-inf)
        before = self._confirmed_at.get(contact.version, at)
        self._confirmed_at[contact.version] = max(at, before)
        while len(self._confirmed_at) > MAX_VERSIONS:
            self._confirmed_at.pop(min(self._confirmed_at))
        return is_later

    def seconds_since(self, version: int, now: float) -> float:
        """Return the seconds since a version was last known to be the newest.

        Args:
            version: the version in force.
            now: present time.

        Returns:
            Infinity if that is not known of this or an earlier version.
        """
        moments = (
            at for newest, at in self._confirmed_at.items() if newest <= version
        )
        return now - max(moments, default=-inf)

    def contact_for(self, anchor: Anchor | None) -> Contact | None:
        """Return the latest moment for a child, None if there is none.

        Args:
            anchor: message of the child, None if it needs no contacts.
        """
        if anchor is None or not self._confirmed_at:
            return None
        at, version = max(
            (at, version) for version, at in self._confirmed_at.items()
        )
        return make_contact(version, at, anchor)


def make_contact(version: int, at: float, anchor: Anchor) -> Contact:
    """Return what a receiver is told of a moment.

    Args:
        version: no later version was accepted before the moment.
        at: the moment, by the clock of this process.
        anchor: a message of the receiver.
    """
    offset_ms = (at - anchor.received_at) * _MS_PER_SECOND
    return Contact(
        version=version,
        sent_ms=anchor.sent_ms,
        offset_ms=floor(offset_ms),
    )


def lease_seconds(revocation_ms: int) -> float:
    """Return for how long after a contact keys are served, zero for ever."""
    return revocation_ms * LEASE_SHARE / _MS_PER_SECOND


def stale_seconds(revocation_ms: int, default_s: float) -> float:
    """Return the age of a contact from which on another parent is tried.

    Args:
        revocation_ms: time within which a withdrawn key must be refused,
            milliseconds, zero for no limit.
        default_s: the age without such a limit.
    """
    if not revocation_ms:
        return default_s
    return min(default_s, revocation_ms * STALE_SHARE / _MS_PER_SECOND)
