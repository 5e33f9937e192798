"""Channels: the gRPC connections of one process, one for each address."""

import asyncio
from typing import Any, Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire.codec import CodecError
from medlarhoist.wire.rpc import Method, call, create_channel

# Far above a round trip between any two failure domains.
REPLY_SECONDS: Final = 1.0
CHANNELS: Final = 64
CALL_ERRORS: Final = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    TimeoutError,
    *CodecError,
)


class Channels:
    """Opens channels on demand and closes the least recently used."""

    __slots__ = ('_channels', '_key', '_sender', 'traffic')

    def __init__(self, key: bytes, sender: str, traffic: Traffic) -> None:
        """Start without a channel."""
        self._channels: dict[str, Channel] = {}
        self._key = key
        self._sender = sender
        self.traffic = traffic

    def get(self, address: str) -> Channel:
        """Return the channel to an address."""
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = create_channel(
                address, self._key, self._sender, self.traffic
            )
        self._channels[address] = channel
        if len(self._channels) > CHANNELS:
            oldest = next(iter(self._channels))
            self._channels.pop(oldest).close()
        return channel

    async def try_call(self, address: str, method: Method, request: Any) -> Any:
        """Return the reply of a process, or None where it gave none.

        Args:
            address: host:port of its control listener.
            method: the procedure.
            request: the message to send.
        """
        try:
            async with asyncio.timeout(REPLY_SECONDS):
                return await call(self.get(address), method, request)
        except TimeoutError:
            self.drop(address)
        except CALL_ERRORS:
            return None
        return None

    def drop(self, address: str) -> None:
        """Close a channel that went silent; the next use opens another.

        A connection that a partition or a frozen process cut stays open for
        many minutes otherwise.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close every channel."""
        while self._channels:
            self._channels.popitem()[1].close()


def create_channels(key: str, sender: str, traffic: Traffic) -> Channels:
    """Return the channels of a process.

    Args:
        key: the shared key.
        sender: name of the process.
        traffic: counter of control bytes.
    """
    return Channels(key.encode(), sender, traffic)
