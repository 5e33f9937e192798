"""Counts the control traffic of a process by message type."""

from collections import Counter
from typing import Any

from msgspec import Struct


class Volume(Struct, frozen=True, kw_only=True):
    """Messages of one type, sent or received.

    Args:
        kind: class name of the message.
        messages: number of messages.
        octets: size of their encoded bodies in bytes, without framing.
    """

    kind: str
    messages: int
    octets: int


class TrafficView(Struct, frozen=True, kw_only=True):
    """Control traffic of a process since its start, by message type."""

    sent: tuple[Volume, ...]
    received: tuple[Volume, ...]


class Traffic:
    """Counters of the control traffic of one process."""

    __slots__ = (
        '_received',
        '_received_octets',
        '_sent',
        '_sent_octets',
    )

    def __init__(self) -> None:
        """Create counters at zero."""
        self._sent: Counter[str] = Counter()
        self._sent_octets: Counter[str] = Counter()
        self._received: Counter[str] = Counter()
        self._received_octets: Counter[str] = Counter()

    def count_sent(self, message: Any, octets: int) -> None:
        """Count a sent message with an encoded body of octets bytes."""
        kind = type(message).__name__
        self._sent[kind] += 1
        self._sent_octets[kind] += octets

    def count_received(self, message: Any, octets: int) -> None:
        """Count a received message with an encoded body of octets bytes."""
        kind = type(message).__name__
        self._received[kind] += 1
        self._received_octets[kind] += octets

    def view(self) -> TrafficView:
        """Return the counters, sorted by message type."""
        return TrafficView(
            sent=_volumes(self._sent, self._sent_octets),
            received=_volumes(self._received, self._received_octets),
        )


def total_octets(volumes: tuple[Volume, ...]) -> int:
    """Return the bytes of all message types together."""
    return sum(volume.octets for volume in volumes)


def _volumes(
    messages: Counter[str],
    octets: Counter[str],
) -> tuple[Volume, ...]:
    return tuple(
        Volume(kind=kind, messages=messages[kind], octets=octets[kind])
        for kind in sorted(messages)
    )
