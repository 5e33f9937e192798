"""Account limits: the leader divides the rates of accounts among keepers.

Keepers report the requests of the nodes below them, and divide in turn the
shares that they are assigned (core.account_control).
"""

from collections.abc import Callable, Iterable
from typing import Final

from medlarhoist.core.account_control import AccountControl
from medlarhoist.core.account_subtree import SubtreeUsage
from medlarhoist.core.account_usage import UsageRow
from medlarhoist.core.resource import Account
from medlarhoist.core.snapshot import EMPTY_SNAPSHOT, Snapshot
from medlarhoist.utils.clock import boot_seconds
from medlarhoist.wire.message import Shares

# The leader is woken far more often by acknowledgements.
STEP_S: Final = 0.15
Send = Callable[[str, Shares], None]


class AccountLimits:
    """Compares the usage of all nodes with the limits, at the leader.

    Nothing of it is logged: a new leader starts from the reports of the
    nodes, which keep the shares that they have meanwhile.
    """

    __slots__ = (
        '_accounts',
        '_active',
        '_control',
        '_send',
        '_stepped_at',
        '_usage',
    )

    def __init__(self, send: Send) -> None:
        """Start without usage.

        Args:
            send: sends shares to an attached keeper, by name.
        """
        self._send = send
        self._accounts: dict[str, Account] = {}
        self._active = EMPTY_SNAPSHOT
        self.reset()

    def reset(self) -> None:
        """Forget the usage; called while this source does not lead."""
        now = boot_seconds()
        self._usage = SubtreeUsage(now)
        self._stepped_at = now
        self._control: AccountControl | None = None

    def attach(self, keeper: str, domain: str) -> None:
        """Record that a keeper of a failure domain attaches."""
        self._usage.attach(keeper, boot_seconds(), domain)

    def detach(self, keeper: str) -> None:
        """Record that a keeper has detached, or was given up."""
        self._usage.detach(keeper, boot_seconds())

    def record(self, keeper: str, rows: Iterable[UsageRow]) -> None:
        """Record a message of a keeper, with the usage that it reports."""
        now = boot_seconds()
        self._usage.hear(keeper, now)
        if rows:
            self._usage.record(keeper, rows, now)

    def step(self, active: Snapshot) -> None:
        """Send the shares that have changed; called at short intervals.

        Does nothing within `STEP_S` of the last time.

        Args:
            active: the active configuration.
        """
        if active is not self._active:
            self._active = active
            self._accounts = {
                account.name: account
                for account in active.accounts
                if account.rate
            }
        if not self._accounts:
            return
        now = boot_seconds()
        if now - self._stepped_at < STEP_S:
            return
        self._stepped_at = now
        if self._control is None:
            self._control = AccountControl(now)
        shares = self._control.step(self._accounts, self._usage, now)
        if shares is None:
            return
        for name, update in self._usage.divide(shares, now).items():
            message = Shares(rows=update.rows, is_complete=update.is_complete)
            self._send(name, message)

    def shares(self) -> dict[str, float]:
        """Return the divided fractions of rates, by account, for a dump."""
        return self._control.shares if self._control else {}
