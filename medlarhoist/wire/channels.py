"""Channels: the outgoing gRPC channels of a process, one per address."""

import asyncio
from typing import Any, Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire.codec import CODEC_ERRORS
from medlarhoist.wire.rpc import Method, call, create_channel

# Far longer than a round trip between any two failure domains.
REPLY_TIMEOUT_SECONDS: Final = 1.0
MAX_CHANNELS: Final = 64
# Errors of a call that failed on the way or at the other process.
CALL_ERRORS: Final = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    TimeoutError,
    *CODEC_ERRORS,
)


class Channels:
    """Opens channels on demand and closes the least recently used."""

    __slots__ = ('_channels', '_key', '_sender', 'traffic')

    def __init__(self, key: bytes, sender: str, traffic: Traffic) -> None:
        """Store key, sender and byte counter; see `create_channels`."""
        self._channels: dict[str, Channel] = {}
        self._key = key
        self._sender = sender
        self.traffic = traffic

    def get(self, address: str) -> Channel:
        """Return the channel to an address (host:port), opened on first use."""
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = create_channel(
                address, self._key, self._sender, self.traffic
            )
        self._channels[address] = channel
        if len(self._channels) > MAX_CHANNELS:
            oldest = next(iter(self._channels))
            self._channels.pop(oldest).close()
        return channel

    async def try_call(
        self,
        address: str,
        method: Method,
        request: Any,
        timeout_s: float | None = None,
    ) -> Any:
        """Call a procedure and return the reply, or None if the call failed.

        A call without a reply in time also closes the channel.

        Args:
            address: host:port of the process's control listener.
            method: the procedure to call.
            request: the message to send.
            timeout_s: time for the reply, seconds; None for
                `REPLY_TIMEOUT_SECONDS`.
        """
        if timeout_s is None:
            timeout_s = REPLY_TIMEOUT_SECONDS
        try:
            async with asyncio.timeout(timeout_s):
                return await call(self.get(address), method, request)
        except TimeoutError:
            self.drop(address)
        except CALL_ERRORS:
            return None
        return None

    def drop(self, address: str) -> None:
        """Close the channel to an address; the next use opens a new one.

        Called when the other process is unresponsive. Otherwise a connection
        that is cut by a network partition, or whose other process is frozen,
        stays open for many minutes.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels; called when the process stops."""
        while self._channels:
            self._channels.popitem()[1].close()


def create_channels(
    key: str,
    sender: str,
    traffic: Traffic | None = None,
) -> Channels:
    """Return the channels of a process.

    Args:
        key: the shared key.
        sender: name of the process, sent with each call.
        traffic: counts the messages and bytes of all channels; None creates
            a counter.
    """
    return Channels(key.encode(), sender, traffic or Traffic())
