"""Auth: processes prove to one another that they hold the shared key.

A token names its sender and time and carries a keyed digest over both.
"""

import hashlib
import hmac
from typing import Final

METADATA_KEY: Final = 'x-medlarhoist-token'
TOKEN_LIFETIME_SECONDS: Final = 300
_DIGEST_BYTES: Final = 16


def sign(key: bytes, content: bytes) -> bytes:
    """Return the keyed digest of some bytes, 16 bytes long."""
    return hmac.digest(key, content, hashlib.sha256)[:_DIGEST_BYTES]


def is_signed(key: bytes, content: bytes, digest: bytes) -> bool:
    """Say whether the digest was made with the key."""
    return hmac.compare_digest(sign(key, content), digest)


def make_token(key: bytes, sender: str, now: int) -> str:
    """Return a token for the metadata of a call.

    Args:
        key: the shared key.
        sender: name of this process.
        now: seconds since 1970.
    """
    claim = f'{sender}:{now}'
    return f'{claim}:{sign(key, claim.encode()).hex()}'


def is_token_valid(key: bytes, token: str, now: int) -> bool:
    """Say whether a token is fresh and made with the key."""
    claim, _, digest = token.rpartition(':')
    _, _, stamp = claim.rpartition(':')
    if not stamp.isdigit() or abs(now - int(stamp)) > TOKEN_LIFETIME_SECONDS:
        return False
    expected = sign(key, claim.encode()).hex()
    return hmac.compare_digest(expected.encode(), digest.encode())
