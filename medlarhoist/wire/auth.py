"""Auth: authenticates processes to each other by the shared key.

A token consists of its sender's name, its time and an HMAC of both:
`sender:seconds:digest`.
"""

import hashlib
import hmac
from typing import Final

from medlarhoist.core.whole_number import parse_whole_number

METADATA_KEY: Final = 'x-medlarhoist-token'
MAX_STAMP_DIGITS: Final = 15
TOKEN_LIFETIME_SECONDS: Final = 300
_DIGEST_BYTES: Final = 16


def sign(key: bytes, content: bytes) -> bytes:
    """Return the HMAC-SHA256 of the content, truncated to 16 bytes."""
    return hmac.digest(key, content, hashlib.sha256)[:_DIGEST_BYTES]


def is_signed(key: bytes, content: bytes, digest: bytes) -> bool:
    """Return whether `sign` returns this digest for key and content."""
    return hmac.compare_digest(sign(key, content), digest)


def make_token(key: bytes, sender: str, now: int) -> str:
    """Return a token for the metadata or headers of a call.

    Args:
        key: the shared key.
        sender: name of this process.
        now: seconds since 1970.
    """
    claim = f'{sender}:{now}'
    return f'{claim}:{sign(key, claim.encode()).hex()}'


def is_token_valid(key: bytes, token: str, now: int) -> bool:
    """Return whether a token was made with the key and has not expired.

    Args:
        key: the shared key.
        token: the token as received; malformed text is invalid.
        now: seconds since 1970. The time of the token may be at most
            `TOKEN_LIFETIME_SECONDS` before or after it.
    """
    claim, _, digest = token.rpartition(':')
    _, _, stamp = claim.rpartition(':')
    made_at = parse_whole_number(stamp, MAX_STAMP_DIGITS)
    if made_at is None or abs(now - made_at) > TOKEN_LIFETIME_SECONDS:
        return False
    expected = sign(key, claim.encode()).hex()
    return hmac.compare_digest(expected.encode(), digest.encode())
