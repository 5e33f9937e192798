"""Account limits: holds this node to the limits of accounts with a rate.

The requests that it admits and those of its subtree are reported to the
parent; the shares of the rates that come down the tree are divided among
itself and its children (core.account_usage).
"""

from collections.abc import Callable, Iterable
from math import inf
from random import Random
from typing import Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.account_limiter import AccountLimiter
from medlarhoist.core.account_subtree import SubtreeUsage
from medlarhoist.core.account_usage import (
    SharesUpdate,
    UsageRow,
)
from medlarhoist.core.resource import Account
from medlarhoist.utils.clock import boot_seconds
from medlarhoist.wire.message import Shares

# A parent of many children reports this often, others with their evidence.
REPORT_S: Final = 0.1
# Bounds the metrics, whatever the number of accounts is.
COUNTED_ACCOUNTS: Final = 64
# Refusals of an account are logged again after this time without any.
QUIET_S: Final = 5.0
OTHER_ACCOUNTS: Final = 'other accounts'
# Callers that were refused together do not return together.
_SPREAD: Final = 0.5
Send = Callable[[str, Shares], None]


class AccountLimitsView(Struct, frozen=True, kw_only=True):
    """State of the limits in a dump.

    Args:
        shares: fraction of its rate that this node may use, by account; other
            accounts are well below their limits.
        refused: requests refused since the start, by account; those past
            `COUNTED_ACCOUNTS` together.
        silent: children that count as disconnected, with the pace that they
            had.
    """

    shares: dict[str, float]
    refused: dict[str, int]
    silent: tuple[str, ...]


NO_LIMITS: Final = AccountLimitsView(shares={}, refused={}, silent=())


class AccountLimits:
    """The limits of accounts at one node.

    Args:
        contact_age_s: returns the seconds since the last contact with the
            leader of the sources.
        is_used: whether a node of the subtree has had requests of an account
            with a rate, or a share.
        is_missing: returns whether a node, by name, is not reached by its
            domain.
    """

    __slots__ = (
        '_limiter',
        '_name',
        '_own_shares',
        '_random',
        '_refused',
        '_refused_at',
        '_reported_at',
        '_send',
        '_shares',
        '_usage',
        'contact_age_s',
        'is_used',
        'is_missing',
    )

    def __init__(self, name: str, random: Random, send: Send) -> None:
        """Start without requests and shares.

        Args:
            name: name of this node.
            random: spreads shares and delays.
            send: sends shares to a child, by name.
        """
        now = boot_seconds()
        self._name = name
        self._send = send
        self._random = random
        self._limiter = AccountLimiter(random, now)
        self._usage = SubtreeUsage(now)
        self._usage.attach(name, now)
        self._shares: dict[str, float] = {}
        self._own_shares: dict[str, float] = {}
        self._refused: dict[str, int] = {}
        self._refused_at: dict[str, float] = {}
        self.is_used = False
        self._reported_at = now
        self.contact_age_s: Callable[[], float] = float
        self.is_missing: Callable[[str], bool] = bool

    def admit(self, account: Account) -> float:
        """Admit or refuse one request of an account.

        Returns:
            Zero if it is admitted, else the seconds after which to return.
        """
        if not account.rate:
            return 0
        self.is_used = True
        age_s = self.contact_age_s()
        delay_s = self._limiter.admit(account, boot_seconds(), age_s)
        if not delay_s:
            return 0
        self._log_refusal(account, age_s)
        name = account.name
        if name not in self._refused:
            if len(self._refused) >= COUNTED_ACCOUNTS:
                name = OTHER_ACCOUNTS
        self._refused[name] = self._refused.get(name, 0) + 1
        return delay_s * (1 + _SPREAD * self._random.random())

    def attach(self, child: str) -> None:
        """Record that a child attaches."""
        self._usage.attach(child, boot_seconds())

    def detach(self, child: str) -> None:
        """Record that a child has detached, or was given up."""
        self._usage.detach(child, boot_seconds())

    def record(self, child: str, rows: Iterable[UsageRow]) -> None:
        """Record a message of a child, with the usage that it reports."""
        now = boot_seconds()
        self._usage.hear(child, now)
        if rows:
            self.is_used = True
            self._usage.record(child, rows, now)

    def report(self) -> tuple[UsageRow, ...]:
        """Return the usage of the subtree since the last report.

        Empty within `REPORT_S` of the last one.
        """
        now = boot_seconds()
        if not self.is_used or now - self._reported_at < REPORT_S:
            return ()
        self._reported_at = now
        self._usage.record(self._name, self._limiter.collect(now), now)
        return self._usage.collect(now)

    def receive(self, message: Shares) -> None:
        """Adopt the shares that the parent assigns, and divide them."""
        self.is_used = True
        update = SharesUpdate(message.rows, message.is_complete)
        self._shares = update.apply(self._shares)
        self.divide()

    def divide(self) -> None:
        """Send the shares that have changed to the children.

        Called with each heartbeat, as demand moves between children.
        """
        if not self.is_used:
            return
        now = boot_seconds()
        self._usage.hear(self._name, now)
        for name, update in self._usage.divide(self._shares, now).items():
            if name == self._name:
                self._own_shares = update.apply(self._own_shares)
                self._limiter.assign(self._own_shares)
            else:
                message = Shares(
                    rows=update.rows, is_complete=update.is_complete
                )
                self._send(name, message)

    def expire(self) -> None:
        """Forget what need not be counted any more.

        A silent child that its domain reaches has another parent.
        """
        for name in self._usage.silent():
            if not self.is_missing(name):
                self._usage.forget(name)
        now = boot_seconds()
        self._usage.expire(now)
        self._refused_at = {
            account: at
            for account, at in self._refused_at.items()
            if now - at < QUIET_S
        }

    def _log_refusal(self, account: Account, age_s: float) -> None:
        """Log the first refusal after a time without any."""
        now = boot_seconds()
        before = self._refused_at.get(account.name, -inf)
        self._refused_at[account.name] = now
        if now - before < QUIET_S:
            return
        logger.bind(
            account=account.name,
            rate=account.rate,
            share=self._own_shares.get(account.name),
            age_s=round(age_s, 2),
        ).info('accounts: refuses requests beyond a limit')

    def view(self) -> AccountLimitsView:
        """Return the state for a dump."""
        return AccountLimitsView(
            shares=self._limiter.view(),
            refused=dict(self._refused),
            silent=self._usage.silent(),
        )
