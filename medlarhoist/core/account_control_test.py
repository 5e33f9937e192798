"""Tests of the limits of accounts over all nodes, by load pattern.

The nodes of three domains report to a keeper each, keepers to the leader; a
report and a share are under way for as long as in a process.
"""

import math
from bisect import bisect_left
from collections import Counter
from random import Random

from pytest import mark

from medlarhoist.core.account_control import AccountControl
from medlarhoist.core.account_limiter import AccountLimiter
from medlarhoist.core.account_subtree import ROWS_PER_REPORT, SubtreeUsage
from medlarhoist.core.account_usage import (
    SharesUpdate,
    UsageRow,
)
from medlarhoist.core.resource import Account

TICK_S = 0.05
REPORT_S = 0.25
STEP_S = 0.2
# Age of the last contact with the leader, in touch.
CONTACT_S = 0.5
# A child that says nothing for so long is disconnected.
TIMEOUT_S = 2.5
WINDOW_S = 5.0
NODES_PER_DOMAIN = 26
DOMAINS = 3
# Load in the calm, of the limit.
USUAL = 0.625
limits = mark.parametrize(
    ('rate', 'burst'), [(250, 0), (250, 250), (10, 0), (10, 10), (1, 3)]
)


class Process:
    """A process of the tree, with the shares that its parent assigned."""

    def __init__(self, name, now):
        self.name = name
        self.usage = SubtreeUsage(now)
        self.usage.attach(name, now)
        self.limiter = AccountLimiter(Random(name), now)
        self.shares = {}
        self.own = {}
        self.age_s = 0
        self.children = []

    def adopt(self, update: SharesUpdate, now):
        self.shares = update.apply(self.shares)
        self.spread(now)

    def report(self, now) -> tuple[UsageRow, ...]:
        self.usage.record(self.name, self.limiter.collect(now), now)
        return self.usage.collect(now)

    def spread(self, now):
        updates = self.usage.divide(self.shares, now)
        if self.name in updates:
            self.own = updates[self.name].apply(self.own)
            self.limiter.assign(self.own)
        for child in self.children:
            if child.name in updates:
                child.adopt(updates[child.name], now)


class Fleet:
    """All nodes, and the requests that they admitted and refused."""

    def __init__(self, *accounts):
        self.random = Random(1)
        self.accounts = {account.name: account for account in accounts}
        self.now = 0
        self.admitted = []
        self.refused = []
        self.restart()

    def restart(self):
        """Replace all processes by ones that know nothing."""
        self.cut = set()
        self.detached = set()
        self.keepers = [
            Process(f'keeper-{at}', self.now) for at in range(DOMAINS)
        ]
        self.nodes = list(self.keepers)
        for keeper in self.keepers:
            for at in range(NODES_PER_DOMAIN - 1):
                node = Process(f'{keeper.name}-{at}', self.now)
                keeper.children.append(node)
                keeper.usage.attach(node.name, self.now)
            self.nodes.extend(keeper.children)
        self.lead()

    def lead(self):
        """Replace the leader by one that knows nothing."""
        self.root = SubtreeUsage(self.now)
        self.control = AccountControl(self.now)
        for keeper in self.keepers:
            if keeper.name not in self.cut:
                self.root.attach(keeper.name, self.now)

    def run(self, until, load):
        """Play requests, (node, account, requests a second) by time."""
        while self.now < until:
            self.now += TICK_S
            for node, account, per_s in load(self.now):
                while self.random.random() < per_s * TICK_S / (
                    1 + per_s * TICK_S
                ):
                    self._request(node, account)
            self._exchange()

    def _request(self, node, account):
        found = self.accounts[account]
        delay_s = node.limiter.admit(found, self.now, node.age_s)
        log = self.refused if delay_s else self.admitted
        log.append((self.now, account))

    def _every(self, interval, at):
        ticks = round(interval / TICK_S)
        return (round(self.now / TICK_S) + at) % ticks == 0

    def _exchange(self):
        for at, node in enumerate(self.nodes):
            is_cut = self._is_cut(node)
            node.age_s = node.age_s + TICK_S if is_cut else CONTACT_S
            if self._every(REPORT_S, at):
                self._report(node)
                node.spread(self.now)
        if self._every(STEP_S, 0) and 'leader' not in self.cut:
            self._step()

    def _step(self):
        shares = self.control.step(self.accounts, self.root, self.now)
        if shares is None:
            return
        updates = self.root.divide(shares, self.now)
        for keeper in self.keepers:
            if keeper.name in updates and keeper.name not in self.cut:
                keeper.adopt(updates[keeper.name], self.now)

    def _is_cut(self, node):
        domain = node.name[: len('keeper-0')]
        return bool(self.cut & {domain, node.name, 'leader'})

    def _report(self, node):
        is_cut = node.name in self.cut
        parent = self.root
        if node in self.keepers:
            is_cut = is_cut or 'leader' in self.cut
        else:
            parent = self.keepers[int(node.name[len('keeper-')])].usage
        if not is_cut:
            if node.name in self.detached:
                self.detached.discard(node.name)
                parent.attach(node.name, self.now)
            parent.record(node.name, node.report(self.now), self.now)
        elif node.age_s > TIMEOUT_S:
            self.detached.add(node.name)
            parent.detach(node.name, self.now)

    def worst(self, since=0):
        """Return the largest part of the bound that any window used."""
        found = self.accounts['shop']
        bound = (found.rate * WINDOW_S + found.burst) * 1.1 + 20
        times = [at for at, _ in self.admitted if at >= since]
        ends = [bisect_left(times, at + WINDOW_S) for at in times]
        return max(end - at for at, end in enumerate(ends)) / bound

    def count(self, log, since=0, until=math.inf):
        return sum(1 for at, _ in log if since <= at < until)

    def domain(self, at):
        keeper = self.keepers[at]
        return [keeper, *keeper.children]


def spread(fleet, per_s):
    """Return requests that come in evenly at all nodes."""
    each = per_s / len(fleet.nodes)
    return [(node, 'shop', each) for node in fleet.nodes]


def hot_from(fleet, start, end):
    """Return a load below the limit that rises to four times the limit."""
    limit = fleet.accounts['shop'].rate
    return lambda now: spread(
        fleet, limit * (4 if start < now < end else USUAL)
    )


def create_shop(rate, burst):
    return Account(name='shop', rate=rate, burst=burst)


@mark.parametrize(('rate', 'burst'), [(250, 250), (10, 10), (1, 10)])
def test_a_steady_load_below_the_limit_is_admitted(rate, burst):
    fleet = Fleet(create_shop(rate, burst))
    # The first second after a start is strict, as the past is unknown.
    fleet.run(3, lambda now: spread(fleet, rate * USUAL))
    node = fleet.nodes[5]
    fleet.run(12, lambda now: [(node, 'shop', rate * USUAL)])
    fleet.run(22, lambda now: spread(fleet, rate * USUAL))
    assert not fleet.count(fleet.refused, since=3)


@limits
def test_one_hot_account_at_one_node(rate, burst):
    fleet = Fleet(create_shop(rate, burst))
    node = fleet.nodes[7]
    fleet.run(8, lambda now: [(node, 'shop', rate * USUAL)])
    fleet.run(15, lambda now: [(node, 'shop', rate * 4)])
    assert fleet.worst() <= 1
    assert fleet.count(fleet.admitted, since=8) >= 0.8 * rate * 7


@limits
def test_one_hot_account_at_all_nodes(rate, burst):
    fleet = Fleet(create_shop(rate, burst))
    fleet.run(25, hot_from(fleet, 8, 20))
    assert fleet.worst() <= 1
    assert fleet.count(fleet.admitted, since=10, until=20) >= 5 * rate
    # Soon after, nodes decide on their own again.
    assert not fleet.control.shares
    assert not any(node.limiter.view() for node in fleet.nodes)


@limits
def test_demand_that_jumps_between_domains(rate, burst):
    fleet = Fleet(create_shop(rate, burst))

    def jump(now):
        domain = fleet.domain(int(now / 3) % DOMAINS)
        return [(node, 'shop', rate * 4 / len(domain)) for node in domain]

    fleet.run(24, jump)
    assert fleet.worst() <= 1
    assert fleet.count(fleet.admitted) >= 0.5 * rate * 24


@limits
@mark.parametrize('hot_at', [2, 9])
@mark.parametrize('is_domain', [True, False])
def test_a_cut_keeps_the_limit(rate, burst, hot_at, is_domain):
    fleet = Fleet(create_shop(rate, burst))
    load = hot_from(fleet, hot_at, 20)
    fleet.run(8, load)
    fleet.cut = {'keeper-2'}
    if not is_domain:
        fleet.cut = {node.name for node in fleet.nodes[3::5]}
        fleet.cut -= {keeper.name for keeper in fleet.keepers}
    fleet.run(14, load)
    fleet.cut = set()
    fleet.run(24, load)
    assert fleet.worst() <= 1


@limits
def test_a_new_leader_keeps_the_limit(rate, burst):
    fleet = Fleet(create_shop(rate, burst))
    load = hot_from(fleet, 4, 20)
    fleet.run(10, load)
    fleet.cut = {'leader'}
    fleet.run(11.5, load)
    fleet.cut = set()
    fleet.lead()
    fleet.run(20, load)
    assert fleet.worst() <= 1


@limits
def test_a_restart_of_all_keeps_the_limit(rate, burst):
    fleet = Fleet(create_shop(rate, burst))
    load = hot_from(fleet, 4, 20)
    fleet.run(10, load)
    # Two seconds pass before processes serve again.
    fleet.restart()
    fleet.run(12, lambda now: [])
    fleet.run(20, load)
    assert fleet.worst() <= 1


@limits
def test_a_lower_limit_binds_a_window_later(rate, burst):
    fleet = Fleet(create_shop(rate, burst))
    fleet.run(10, lambda now: spread(fleet, rate * USUAL))
    lower = create_shop(rate / 4, burst / 4)
    fleet.accounts['shop'] = lower
    fleet.run(20, lambda now: spread(fleet, rate * USUAL))
    assert fleet.worst(since=10 + WINDOW_S) <= 1


def test_small_accounts_beside_a_hot_one():
    """Eighty accounts, each at six nodes, one far beyond its limit."""
    names = [f'account-{at}' for at in range(80)]
    accounts = [Account(name=name, rate=8, burst=8) for name in names]
    fleet = Fleet(*accounts)

    def load(now):
        return [
            (
                fleet.nodes[(at * 7 + part * 13) % len(fleet.nodes)],
                name,
                10 if at == 3 and now > 4 else 0.8,
            )
            for at, name in enumerate(names)
            for part in range(6)
        ]

    fleet.run(12, load)
    refused = Counter(name for at, name in fleet.refused if at > 3)
    assert refused.pop('account-3') > 100
    assert sum(refused.values()) <= 0.01 * len(fleet.admitted)


def test_usage_of_many_accounts_is_reported_in_bounded_parts():
    usage = SubtreeUsage(0)
    usage.attach('child', 0)
    rows = [UsageRow(f'account-{at}', at, at) for at in range(1, 10_000)]
    usage.record('child', rows, 1)
    reported = usage.collect(1.25)
    assert len(reported) == ROWS_PER_REPORT
    assert reported[0].account == 'account-9999'
    total = sum(row.admitted for row in reported)
    for at in range(6, 206):
        usage.hear('child', at / 4)
        total += sum(row.admitted for row in usage.collect(at / 4))
    assert total == sum(row.admitted for row in rows)


def test_accounts_without_a_rate_cost_nothing():
    limiter = AccountLimiter(Random(1), 0)
    account = Account(name='shop')
    assert not any(limiter.admit(account, 0, 100) for _ in range(1000))
    assert not limiter.collect(1)
