"""Account gate: finds the account of each call, and refuses some of them.

Those are calls without a known key, and calls beyond the limit of an account.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from math import inf
from typing import Final

from medlarhoist.core.accounts import (
    find_account,
    find_named_account,
    has_accounts,
    replace_credentials,
)
from medlarhoist.core.compile import Compiled
from medlarhoist.core.confirmation import Confirmations
from medlarhoist.core.header_names import HeaderNames
from medlarhoist.core.headers import Header, find_header
from medlarhoist.core.resource import Account, Route
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import Failure, replace_headers
from medlarhoist.node.proxy.call import Call
from medlarhoist.node.proxy.call_log import log_confirmation
from medlarhoist.node.proxy.running import RunningRequests
from medlarhoist.utils.clock import boot_seconds

MAX_COUNTED: Final = 256
# Operators expect a version in force 2 s after its acceptance. From then on a key
# that it has added must not be called unknown.
UNKNOWN_KEY_S: Final = 1.5
# Contacts with the leader are passed on about once a second.
_RETURN_S: Final = 1.0
_UNKNOWN_KEY: Final = Failure(Verdict.DID_NOT_RUN, 'unknown key', 401)
Admit = Callable[[Account], float]
_UNCONFIRMED: Final = Failure(
    Verdict.DID_NOT_RUN,
    'keys are not confirmed',
    return_s=_RETURN_S,
)


class AccountGate:
    """Finds the accounts of the calls that enter at one node.

    Args:
        admit_request: admits or refuses a request by the limit of its
            account; returns zero, or the seconds after which to return.
        calls: calls by the name of their account, at most MAX_COUNTED names;
            those of further accounts are counted under the empty name.
        unknown_keys: calls that were refused without a known key.
        unconfirmed: calls that were refused as this node could not tell
            whether their keys were withdrawn.
        is_confirmed: whether it could tell at the latest call with a key.
    """

    __slots__ = (
        '_confirmations',
        '_lease_s',
        '_names',
        '_running',
        'admit_request',
        'calls',
        'is_confirmed',
        'unconfirmed',
        'unknown_keys',
    )

    def __init__(
        self,
        names: HeaderNames,
        running: RunningRequests,
        confirmations: Confirmations,
        lease_s: float,
    ) -> None:
        """Start without calls.

        Args:
            names: names of the headers of callers and targets.
            running: the requests at the target beside this node.
            confirmations: when the versions of this node were known to be the
                newest.
            lease_s: seconds after such a moment for which keys are served,
                zero for ever.
        """
        self._confirmations = confirmations
        self._lease_s = lease_s
        self._names = names
        self._running = running
        self.admit_request: Admit = _admit_all
        self.calls: Counter[str] = Counter()
        self.is_confirmed = True
        self.unconfirmed = 0
        self.unknown_keys = 0

    def admit(
        self,
        compiled: Compiled,
        route: Route,
        headers: Sequence[Header],
        parent_id: str,
    ) -> Account | Failure | None:
        """Return the account whose key a request carries.

        Args:
            compiled: the configuration that routes the request.
            route: its route.
            headers: its headers.
            parent_id: id of the request that its id names as its parent,
                empty for none.

        Returns:
            The account, None where the request needs no key and has no known
            one, or the failure with which it is refused.
        """
        if not has_accounts(compiled):
            return None
        account = find_account(compiled, self._names, headers)
        if account is None:
            if route.anonymous or self._is_nested(headers, parent_id):
                return None
        elif route.anonymous:
            return self._find_excess(account) or account
        age_s = self._read_age(compiled.version)
        if account is not None and age_s < (self._lease_s or inf):
            return self._find_excess(account) or account
        if account is None and age_s < UNKNOWN_KEY_S:
            self.unknown_keys += 1
            return _UNKNOWN_KEY
        self.unconfirmed += 1
        return _UNCONFIRMED

    def _is_nested(self, headers: Sequence[Header], parent_id: str) -> bool:
        """Return whether a request without a key comes from the target."""
        if find_header(headers, self._names.credential) is not None:
            return False
        return self._running.find_account(parent_id) is not None

    def _read_age(self, version: int) -> float:
        """Return the seconds since a version was known to be the newest.

        Zero where withdrawals need not bind nodes out of touch.
        """
        if not self._lease_s:
            return 0
        age_s = self._confirmations.seconds_since(version, boot_seconds())
        is_confirmed = age_s < self._lease_s
        if is_confirmed is not self.is_confirmed:
            self.is_confirmed = is_confirmed
            log_confirmation(version, age_s, is_confirmed=is_confirmed)
        return age_s

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
        parent_id: str,
    ) -> None:
        """Set the account of an admitted call, and what its target sees of it.

        A nested call has no key. It belongs to the account of the request that
        made it, which its target is not told.

        Args:
            compiled: the configuration that routes the call.
            call: the call, whose headers are those of the caller.
            account: the account whose key it carries, None for none.
            parent_id: as in `admit`.
        """
        if not has_accounts(compiled):
            return
        shown = replace_credentials(self._names, call.request.headers, account)
        call.request = replace_headers(call.request, shown)
        call.account = account
        inherited = self._running.find_account(parent_id)
        if account is None and inherited:
            call.account = find_named_account(compiled, inherited)
        if call.account is not None:
            self._count(call.account.name)

    def _count(self, name: str) -> None:
        is_counted = name in self.calls or len(self.calls) < MAX_COUNTED
        self.calls[name if is_counted else ''] += 1


def _admit_all(account: Account) -> float:
    """Admit a request, where no limits are kept."""
    return 0
