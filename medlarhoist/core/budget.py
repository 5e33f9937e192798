"""Retry budget: limits retries to a fraction of the calls of a service.

A token bucket: each call adds a fraction of a token and each retry consumes a
whole one, so that retries cannot multiply the load of a failing service.
"""

from typing import Final

from msgspec import Struct

# The whole mesh may retry a fifth of the calls. When a request is retried, its
# nested calls are made again, so retries at the entry get half of that.
TOKENS_PER_CALL: Final = 0.1
# Kept small because all nodes use up their saved tokens at the same time when
# a service starts to fail.
MAX_TOKENS: Final = 3.0
INITIAL_TOKENS: Final = 2.0


class RetryBudget(Struct, frozen=True):
    """Token bucket of one service.

    Args:
        tokens: retries that may be made now, at most MAX_TOKENS.
    """

    tokens: float


def add_call(budget: RetryBudget) -> RetryBudget:
    """Return the budget after a new call."""
    return RetryBudget(min(MAX_TOKENS, budget.tokens + TOKENS_PER_CALL))


def try_consume(budget: RetryBudget) -> RetryBudget | None:
    """Return the budget after a retry, None if no whole token is left."""
    if budget.tokens < 1:
        return None
    return RetryBudget(budget.tokens - 1)


class RetryBudgets:
    """The retry budgets of one node, by service."""

    __slots__ = ('_budgets',)

    def __init__(self) -> None:
        """Start each service with INITIAL_TOKENS."""
        self._budgets: dict[str, RetryBudget] = {}

    def add_call(self, service: str) -> None:
        """Add the tokens of a new call of a service."""
        budget = self._budgets.get(service) or RetryBudget(INITIAL_TOKENS)
        self._budgets[service] = add_call(budget)

    def try_consume(self, service: str) -> bool:
        """Consume a token of a service; return whether one was left."""
        left = try_consume(
            self._budgets.get(service) or RetryBudget(INITIAL_TOKENS),
        )
        if left is None:
            return False
        self._budgets[service] = left
        return True
