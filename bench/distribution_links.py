"""Distribution links: fault injection for control connections.

Channels that can be blocked to simulate a partition, and listeners that abort
their connections when closed, as the end of a process does.
"""

from collections.abc import Iterable

from grpclib.client import Channel
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire.channels import Channels


class BlockableChannels(Channels):
    """Channels that a test can block by address.

    Only connections opened by the owner are blocked; for a partition in both
    directions, block the channels of both ends.
    """

    __slots__ = ('_blocked',)

    def __init__(self, key: bytes, sender: str, traffic: Traffic) -> None:
        """Start with no address blocked."""
        super().__init__(key, sender, traffic)
        self._blocked: set[str] = set()

    def get(self, address: str) -> Channel:
        """Return the channel to an address.

        Raises:
            ConnectionRefusedError: the address is blocked.
        """
        if address in self._blocked:
            raise ConnectionRefusedError(address)
        return super().get(address)

    def block(self, addresses: Iterable[str]) -> None:
        """Close the channels to some addresses; refuse new ones until heal."""
        self._blocked.update(addresses)
        for address in self._blocked & set(self._channels):
            self._channels.pop(address).close()

    def is_blocked(self, address: str) -> bool:
        """Return whether connections to an address are refused."""
        return address in self._blocked

    def heal(self) -> None:
        """Unblock all addresses."""
        self._blocked.clear()


class Listener:
    """A server whose close also aborts its open connections.

    grpclib's own close stops listening but leaves connections open, unlike
    the end of a process.
    """

    __slots__ = ('_protocols', '_server')

    def __init__(self, server: Server) -> None:
        """Record the connections of a server.

        Args:
            server: must not be started yet.
        """
        self._protocols: list[H2Protocol] = []
        self._server = server
        create_protocol = server._protocol_factory  # noqa: SLF001

        def create_recorded_protocol() -> H2Protocol:  # noqa: WPS430
            protocol = create_protocol()
            self._protocols.append(protocol)
            return protocol

        server._protocol_factory = create_recorded_protocol  # noqa: SLF001

    async def start(self, address: str) -> None:
        """Listen on an address, `host:port`."""
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
