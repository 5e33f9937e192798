"""Codec: encodes typed messages as MessagePack, with types checked on decoding.

Implements the codec interface of grpclib, so no generated code is needed.
Large messages, mostly complete configurations, are compressed because traffic
between failure domains is expensive. The first byte of each message marks
whether it is compressed.
"""

import zlib
from typing import Any, Final

from grpclib.encoding.base import CodecBase
from msgspec import DecodeError, ValidationError, msgpack

from medlarhoist.utils.traffic import Traffic

_ENCODER = msgpack.Encoder()
_decoders: dict[Any, msgpack.Decoder] = {}

# What `decode` and `decompress` raise for malformed input.
CODEC_ERRORS = (DecodeError, ValidationError)

# Compressing shorter messages does not save enough to be worth the CPU time.
MIN_COMPRESSED_BYTES: Final = 2048
# The fastest level is enough: configurations are highly repetitive.
_COMPRESSION_LEVEL: Final = 1
_PLAIN: Final = b'\x00'
_COMPRESSED: Final = b'\x01'


def encode(message: Any) -> bytes:
    """Return a message as MessagePack."""
    return _ENCODER.encode(message)


def decode(body: bytes, message_type: Any) -> Any:
    """Return the message that the bytes encode.

    Args:
        body: MessagePack, not compressed.
        message_type: type of the message, or a union of tagged types.

    Raises:
        DecodeError: the bytes are not MessagePack.
        ValidationError: they do not encode a message of this type.
    """
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = msgpack.Decoder(message_type)
        _decoders[message_type] = decoder
    return decoder.decode(body)


def compress(body: bytes) -> bytes:
    """Return a body as it is sent: a marker byte and the body.

    The body is compressed if it has at least `MIN_COMPRESSED_BYTES`.
    """
    if len(body) < MIN_COMPRESSED_BYTES:
        return _PLAIN + body
    return _COMPRESSED + zlib.compress(body, _COMPRESSION_LEVEL)


def decompress(raw: bytes) -> bytes:
    """Return the body that `compress` was given.

    Raises:
        DecodeError: the marker is unknown or the body is damaged.
    """
    if raw[:1] == _PLAIN:
        return raw[1:]
    if raw[:1] != _COMPRESSED:
        raise DecodeError('unknown compression marker')
    try:
        return zlib.decompress(raw[1:])
    except zlib.error as exc:
        raise DecodeError(str(exc)) from exc


class MsgpackCodec(CodecBase):
    """Codec that makes grpclib send and receive msgspec structs."""

    __content_subtype__ = 'msgpack'

    def __init__(self, traffic: Traffic | None = None) -> None:
        """Create a codec for a server or channel.

        Args:
            traffic: counts the messages and their bytes after compression;
                None counts nothing.
        """
        self._traffic = traffic

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of one message to send; called by grpclib."""
        body = compress(encode(message))
        if self._traffic is not None:
            self._traffic.count_sent(message, len(body))
        return body

    def decode(self, body: bytes, message_type: Any) -> Any:
        """Return one received message; called by grpclib.

        Raises:
            DecodeError: the bytes are not a compressed or plain message.
            ValidationError: the message does not have the expected type.
        """
        message = decode(decompress(body), message_type)
        if self._traffic is not None:
            self._traffic.count_received(message, len(body))
        return message
