"""Account subtree: the usage of limited accounts below one process.

Sums the requests that its children report, counts those that fell silent at
the pace that they had, and divides the shares of the process among them by
their demand.

Times are seconds of a clock that goes on while a machine is suspended.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from medlarhoist.core.account_usage import (
    PACE_HALF_LIFE_S,
    PACE_MARGIN,
    PACE_S,
    SETTLE_S,
    DecayingRate,
    ShareRow,
    SharesUpdate,
    UsageRow,
    part_to_report,
)

# Time over which demand is averaged: short enough that a share follows a
# jump of demand within a second or two.
DEMAND_S: Final = 0.7
# Children send at least a heartbeat within this time. One that doesn't may be
# disconnected and go on admitting requests.
UNHEARD_S: Final = 1.0
# The first report of a child comes within this time.
NEW_S: Final = 0.3
# How long the pace of a child that has fallen silent is counted.
SILENT_S: Final = 5 * PACE_HALF_LIFE_S
# The share of a child without demand, as if it had this many requests a
# second; else the first request of a new client would be refused for long.
SPARE_DEMAND: Final = 0.2
# Bounds of memory and bytes, whatever the number of accounts is.
ACCOUNTS_PER_CHILD: Final = 1024
ROWS_PER_REPORT: Final = 64
ROWS_PER_UPDATE: Final = 32
_FORGOTTEN: Final = 0.02
_CHANGE: Final = 0.1


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

    __slots__ = (
        'attached_at',
        'flows',
        'group',
        'heard_at',
        'is_attached',
        'sent',
    )

    def __init__(self, now: float, group: str = '') -> None:
        self.group = group
        self.attached_at = now
        self.heard_at = now
        self.flows: dict[str, _Flow] = {}
        self.sent: dict[str, float] | None = None
        self.is_attached = True

    def demand(self, account: str, now: float) -> float:
        flow = self.flows.get(account)
        return flow.demand.per_second(now) if flow else 0


class SubtreeUsage:
    """Counts the usage of the children of one process, itself included."""

    __slots__ = ('_children', '_collected_at', '_pending')

    def __init__(self, now: float) -> None:
        """Start without children."""
        self._children: dict[str, _Child] = {}
        self._collected_at = now
        self._pending: dict[str, list[float]] = {}

    def attach(self, child: str, now: float, group: str = '') -> None:
        """Record that a child attaches; its shares are sent anew.

        Args:
            child: name of the child.
            now: present time.
            group: children of which each can take over the processes below
                another, so that only the silence of all of them means that
                these are disconnected; empty for none.
        """
        self._children[child] = _Child(now, group)

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
        is_new = now - known.attached_at < NEW_S
        for row in rows:
            flow = known.flows.get(row.account)
            if flow is None:
                flow = _Flow(now)
                if len(known.flows) < ACCOUNTS_PER_CHILD:
                    known.flows[row.account] = flow
            flow.demand.add(row.offered, now)
            flow.pace.add(row.admitted, now)
            # Requests before it attached were counted another way.
            presumed = row.admitted if is_new else flow.presumed
            admitted = max(0, row.admitted - presumed)
            self._add(row.account, admitted, row.offered)
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

    def forget(self, child: str) -> None:
        """Stop counting a silent child, whose requests come another way."""
        known = self._children.get(child)
        if known is not None and not known.is_attached:
            self._children.pop(child)

    def silent(self) -> tuple[str, ...]:
        """Return the children whose connection ended after a silence."""
        return tuple(
            name
            for name, child in self._children.items()
            if not child.is_attached
        )

    def expire(self, now: float) -> None:
        """Forget accounts without requests, and children not to be counted."""
        groups = {
            child.group
            for child in self._heard()
            if now - child.heard_at < UNHEARD_S
        }
        for name in self.silent():
            child = self._children[name]
            is_replaced = child.group and child.group in groups
            if is_replaced or now - child.heard_at > SILENT_S:
                self._children.pop(name)
        for known in self._children.values():
            for account, flow in tuple(known.flows.items()):
                if flow.is_forgotten(known.heard_at):
                    known.flows.pop(account)

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
