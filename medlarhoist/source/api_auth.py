"""Auth: authenticates operators by bearer tokens.

The settings hold the SHA-256 digests of the tokens, not the tokens.
"""

import hashlib
import hmac
from typing import Final

from medlarhoist.core.settings import Operator

_SCHEME: Final = 'bearer '


def find_operator(
    operators: tuple[Operator, ...],
    authorization: str,
) -> str | None:
    """Return the name of the operator whose token a request has.

    Args:
        operators: the operators that may use the resource API.
        authorization: value of the Authorization header.

    Returns:
        The name, or None if no operator has this token. Every digest is
        compared, each in constant time, so that the response time reveals
        nothing about the tokens.
    """
    scheme, token = authorization[: len(_SCHEME)], authorization[len(_SCHEME) :]
    if scheme.lower() != _SCHEME:
        return None
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    found = None
    for operator in operators:
        if hmac.compare_digest(operator.token_sha256, digest):
            found = operator.name
    return found
