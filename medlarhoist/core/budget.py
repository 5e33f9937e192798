"""Budget: bounds retries to a share of the calls.

Each call earns a part of a retry and each retry spends a whole one, so that
retries cannot multiply the load of a service in distress.
"""

from typing import Final

from msgspec import Struct

# The mesh may repeat a fifth of the calls. Calls that a repeated request
# makes are repeats too, so the first repeats get half of it.
RETRY_SHARE: Final = 0.1
# What every node has saved up is spent at once when a service turns bad.
LARGEST: Final = 3.0
START: Final = 2.0


class RetryBudget(Struct, frozen=True):
    """The retries that may be made now.

    Args:
        tokens: retries saved up, of at most LARGEST.
    """

    tokens: float


def add_call(budget: RetryBudget) -> RetryBudget:
    """Return the budget after a new call."""
    return RetryBudget(min(LARGEST, budget.tokens + RETRY_SHARE))


def try_consume(budget: RetryBudget) -> RetryBudget | None:
    """Return the budget after a retry, or None where none is left."""
    if budget.tokens < 1:
        return None
    return RetryBudget(budget.tokens - 1)


class RetryBudgets:
    """The retry budgets of one node, by service."""

    __slots__ = ('_budgets',)

    def __init__(self) -> None:
        """Start with a full start for each service."""
        self._budgets: dict[str, RetryBudget] = {}

    def add_call(self, service: str) -> None:
        """Note a new call of a service."""
        known = self._budgets.get(service) or RetryBudget(START)
        self._budgets[service] = add_call(known)

    def try_consume(self, service: str) -> bool:
        """Take a retry of a service; say whether there was one."""
        left = try_consume(self._budgets.get(service) or RetryBudget(START))
        if left is None:
            return False
        self._budgets[service] = left
        return True
