"""Tests of the message codec."""

import pytest
from msgspec import DecodeError

from medlarhoist.core.resource import Route
from medlarhoist.core.snapshot import EMPTY_SNAPSHOT, Snapshot
from medlarhoist.wire.codec import (
    CODEC_ERRORS,
    MIN_COMPRESSED_BYTES,
    compress,
    decode,
    decompress,
    encode,
)
from medlarhoist.wire.message import DownMessage, Hello, Stage


def test_a_message_is_decoded_as_encoded():
    route = Route(name='r', prefix='/', service='s')
    stage = Stage(version=3, snapshot=Snapshot(version=3, routes=(route,)))
    assert decode(encode(stage), DownMessage) == stage


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\xc1',
        encode(EMPTY_SNAPSHOT),
        encode({'type': 'stage', 'version': 'x'}),
    ],
)
def test_a_malformed_message_is_rejected(body):
    with pytest.raises(CODEC_ERRORS):
        decode(body, DownMessage)


def test_an_up_message_is_rejected_as_a_down_message():
    hello = Hello(node='n', domain='a', address='127.0.0.1:1', active=0)
    with pytest.raises(CODEC_ERRORS):
        decode(encode(hello), DownMessage)


@pytest.mark.parametrize('length', [0, 10, 100_000])
def test_a_body_is_decompressed_as_compressed(length):
    body = b'route ' * length
    raw = compress(body)
    assert decompress(raw) == body
    assert len(raw) < max(len(body) / 20, MIN_COMPRESSED_BYTES)


@pytest.mark.parametrize('raw', [b'', b'\x02{}', b'\x01nothing'])
def test_a_damaged_body_is_rejected(raw):
    with pytest.raises(DecodeError):
        decompress(raw)
