"""Account usage: the requests of limited accounts below one process.

Each node counts the requests of the accounts with a rate. Counts are summed
up the distribution tree to the leader of the sources, which compares them
with the limits (core.account_control). The share of a limit that a process
was assigned is divided among the processes below it by their demand.

Times are seconds of a clock that goes on while a machine is suspended.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Annotated, Final

from msgspec import Meta, Struct

# Time over which demand is averaged: short enough that a share follows a
# jump of demand within a second or two.
DEMAND_S: Final = 0.7
# Time over which the pace of a node that falls silent is averaged.
PACE_S: Final = 5.0
# A silent node goes on at its pace and a margin, as arrivals vary.
PACE_MARGIN: Final = 1.25
# The pace of a silent node is halved each such time, here and at the node.
PACE_HALF_LIFE_S: Final = 60.0
# Children send at least a heartbeat within this time. One that doesn't may be
# disconnected and go on admitting requests.
UNHEARD_S: Final = 1.0
# How long the pace of a child that has fallen silent is counted.
SILENT_S: Final = 5 * PACE_HALF_LIFE_S
# What came in while no report was sent for longer was presumed by the parent,
# and says little of the present demand.
MAX_REPORTED_S: Final = 1.5
# A child that has just attached may still have to report its demand.
SETTLE_S: Final = 0.7
# The share of a child without demand, as if it had this many requests a
# second; else the first request of a new client would be refused for long.
SPARE_DEMAND: Final = 0.2
# Bounds of memory and bytes, whatever the number of accounts is.
ACCOUNTS_PER_CHILD: Final = 1024
ROWS_PER_REPORT: Final = 128
ROWS_PER_UPDATE: Final = 32
_FORGOTTEN: Final = 0.02
_CHANGE: Final = 0.1
_Count = Annotated[int, Meta(ge=0)]


class UsageRow(Struct, frozen=True, array_like=True):
    """Requests of an account since the last report.

    Args:
        account: name of the account.
        admitted: requests that were admitted.
        offered: requests that came in, admitted or not.
    """

    account: str
    admitted: _Count
    offered: _Count


class ShareRow(Struct, frozen=True, array_like=True):
    """The share of an account's limit that a process may use.

    Args:
        account: name of the account.
        share: fraction of its rate; None if its rate needs no division.
    """

    account: str
    share: Annotated[float, Meta(ge=0)] | None


class DecayingRate:
    """Events per second, averaged with exponentially decaying weights."""

    __slots__ = ('_at', '_sum', '_time_s')

    def __init__(self, time_s: float, now: float) -> None:
        """Start without events.

        Args:
            time_s: time constant of the average.
            now: present time.
        """
        self._time_s = time_s
        self._at = now
        self._sum = float()

    def add(self, count: float, now: float) -> None:
        """Count events that happened now."""
        self._sum = self._decayed(now) + count
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the average."""
        return self._decayed(now) / self._time_s

    def _decayed(self, now: float) -> float:
        elapsed_s = max(0, now - self._at)
        return self._sum * math.exp(-elapsed_s / self._time_s)


class _Flow:
    """Requests of one account below one child.

    Args:
        demand: requests that come in.
        pace: requests that are admitted.
        presumed: requests that were counted without a report.
    """

    __slots__ = ('demand', 'pace', 'presumed')

    def __init__(self, now: float) -> None:
        self.demand = DecayingRate(DEMAND_S, now)
        self.pace = DecayingRate(PACE_S, now)
        self.presumed = float()

    def is_forgotten(self, now: float) -> bool:
        demand = self.demand.per_second(now)
        return max(demand, self.pace.per_second(now)) < _FORGOTTEN


class _Child:
    """What one child reports, and the shares that were sent to it."""

    __slots__ = ('attached_at', 'flows', 'heard_at', 'is_attached', 'sent')

    def __init__(self, now: float) -> None:
        self.attached_at = now
        self.heard_at = now
        self.flows: dict[str, _Flow] = {}
        self.sent: dict[str, float] | None = None
        self.is_attached = True

    def demand(self, account: str, now: float) -> float:
        flow = self.flows.get(account)
        return flow.demand.per_second(now) if flow else 0


class SharesUpdate(Struct, frozen=True):
    """Shares for one child that have changed.

    Args:
        rows: the shares.
        is_complete: whether shares of accounts that are not listed end.
    """

    rows: tuple[ShareRow, ...]
    is_complete: bool

    def apply(self, shares: Mapping[str, float]) -> dict[str, float]:
        """Return the shares of the child after this change of its shares."""
        kept = {} if self.is_complete else dict(shares)
        for row in self.rows:
            if row.share is None:
                kept.pop(row.account, None)
            else:
                kept[row.account] = row.share
        return kept


class SubtreeUsage:
    """Counts the usage of the children of one process, itself included."""

    __slots__ = ('_children', '_collected_at', '_pending')

    def __init__(self, now: float) -> None:
        """Start without children."""
        self._children: dict[str, _Child] = {}
        self._collected_at = now
        self._pending: dict[str, list[float]] = {}

    def attach(self, child: str, now: float) -> None:
        """Record that a child attaches; its shares are sent anew."""
        self._children[child] = _Child(now)

    def hear(self, child: str, now: float) -> None:
        """Record that a child has sent a message."""
        known = self._children.get(child)
        if known is not None:
            known.heard_at = now

    def detach(self, child: str, now: float) -> None:
        """Record that the connection of a child has ended.

        A child that stops or moves to another parent says so or ends its
        connection at once. One that was silent before may be disconnected and
        go on, so its requests are still counted, at its pace.
        """
        known = self._children.get(child)
        if known is None:
            return
        if now - known.heard_at < UNHEARD_S or not known.flows:
            self._children.pop(child)
        else:
            known.is_attached = False

    def record(self, child: str, rows: Iterable[UsageRow], now: float) -> None:
        """Add the requests that a child reports."""
        known = self._children.get(child)
        if known is None:
            known = _Child(now)
            self._children[child] = known
        known.heard_at = now
        for row in rows:
            flow = known.flows.get(row.account)
            if flow is None:
                flow = _Flow(now)
                if len(known.flows) < ACCOUNTS_PER_CHILD:
                    known.flows[row.account] = flow
            flow.demand.add(row.offered, now)
            flow.pace.add(row.admitted, now)
            presumed = min(flow.presumed, row.admitted)
            self._add(row.account, row.admitted - presumed, row.offered)
        for flow in known.flows.values():
            flow.presumed = 0

    def collect(
        self, now: float, limit: int = ROWS_PER_REPORT
    ) -> tuple[UsageRow, ...]:
        """Return and discard the requests since the last call.

        Args:
            now: present time.
            limit: rows to return, those with the most requests; the others
                follow with later calls.
        """
        part = part_to_report(now - self._collected_at)
        if part < 1:
            self._pending = {
                account: [part * count for count in counts]
                for account, counts in self._pending.items()
            }
        self._presume(now)
        names = sorted(
            self._pending, key=lambda name: -max(self._pending[name])
        )
        rows = []
        for name in names[:limit]:
            admitted, offered = (int(part) for part in self._pending[name])
            if not admitted and not offered:
                continue
            rows.append(UsageRow(name, admitted, offered))
            rest = self._pending[name]
            rest[0] -= admitted
            rest[1] -= offered
            if not any(rest):
                self._pending.pop(name)
        return tuple(rows)

    def demand(self, account: str, now: float) -> float:
        """Return the requests per second that come in, silent ones left out."""
        return sum(child.demand(account, now) for child in self._heard())

    def divide(
        self, shares: Mapping[str, float], now: float
    ) -> dict[str, SharesUpdate]:
        """Return the changed shares of the children, by name.

        Args:
            shares: the shares of this process by account; other accounts
                need no division.
            now: present time.
        """
        children = {
            name: child
            for name, child in self._children.items()
            if child.is_attached
        }
        totals = {
            account: self.demand(account, now) + SPARE_DEMAND * len(children)
            for account in shares
        }
        updates = {}
        for name, child in children.items():
            if child.sent is None and now - child.attached_at < SETTLE_S:
                continue
            assigned = {
                account: share
                * (child.demand(account, now) + SPARE_DEMAND)
                / totals[account]
                for account, share in shares.items()
            }
            update = _update_child(child, assigned)
            if update is not None:
                updates[name] = update
        return updates

    def expire(self, now: float) -> None:
        """Forget the accounts without requests and children without any."""
        for name, child in tuple(self._children.items()):
            if now - child.heard_at > SILENT_S and not child.is_attached:
                self._children.pop(name)
            for account, flow in tuple(child.flows.items()):
                if flow.is_forgotten(child.heard_at):
                    child.flows.pop(account)

    def _heard(self) -> Iterable[_Child]:
        return (child for child in self._children.values() if child.is_attached)

    def _add(self, account: str, admitted: float, offered: float) -> None:
        pending = self._pending.setdefault(account, [0, 0])
        pending[0] += admitted
        pending[1] += offered

    def _presume(self, now: float) -> None:
        """Count the requests of the children that were not heard of."""
        elapsed_s = now - self._collected_at
        self._collected_at = now
        for child in self._children.values():
            silent_s = now - child.heard_at
            if silent_s < UNHEARD_S:
                continue
            # What it has admitted since the last report included.
            counted_s = min(silent_s, elapsed_s + UNHEARD_S)
            if silent_s - elapsed_s >= UNHEARD_S:
                counted_s = elapsed_s
            factor = PACE_MARGIN * 2 ** (-silent_s / PACE_HALF_LIFE_S)
            for account, flow in child.flows.items():
                pace = factor * flow.pace.per_second(child.heard_at)
                flow.presumed += pace * counted_s
                self._add(account, pace * counted_s, 0)


def part_to_report(elapsed_s: float) -> float:
    """Return which part of its counts a process reports.

    Args:
        elapsed_s: seconds since its last report.
    """
    return MAX_REPORTED_S / max(elapsed_s, MAX_REPORTED_S)


def _update_child(
    child: _Child, assigned: dict[str, float]
) -> SharesUpdate | None:
    """Return what to send to a child, and record it as sent."""
    is_first = child.sent is None
    sent = child.sent or {}
    changed = [
        ShareRow(account, None) for account in sent if account not in assigned
    ]
    # New shares come first, then those that have changed most.
    by_change = sorted(
        (
            -abs(share - sent.get(account, math.inf))
            / max(share, sent.get(account, 0), _FORGOTTEN),
            account,
        )
        for account, share in assigned.items()
    )
    changed.extend(
        ShareRow(account, round(assigned[account], 4))
        for change, account in by_change
        if change < -_CHANGE
    )
    if not changed and not is_first:
        return None
    rows = tuple(changed[:ROWS_PER_UPDATE])
    for row in rows:
        if row.share is None:
            sent.pop(row.account)
        else:
            sent[row.account] = row.share
    child.sent = sent
    return SharesUpdate(rows, is_first)
