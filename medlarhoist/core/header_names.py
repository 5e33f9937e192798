"""Names of the HTTP headers exchanged with callers and targets.

The names are settings of a node, so a mesh whose callers and targets use other
names needs no code change. An empty name disables a header.
"""

from collections.abc import Sequence
from typing import Final

from msgspec import Struct

from medlarhoist.core.headers import Header, drop_headers, find_header

ERROR_STATUS: Final = 400
_FALSE_VALUES: Final = frozenset((b'', b'0', b'false'))


class HeaderNames(Struct, frozen=True, kw_only=True):
    """Header names, lower-case bytes; empty for a disabled header.

    Args:
        deadline: time left in milliseconds, from callers and to targets.
        request_id: id of a caller's attempt, which targets echo.
        origin: service beside the node where a request entered the mesh; set
            by that node, replacing any value from the caller.
        expected_target: id of the run of a target (one lifetime of its
            process) that must serve the request; any other run refuses it.
        nesting: separator between the id of a running request and the suffix
            in the ids of calls that it makes; empty where ids do not show
            which request made a call.
        refusal: set by a target on a response if it did not run the request.
        refusal_statuses: response statuses by which a target states the same
            without a header.
        rate_limit: set by a target on each response while it accepts a limited
            number of requests per second, a decimal number.
        leaving: set by a target on each response once it leaves.
        credential: scheme and key of a caller with a client account; never
            sent to targets where the configuration has accounts.
        credential_scheme: the scheme, in lower case.
        account: name of the client account, to targets; set by the node where
            a request entered the mesh, replacing any value from the caller.
    """

    deadline: bytes = b'x-deadline-ms'
    request_id: bytes = b''
    origin: bytes = b''
    expected_target: bytes = b''
    nesting: str = ''
    refusal: bytes = b'x-did-not-run'
    refusal_statuses: frozenset[int] = frozenset()
    rate_limit: bytes = b'x-request-limit'
    leaving: bytes = b'x-target-leaving'
    credential: bytes = b'authorization'
    credential_scheme: bytes = b'token'
    account: bytes = b'x-account'


DEFAULT_HEADER_NAMES: Final = HeaderNames()


def drop_reserved(
    names: HeaderNames,
    headers: Sequence[Header],
) -> Sequence[Header]:
    """Return a caller's headers without those that only nodes may set."""
    reserved = {names.origin, names.expected_target, names.refusal}
    return drop_headers(headers, reserved)


def read_request_id(names: HeaderNames, headers: Sequence[Header]) -> str:
    """Return the caller's id of a request, empty where it has none."""
    if not names.request_id:
        return ''
    found = find_header(headers, names.request_id) or b''
    return found.decode('latin-1')


def find_parent_id(names: HeaderNames, caller_id: str) -> str:
    """Return the id of the request that made a nested call.

    Args:
        names: header names of the node.
        caller_id: the caller's id of the call.

    Returns:
        The part of the id before the last separator; empty if the id has no
        separator or the mesh uses none.
    """
    if not names.nesting:
        return ''
    parent, separator, _ = caller_id.rpartition(names.nesting)
    return parent if separator else ''


def is_refusal(
    names: HeaderNames,
    status: int,
    headers: Sequence[Header],
) -> bool:
    """Return whether a target's response states that the request did not run.

    The header counts only on an error response.
    """
    if status in names.refusal_statuses:
        return True
    return status >= ERROR_STATUS and is_flagged(headers, names.refusal)


def is_flagged(headers: Sequence[Header], name: bytes) -> bool:
    """Return whether a header is present with a value that is not false."""
    flag = find_header(headers, name)
    return flag is not None and flag not in _FALSE_VALUES


def is_mismatched_response(
    names: HeaderNames,
    sent: Sequence[Header],
    received: Sequence[Header],
) -> bool:
    """Return whether a response belongs to another request.

    A response that echoes no request id is assumed to match.

    Args:
        names: header names of the node.
        sent: headers of the request.
        received: headers of the response.
    """
    if not names.request_id:
        return False
    echoed = find_header(received, names.request_id)
    return echoed is not None and echoed != find_header(
        sent,
        names.request_id,
    )
