"""Fingerprint: identifies requests that are the same apart from their id.

A caller that tries again sends the same method, host, path and query, caller's
credentials and body under a new id, maybe at another node.
"""

import hashlib
from collections.abc import Iterable, Sequence
from typing import Annotated, Final

from msgspec import Meta

from medlarhoist.core.headers import Header, find_header

# Of a longer body, the fingerprint covers the first bytes and the length.
BODY_PREFIX_BYTES: Final = 4096
_OCTETS: Final = 12
_LENGTH_OCTETS: Final = 4
_NAMED_HEADERS: Final = (b'host', b'authorization')

Fingerprint = Annotated[str, Meta(pattern=r'^[0-9a-f]{24}\Z')]


def make_fingerprint_key(shared_key: str) -> bytes:
    """Return the key of fingerprints, which is the same at all nodes.

    Without it nobody can make two requests that have one fingerprint.
    """
    digest = hashlib.blake2b(shared_key.encode(), person=b'fingerprint')
    return digest.digest()


def make_fingerprint(
    key: bytes,
    target: tuple[bytes, bytes],
    headers: Sequence[Header],
    body: tuple[bytes, int],
) -> str:
    """Return the fingerprint of a request.

    Args:
        key: the key of all nodes, see make_fingerprint_key.
        target: method, and path with query.
        headers: headers of the request; host and credentials are used.
        body: first BODY_PREFIX_BYTES of the body, or all of a shorter one, and
            its declared length, zero if it is not declared.
    """
    prefix, length = body
    named = (find_header(headers, name) or b'' for name in _NAMED_HEADERS)
    fields = (*target, *named, prefix, b'%d' % length)
    return _digest(key, fields)


def _digest(key: bytes, fields: Iterable[bytes]) -> str:
    digest = hashlib.blake2b(key=key, digest_size=_OCTETS)
    for field in fields:
        digest.update(len(field).to_bytes(_LENGTH_OCTETS))
        digest.update(field)
    return digest.hexdigest()
