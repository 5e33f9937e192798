"""Distribution links: channels that can be cut, listeners that end at once."""

from collections.abc import Iterable

from grpclib.client import Channel
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire.channels import Channels


class BlockableChannels(Channels):
    """Channels of which some can be cut."""

    __slots__ = ('_cut',)

    def __init__(self, key: bytes, sender: str, traffic: Traffic) -> None:
        """Start without a cut."""
        super().__init__(key, sender, traffic)
        self._cut: set[str] = set()

    def get(self, address: str) -> Channel:
        """Return the channel to an address.

        Raises:
            ConnectionRefusedError: it is cut.
        """
        if address in self._cut:
            raise ConnectionRefusedError(address)
        return super().get(address)

    def block(self, addresses: Iterable[str]) -> None:
        """Close the channels to some addresses and refuse new ones."""
        self._cut.update(addresses)
        for address in self._cut & set(self._channels):
            self._channels.pop(address).close()

    def heal(self) -> None:
        """Allow every channel."""
        self._cut.clear()


class Listener:
    """A server whose connections end with it, as those of a process do."""

    __slots__ = ('_protocols', '_server')

    def __init__(self, server: Server) -> None:
        """Note each connection of a server that is not started yet."""
        self._protocols: list[H2Protocol] = []
        self._server = server
        create_protocol = server._protocol_factory  # noqa: SLF001

        def note_protocol() -> H2Protocol:  # noqa: WPS430
            protocol = create_protocol()
            self._protocols.append(protocol)
            return protocol

        server._protocol_factory = note_protocol  # noqa: SLF001

    async def start(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(':')
        await self._server.start(host, int(port))

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        self._server.close()
        for protocol in self._protocols:
            connection = getattr(protocol, 'connection', None)
            if connection is not None:
                connection.close()
        await self._server.wait_closed()
