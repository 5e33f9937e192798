"""Bounded protocol: closes control connections that would hold much memory.

The library collects a frame of any announced length, up to 16 MiB, before it
refuses it, and replies to pings of a peer that reads no replies. Neither needs
the shared key.
"""

from typing import Any, Final

from grpclib.client import Channel
from grpclib.protocol import H2Protocol
from grpclib.server import Server
from loguru import logger

MAX_FRAME_BYTES: Final = 16_384
_FRAME_HEAD_BYTES: Final = 9
# Messages wait for room above 64 KiB; only replies to pings and settings do not.
MAX_UNSENT_BYTES: Final = 1_048_576


class BoundedProtocol(H2Protocol):
    """One control connection of either side."""

    def data_received(self, data: bytes) -> None:
        """Process received bytes; close the connection if it holds too much.

        Called by asyncio.
        """
        super().data_received(data)
        connection: Any = self.connection
        transport = connection._transport  # noqa: SLF001, WPS437
        if transport.is_closing():
            return
        unread = connection._connection.incoming_buffer  # noqa: SLF001, WPS437
        if len(unread._data) > MAX_FRAME_BYTES + _FRAME_HEAD_BYTES:  # noqa: SLF001, WPS437
            self._abort('a frame is too large')
        elif transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._abort('the peer does not read')

    def _abort(self, reason: str) -> None:
        connection: Any = self.connection
        transport = connection._transport  # noqa: SLF001, WPS437
        peer = transport.get_extra_info('peername')
        logger.bind(peer=peer, reason=reason).warning(
            'control: closed a connection'
        )
        self.processor.close(reason)
        transport.abort()


class BoundedServer(Server):
    """A grpclib server with bounded connections."""

    def _protocol_factory(self) -> H2Protocol:
        return _bound(super()._protocol_factory())


class BoundedChannel(Channel):
    """A grpclib channel with bounded connections."""

    def _protocol_factory(self) -> H2Protocol:
        return _bound(super()._protocol_factory())


def _bound(protocol: H2Protocol) -> BoundedProtocol:
    return BoundedProtocol(
        protocol.handler, protocol.config, protocol.h2_config
    )
