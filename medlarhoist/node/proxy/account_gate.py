"""Account gate: finds the account of each call, and refuses some of them.

Those are calls without a known key, and calls beyond the limit of an account.
"""

from collections.abc import Callable, Sequence
from typing import Final

from msgspec import structs

from medlarhoist.core.accounts import (
    find_account,
    find_named_account,
    has_accounts,
    replace_credentials,
)
from medlarhoist.core.compile import Compiled
from medlarhoist.core.header_names import HeaderNames, find_parent_id
from medlarhoist.core.headers import Header
from medlarhoist.core.resource import Account, Route
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import Failure
from medlarhoist.node.proxy.call import Call
from medlarhoist.node.proxy.running import RunningRequests

_UNKNOWN_KEY: Final = Failure(Verdict.DID_NOT_RUN, 'unknown key', 401)
Admit = Callable[[Account], float]


class AccountGate:
    """Finds the accounts of the calls that enter at one node.

    Args:
        admit_request: admits or refuses a request by the limit of its
            account; returns zero, or the seconds after which to return.
        unknown_keys: calls that were refused without a known key.
    """

    __slots__ = ('_names', '_running', 'admit_request', 'unknown_keys')

    def __init__(self, names: HeaderNames, running: RunningRequests) -> None:
        """Start without calls.

        Args:
            names: names of the headers of callers and targets.
            running: the requests at the target beside this node.
        """
        self._names = names
        self._running = running
        self.admit_request: Admit = _admit_all
        self.unknown_keys = 0

    def admit(
        self,
        compiled: Compiled,
        route: Route,
        headers: Sequence[Header],
        caller_id: str,
    ) -> Account | Failure | None:
        """Return the account whose key a request carries.

        Args:
            compiled: the configuration that routes the request.
            route: its route.
            headers: its headers.
            caller_id: the caller's id of the request, empty if it sent none.

        Returns:
            The account, None where the request needs no key and has no known
            one, or the failure with which it is refused.
        """
        if not has_accounts(compiled):
            return None
        account = find_account(compiled, self._names, headers)
        if account is not None:
            return self._find_excess(account) or account
        if route.anonymous:
            return None
        has_credential = any(
            name == self._names.credential for name, _ in headers
        )
        parent_id = find_parent_id(self._names, caller_id)
        is_nested = self._running.find_account(parent_id) is not None
        if is_nested and not has_credential:
            return None
        self.unknown_keys += 1
        return _UNKNOWN_KEY

    def _find_excess(self, account: Account) -> Failure | None:
        """Return the failure of a call beyond the limit of its account.

        A nested call has no key, and is not counted.
        """
        delay_s = self.admit_request(account)
        if not delay_s:
            return None
        reason = 'limit of the account'
        return Failure(Verdict.DID_NOT_RUN, reason, 429, return_s=delay_s)

    def assign(
        self,
        compiled: Compiled,
        call: Call,
        account: Account | None,
    ) -> None:
        """Set the account of an admitted call, and what its target sees of it.

        A nested call has no key. It belongs to the account of the request that
        made it, which its target is not told.

        Args:
            compiled: the configuration that routes the call.
            call: the call, whose headers are those of the caller.
            account: the account whose key it carries, None for none.
        """
        if not has_accounts(compiled):
            return
        shown = replace_credentials(self._names, call.request.headers, account)
        call.request = structs.replace(call.request, headers=shown)
        call.account = account
        parent_id = find_parent_id(self._names, call.caller_id)
        inherited = self._running.find_account(parent_id)
        if account is None and inherited:
            call.account = find_named_account(compiled, inherited)


def _admit_all(account: Account) -> float:
    """Admit a request, where no limits are kept."""
    return 0
