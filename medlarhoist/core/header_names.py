"""Dialect: the header names by which a node speaks with callers and targets.

The names are settings of the node, so that a mesh whose callers and targets
use other names needs no other code. An empty name turns a header off.
"""

from collections.abc import Sequence
from typing import Final

from msgspec import Struct

from medlarhoist.core.headers import Header, find_header

ERROR_STATUS: Final = 400
_NO: Final = frozenset((b'', b'0', b'false'))


class Dialect(Struct, frozen=True, kw_only=True):
    """Header names, lower-case bytes, empty for none.

    Args:
        deadline: time left in milliseconds, from callers and to targets.
        request_id: id of a caller's attempt, which targets echo.
        origin: service beside the node where a request entered the mesh; set
            by that node, whatever the caller sent.
        expected_target: id of the run of a target that shall serve; another
            run refuses.
        nesting: what stands between the id of a running request and the rest
            of the id of a call that it makes; empty where ids do not tell.
        refusal: set by targets on an answer that says that they did not run
            the request.
        refusal_statuses: answers by which a target says so without a header.
    """

    deadline: bytes = b'x-deadline-ms'
    request_id: bytes = b''
    origin: bytes = b''
    expected_target: bytes = b''
    nesting: str = ''
    refusal: bytes = b'x-did-not-run'
    refusal_statuses: frozenset[int] = frozenset()


DEFAULT_DIALECT: Final = Dialect()


def drop_reserved(dialect: Dialect, headers: Sequence[Header]) -> list[Header]:
    """Return a caller's headers without those that only nodes may set."""
    reserved = {dialect.origin, dialect.expected_target, dialect.refusal}
    return [header for header in headers if header[0] not in reserved]


def read_id(dialect: Dialect, headers: Sequence[Header]) -> str:
    """Return the caller's id of a request, empty where it has none."""
    if not dialect.request_id:
        return ''
    found = find_header(headers, dialect.request_id) or b''
    return found.decode('latin-1')


def find_parent_id(dialect: Dialect, caller_id: str) -> str:
    """Return the id of the request that would have made a call, or nothing."""
    if not dialect.nesting:
        return ''
    parent, mark, _ = caller_id.rpartition(dialect.nesting)
    return parent if mark else ''


def is_refusal(
    dialect: Dialect,
    status: int,
    headers: Sequence[Header],
) -> bool:
    """Say whether a target's answer tells that the request did not run."""
    if status in dialect.refusal_statuses:
        return True
    told = find_header(headers, dialect.refusal)
    return status >= ERROR_STATUS and told is not None and told not in _NO


def is_crossed(
    dialect: Dialect,
    sent: Sequence[Header],
    answered: Sequence[Header],
) -> bool:
    """Say whether an answer names another request than the one sent."""
    if not dialect.request_id:
        return False
    echoed = find_header(answered, dialect.request_id)
    return echoed is not None and echoed != find_header(
        sent,
        dialect.request_id,
    )
