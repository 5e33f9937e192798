"""Calls baselines: other servers and proxies that nodes are compared with.

`web` responds to requests with circuits.web and forwards nothing; `net`
forwards them between sockets of circuits.net and parses them with httptools;
`bytes` copies bytes between asyncio connections without parsing them, which is
the lower bound of the cost of any proxy.
"""

import asyncio
from typing import Any, Literal

import defopt
import httptools
from circuits import Component
from circuits.net.events import connect as connect_event
from circuits.net.events import write as write_event
from circuits.net.sockets import TCPClient, TCPServer
from circuits.web import Controller, Server

from medlarhoist.utils.loop import create_host


class FixedResponse(Controller):
    """Responds to every path with a constant."""

    def index(self, *args: Any) -> str:
        """Return a small JSON body."""
        return '{"id": "", "label": "web"}'


class MessageEnd:
    """Parser callbacks that record the end of one message."""

    def __init__(self) -> None:
        """Expect a message that is incomplete."""
        self.complete = False

    def on_message_complete(self) -> None:
        """Record the end; called by the parser of httptools."""
        self.complete = True


class CircuitsProxy(Component):
    """Forwards requests to one target and its responses back."""

    channel = 'entry'

    def __init__(self, target_port: int) -> None:
        """Listen for callers on a free port."""
        super().__init__()
        self._target_port = target_port
        self._callers: dict[str, Any] = {}
        self._clients: dict[Any, TCPClient] = {}
        self.server = TCPServer(('127.0.0.1', 0), channel='entry')
        self.server.register(self)

    def connect(self, sock: Any, *address: Any) -> None:
        """Open a connection to the target for a new caller connection."""
        if sock in self._clients or len(address) < 2:
            return
        channel = f'client-{id(sock)}'
        client = TargetConnection(self, sock, channel).register(self)
        self._clients[sock] = client.client
        self.fire(connect_event('127.0.0.1', self._target_port), channel)

    def read(self, sock: Any, received: bytes) -> None:
        """Parse a request and forward it to the target."""
        httptools.HttpRequestParser(MessageEnd()).feed_data(received)
        client = self._clients[sock]
        self.fire(write_event(received), client.channel)


class TargetConnection(Component):
    """A connection to the target that serves one caller connection."""

    def __init__(self, proxy: CircuitsProxy, caller: Any, channel: str) -> None:
        """Create the connection; its socket is opened by a connect event."""
        super().__init__(channel=channel)
        self._proxy = proxy
        self._caller = caller
        self.client = TCPClient(channel=channel)
        self.client.register(self)

    def read(self, received: bytes) -> None:
        """Parse a response and forward it to the caller."""
        httptools.HttpResponseParser(MessageEnd()).feed_data(received)
        self.fire(write_event(self._caller, received), 'entry')


class ByteCopier(asyncio.Protocol):
    """Copies the bytes received on a connection to its peer connection."""

    def __init__(self, target_port: int) -> None:
        """Create one side of a copied connection.

        Args:
            target_port: port of the target to connect to; zero for the side
                that is itself connected to the target.
        """
        self._target_port = target_port
        self._buffered: list[bytes] = []
        self.peer_transport: Any = None
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Connect to the target if this is the side of the caller."""
        self.transport = transport
        if self._target_port:
            loop = asyncio.get_running_loop()
            loop.create_task(self._open())

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the peer connection."""
        if self.peer_transport is not None:
            self.peer_transport.close()

    def data_received(self, received: bytes) -> None:
        """Write to the peer connection, or buffer until it is open."""
        if self.peer_transport is None:
            self._buffered.append(received)
        else:
            self.peer_transport.write(received)

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        transport, target_side = await loop.create_connection(
            lambda: ByteCopier(0),
            '127.0.0.1',
            self._target_port,
        )
        self.peer_transport = transport
        target_side.peer_transport = self.transport
        self.peer_transport.writelines(self._buffered)


async def serve_bytes(target_port: int) -> None:
    """Print the port and copy bytes to a target until killed."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ByteCopier(target_port),
        '127.0.0.1',
        0,
    )
    print(server.sockets[0].getsockname()[1], flush=True)  # noqa: WPS421
    await asyncio.Event().wait()


async def serve(kind: str, target_port: int) -> None:
    """Print the port and run the `web` or `net` baseline until killed."""
    host = create_host(asyncio.get_running_loop())
    if kind == 'web':
        server = Server(('127.0.0.1', 0)).register(host)
        FixedResponse().register(server)
    else:
        server = CircuitsProxy(target_port).register(host).server
    while server.port is None:
        await asyncio.sleep(0)
    print(server.port, flush=True)  # noqa: WPS421
    await asyncio.Event().wait()


def main(*, kind: Literal['web', 'net', 'bytes'], target_port: int = 0) -> None:
    """Print the port and serve until killed.

    Args:
        kind: web responds itself, net and bytes forward to the target.
        target_port: port of the target for net and bytes.
    """
    if kind == 'bytes':
        asyncio.run(serve_bytes(target_port))
    else:
        asyncio.run(serve(kind, target_port))


if __name__ == '__main__':
    defopt.run(main)
