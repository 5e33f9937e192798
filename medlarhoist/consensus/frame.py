"""Frame: checksummed records in the files of a data folder.

A frame is a header (length and checksum of the body, then a checksum of both)
and a body. Without the header's own checksum, a damaged length would look like
a write that a crash cut short.
"""

import struct
import zlib
from typing import Final

from msgspec import Struct

_HEADER: Final = struct.Struct('>II')
_CHECKSUM: Final = struct.Struct('>I')
HEADER_BYTES: Final = _HEADER.size + _CHECKSUM.size


class Frames(Struct, frozen=True, kw_only=True):
    """Content of a file.

    Args:
        bodies: the bodies of the complete frames.
        end: offset after the last complete frame, in bytes.
        damaged_at: offset of a frame with a wrong checksum, in bytes; None if
            at most an incomplete write follows the end.
    """

    bodies: tuple[bytes, ...]
    end: int
    damaged_at: int | None = None


def make_frame(body: bytes) -> bytes:
    """Return a body with the header of its frame."""
    header = _HEADER.pack(len(body), zlib.crc32(body))
    return header + _CHECKSUM.pack(zlib.crc32(header)) + body


def read_frames(content: bytes) -> Frames:
    """Read frames up to the end, an incomplete write or damage."""
    bodies: list[bytes] = []
    offset = 0
    while offset + HEADER_BYTES <= len(content):
        length = _body_length(content, offset)
        if length is None:
            return _stop_at_bad_header(content, offset, bodies)
        start = offset + HEADER_BYTES
        if start + length > len(content):
            break
        body = content[start : start + length]
        if zlib.crc32(body) != _HEADER.unpack_from(content, offset)[1]:
            return Frames(
                bodies=tuple(bodies),
                end=offset,
                damaged_at=offset,
            )
        bodies.append(body)
        offset = start + length
    return Frames(bodies=tuple(bodies), end=offset)


def _body_length(content: bytes, offset: int) -> int | None:
    header = content[offset : offset + _HEADER.size]
    checksum = _CHECKSUM.unpack_from(content, offset + _HEADER.size)[0]
    if zlib.crc32(header) != checksum:
        return None
    return int(_HEADER.unpack(header)[0])


def _stop_at_bad_header(
    content: bytes, offset: int, bodies: list[bytes]
) -> Frames:
    """Return the frames before a header with a wrong checksum.

    If only zeros follow, this is an incomplete write and no damage: a crash can
    leave them where a write extended the file but was never synced.
    """
    is_zero = not any(content[offset:])
    return Frames(
        bodies=tuple(bodies),
        end=offset,
        damaged_at=None if is_zero else offset,
    )
