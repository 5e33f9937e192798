"""Account control: keeps the usage of all nodes within the limits.

Runs at the leader of the sources. Each account with a rate has a token bucket
that is charged with the requests that the nodes report. While the bucket
lasts, nodes admit on their own. When it is about to run out, the leader
assigns shares of the rate to the nodes, less what the bucket lacks: what was
admitted before a share reached the nodes is taken off afterwards, so a delay
costs no more than the requests that came in during it, once.

Times are seconds of a clock that goes on while a machine is suspended.
"""

from collections.abc import Mapping
from typing import Final

from medlarhoist.core.account_subtree import SubtreeUsage
from medlarhoist.core.account_usage import SETTLE_S
from medlarhoist.core.resource import Account

# The time that a report takes up the tree and a share down, with a margin.
HORIZON_S: Final = 1.0
# Time in which the shares use up, or make up for, what the bucket holds or
# lacks. Longer than the delay of the reports, or the shares would oscillate.
BALANCE_S: Final = 1.5
# Reports come at this interval, and in whole requests.
REPORT_S: Final = 0.25
REPORT_REQUESTS: Final = 5
# How full a bucket is taken to be that a new leader doesn't know.
UNKNOWN_PART: Final = 0.5
# A longer debt would refuse an account for long after few seconds of excess.
MAX_DEBT_S: Final = 5.0


class _Bucket:
    """The token bucket of one account.

    Args:
        level: requests that may come in at once, negative for those to be
            made up for.
        is_divided: whether nodes are held to shares.
    """

    __slots__ = ('is_divided', 'level')

    def __init__(self, level: float) -> None:
        self.level = level
        self.is_divided = False


class AccountControl:
    """The buckets of the accounts whose requests were reported.

    Args:
        shares: fractions of the rates that all nodes together have, of the
            accounts whose rate is divided.
    """

    __slots__ = ('_buckets', '_started_at', '_updated_at', 'shares')

    def __init__(self, now: float) -> None:
        """Start without buckets; called when a source begins to lead."""
        self._buckets: dict[str, _Bucket] = {}
        self._started_at = now
        self._updated_at = now
        self.shares: dict[str, float] = {}

    def step(
        self,
        accounts: Mapping[str, Account],
        usage: SubtreeUsage,
        now: float,
    ) -> dict[str, float] | None:
        """Charge the reported requests and return the shares of all nodes.

        Args:
            accounts: the accounts by name, as the configuration in force has
                them.
            usage: the requests that the children report; collected here.
            now: present time.

        Returns:
            Fractions of the rates by account, for the accounts whose rate has
            to be divided; None until the nodes had time to report to this
            leader, meanwhile they keep their shares.
        """
        is_settled = now - self._started_at >= SETTLE_S
        self._refill(accounts, now)
        part = 1 if is_settled else UNKNOWN_PART
        self._charge(accounts, usage, now, part)
        shares = {}
        for name, bucket in tuple(self._buckets.items()):
            account = accounts[name]
            demand = usage.demand(name, now)
            if _update_bucket(bucket, account, demand):
                allowed = account.rate + bucket.level / BALANCE_S
                shares[name] = max(0, allowed) / account.rate
            elif not demand and bucket.level >= account.burst:
                self._buckets.pop(name)
        usage.expire(now)
        self.shares = shares
        return shares if is_settled else None

    def _refill(self, accounts: Mapping[str, Account], now: float) -> None:
        """Raise the levels; drop the buckets of accounts without a limit."""
        elapsed_s = now - self._updated_at
        self._updated_at = now
        for name, bucket in tuple(self._buckets.items()):
            account = accounts.get(name)
            if account is None or not account.rate:
                self._buckets.pop(name)
                continue
            level = bucket.level + account.rate * elapsed_s
            bucket.level = min(_depth(account), level)

    def _charge(
        self,
        accounts: Mapping[str, Account],
        usage: SubtreeUsage,
        now: float,
        part: float,
    ) -> None:
        """Charge the reported requests.

        Args:
            accounts: the accounts by name.
            usage: the requests that the children report; collected here.
            now: present time.
            part: how full a new bucket is taken to be, of its depth.
        """
        for row in usage.collect(now, limit=len(accounts)):
            account = accounts.get(row.account)
            if account is None or not account.rate:
                continue
            # A new leader doesn't know what was used before it: a full bucket
            # could admit a burst twice, an empty one refuse a usual load.
            start = _depth(account) * part
            bucket = self._buckets.setdefault(row.account, _Bucket(start))
            debt = account.rate * MAX_DEBT_S
            bucket.level = max(bucket.level - row.admitted, -debt)


def _depth(account: Account) -> float:
    """Return the highest level of a bucket.

    It is the burst and what one report may contain of a steady load.
    """
    return account.burst + account.rate * REPORT_S + REPORT_REQUESTS


def _update_bucket(bucket: _Bucket, account: Account, demand: float) -> bool:
    """Return whether the rate of an account has to be divided."""
    excess = demand - account.rate
    if bucket.is_divided:
        is_over = bucket.level < 2 * HORIZON_S * excess or bucket.level < 0
    else:
        is_over = bucket.level < HORIZON_S * excess
    bucket.is_divided = is_over
    return is_over
