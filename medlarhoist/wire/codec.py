"""Codec: typed messages as MessagePack, checked while decoding.

Implements the codec interface of grpclib, so no generated code is needed.
Large messages, whole configurations above all, are compressed, since bytes
between failure domains are dear; a first byte tells which ones are.
"""

import zlib
from typing import Any, Final

from grpclib.encoding.base import CodecBase
from msgspec import DecodeError, ValidationError, msgpack

from medlarhoist.utils.traffic import Traffic

_ENCODER = msgpack.Encoder()
_decoders: dict[Any, msgpack.Decoder] = {}

CODEC_ERRORS = (DecodeError, ValidationError)

# Below this length, bytes, what is saved is not worth the processor time.
MIN_COMPRESSED_BYTES: Final = 2048
# The fastest level; configurations repeat the same words.
_COMPRESSION_LEVEL: Final = 1
_PLAIN: Final = b'\x00'
_COMPRESSED: Final = b'\x01'


def encode(message: Any) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode(body: bytes, message_type: Any) -> Any:
    """Return the message.

    Raises:
        DecodeError: the bytes are no MessagePack.
        ValidationError: they do not have the type asked for.
    """
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = msgpack.Decoder(message_type)
        _decoders[message_type] = decoder
    return decoder.decode(body)


def compress(body: bytes) -> bytes:
    """Return a body as it travels, compressed where it is large."""
    if len(body) < MIN_COMPRESSED_BYTES:
        return _PLAIN + body
    return _COMPRESSED + zlib.compress(body, _COMPRESSION_LEVEL)


def decompress(raw: bytes) -> bytes:
    """Return the body that travelled.

    Raises:
        DecodeError: the bytes are not what `compress` returns.
    """
    if raw[:1] == _PLAIN:
        return raw[1:]
    if raw[:1] != _COMPRESSED:
        raise DecodeError('no first byte that tells the form')
    try:
        return zlib.decompress(raw[1:])
    except zlib.error as exc:
        raise DecodeError(str(exc)) from exc


class MsgpackCodec(CodecBase):
    """Lets grpclib carry msgspec structs."""

    __content_subtype__ = 'msgpack'

    def __init__(self, traffic: Traffic | None = None) -> None:
        """Count the bytes of messages where a counter is given."""
        self._traffic = traffic

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message of a stream."""
        body = compress(encode(message))
        if self._traffic is not None:
            self._traffic.count_sent(message, len(body))
        return body

    def decode(self, body: bytes, message_type: Any) -> Any:
        """Decode one message of a stream."""
        message = decode(decompress(body), message_type)
        if self._traffic is not None:
            self._traffic.count_received(message, len(body))
        return message
