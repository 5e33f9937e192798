"""Account limiter: admits the requests of limited accounts at one node.

A node decides on its own, without asking anyone while a request waits:

- While the leader of the sources assigns no share, the requests of all nodes
  together are well below the limit, and one node alone is held to the whole
  of it.
- A node with a share is held to it, until it is assigned another or none.
- A node that is out of touch with the leader keeps its share or, without one,
  goes on at the pace that it had, which the others still count.

Times are seconds of a clock that goes on while a machine is suspended.
"""

import math
from random import Random
from typing import Final

from medlarhoist.core.account_usage import (
    PACE_HALF_LIFE_S,
    PACE_MARGIN,
    PACE_S,
    DecayingRate,
    UsageRow,
    part_to_report,
)
from medlarhoist.core.resource import Account

# Two intervals of the leader's heartbeats, one of which may be late. For a node
# with many parents above it the limit is close, but its pace is no hardship
# for the parts of a second that it is late then.
OUT_OF_TOUCH_S: Final = 1.5
# Requests arrive in clusters; a share may be saved up for so long.
SHARE_BURST_S: Final = 0.5
# A node that was out of touch is assigned shares within this time.
RETURN_S: Final = 1.5
MAX_DELAY_S: Final = 5.0
_IDLE_S: Final = 30.0
# Times of one contact differ by the rounding of ages.
_SAME_CONTACT_S: Final = 0.01


class _Entry:
    """The requests of one account at this node.

    Args:
        level: requests that may be admitted at once.
        updated_at: time of the level.
        admitted: requests admitted since the last report.
        offered: requests since the last report.
        pace: requests that are admitted per second.
        known_pace: that pace at the last contact with the leader; later
            requests may be unknown to it.
        contact_at: time of that contact.
        promised_at: latest time at which a refused request was told to return.
        share: fraction of the limit, None if none is assigned.
    """

    __slots__ = (
        'admitted',
        'contact_at',
        'known_pace',
        'level',
        'offered',
        'pace',
        'promised_at',
        'share',
        'updated_at',
    )

    def __init__(self, now: float) -> None:
        self.level = math.inf
        self.updated_at = now
        self.admitted = 0
        self.offered = 0
        self.pace = DecayingRate(PACE_S, now)
        self.known_pace = float()
        self.contact_at = -math.inf
        self.promised_at = -math.inf
        self.share: float | None = None

    def record_contact(self, contact_at: float, now: float) -> None:
        """Record the time of the last contact with the leader."""
        if contact_at > self.contact_at + _SAME_CONTACT_S:
            self.contact_at = contact_at
            self.known_pace = self.pace.per_second(now)

    def promise(self, rate: float, now: float) -> float:
        """Return the seconds until the turn of a refused request.

        Each refused request gets a later turn than those before it: of many
        that return together all but one would be refused again.
        """
        earliest = now + (1 - self.level) / rate
        turn = max(earliest, self.promised_at + 1 / rate)
        self.promised_at = min(turn, now + MAX_DELAY_S)
        return self.promised_at - now

    def refill(self, rate: float, depth: float, now: float) -> None:
        """Raise the level; a lower depth binds at once."""
        earned = rate * max(0, now - self.updated_at)
        self.level = min(depth, self.level + earned)
        self.updated_at = now


class AccountLimiter:
    """Admits requests of the accounts that have a rate."""

    __slots__ = (
        '_collected_at',
        '_entries',
        '_out_of_touch_at',
        '_random',
        '_shares',
    )

    def __init__(self, random: Random, now: float) -> None:
        """Start without requests and shares.

        Args:
            random: spreads the first requests of the nodes that are assigned
                shares at the same time.
            now: present time.
        """
        self._random = random
        self._out_of_touch_at = -math.inf
        self._collected_at = now
        self._entries: dict[str, _Entry] = {}
        self._shares: dict[str, float] = {}

    def admit(self, account: Account, now: float, age_s: float) -> float:
        """Admit or refuse one request.

        Args:
            account: the account, as the configuration in force has it.
            now: present time.
            age_s: seconds since the last contact with the leader of the
                sources.

        Returns:
            Zero if it is admitted, else the seconds until one is expected to
            be admitted, `MAX_DELAY_S` at most.
        """
        if not account.rate:
            return 0
        entry = self._entries.get(account.name)
        if entry is None:
            entry = _Entry(now)
            self._assign(entry, self._shares.get(account.name))
            self._entries[account.name] = entry
        entry.offered += 1
        if age_s >= OUT_OF_TOUCH_S:
            self._out_of_touch_at = now
        is_in_touch = now - self._out_of_touch_at > RETURN_S
        if is_in_touch:
            entry.record_contact(now - age_s, now)
        rate, depth = _find_limit(
            entry, account, age_s, is_in_touch=is_in_touch
        )
        entry.refill(rate, depth, now)
        if entry.level >= 1:
            entry.level -= 1
            entry.admitted += 1
            entry.pace.add(1, now)
            return 0
        return entry.promise(rate, now) if rate else MAX_DELAY_S

    def assign(self, shares: dict[str, float]) -> None:
        """Set the shares of this node by account, in place of all others."""
        self._shares = shares
        for name, entry in self._entries.items():
            self._assign(entry, shares.get(name))

    def collect(self, now: float) -> tuple[UsageRow, ...]:
        """Return the requests since the last call, for the next report."""
        part = part_to_report(now - self._collected_at)
        self._collected_at = now
        rows = []
        for name, entry in tuple(self._entries.items()):
            if entry.offered:
                rows.append(
                    UsageRow(
                        name,
                        round(entry.admitted * part),
                        round(entry.offered * part),
                    )
                )
                entry.admitted = 0
                entry.offered = 0
            elif now - entry.updated_at > _IDLE_S:
                self._entries.pop(name)
        return tuple(rows)

    def view(self) -> dict[str, float]:
        """Return the shares of this node by account."""
        return dict(self._shares)

    def _assign(self, entry: _Entry, share: float | None) -> None:
        if share is not None and entry.share is None:
            # A part of one request, so that nodes that are assigned their
            # shares together don't admit one each at once.
            entry.level = min(entry.level, self._random.random())
        entry.share = share


def _find_limit(
    entry: _Entry, account: Account, age_s: float, *, is_in_touch: bool
) -> tuple[float, float]:
    """Return the requests per second and at once that an account has here."""
    if entry.share is not None:
        rate = entry.share * account.rate
        return rate, max(1, rate * SHARE_BURST_S)
    if is_in_touch:
        # Counts of all nodes bind the burst, so one node need not be strict.
        return account.rate, 1 + account.burst + account.rate * SHARE_BURST_S
    decay = 2 ** (-age_s / PACE_HALF_LIFE_S)
    rate = min(account.rate, PACE_MARGIN * decay * entry.known_pace)
    return rate, 1 + rate
