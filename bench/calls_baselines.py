"""Calls compare: hops of other makes, for comparison only.

`web` answers a trivial request by circuits.web, without passing it on; `net`
passes requests on by circuits.net sockets, cut by httptools; `bytes` copies
bytes between asyncio connections and reads nothing of them, which is the
floor of any process in between.
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


class Root(Controller):
    """Answers every path."""

    def index(self, *args: Any) -> str:
        """Return a small answer."""
        return '{"id": "", "label": "web"}'


class Ends:
    """Notes the end of one message."""

    def __init__(self) -> None:
        """Start before the end."""
        self.complete = False

    def on_message_complete(self) -> None:
        """Note it."""
        self.complete = True


class Hop(Component):
    """Passes whole requests to one target and whole answers back."""

    channel = 'entry'

    def __init__(self, target_port: int) -> None:
        """Listen on a free port."""
        super().__init__()
        self._target_port = target_port
        self._callers: dict[str, Any] = {}
        self._clients: dict[Any, TCPClient] = {}
        self.server = TCPServer(('127.0.0.1', 0), channel='entry')
        self.server.register(self)

    def connect(self, sock: Any, *address: Any) -> None:
        """Open a connection to the target for a caller's."""
        if sock in self._clients or len(address) < 2:
            return
        channel = f'client-{id(sock)}'
        client = Back(self, sock, channel).register(self)
        self._clients[sock] = client.client
        self.fire(connect_event('127.0.0.1', self._target_port), channel)

    def read(self, sock: Any, received: bytes) -> None:
        """Pass a request on."""
        httptools.HttpRequestParser(Ends()).feed_data(received)
        client = self._clients[sock]
        self.fire(write_event(received), client.channel)


class Back(Component):
    """Passes the answers of one connection back."""

    def __init__(self, hop: Hop, caller: Any, channel: str) -> None:
        """Join a connection to the target to a caller's."""
        super().__init__(channel=channel)
        self._hop = hop
        self._caller = caller
        self.client = TCPClient(channel=channel)
        self.client.register(self)

    def read(self, received: bytes) -> None:
        """Pass an answer back."""
        httptools.HttpResponseParser(Ends()).feed_data(received)
        self.fire(write_event(self._caller, received), 'entry')


class Copy(asyncio.Protocol):
    """Copies what it receives to the other side."""

    def __init__(self, target_port: int) -> None:
        """Copy to a target; zero for the far side itself."""
        self._target_port = target_port
        self._waiting: list[bytes] = []
        self.other: Any = None
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Open the other side."""
        self.transport = transport
        if self._target_port:
            loop = asyncio.get_running_loop()
            loop.create_task(self._open())

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side."""
        if self.other is not None:
            self.other.close()

    def data_received(self, received: bytes) -> None:
        """Copy."""
        if self.other is None:
            self._waiting.append(received)
        else:
            self.other.write(received)

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        transport, far = await loop.create_connection(
            lambda: Copy(0),
            '127.0.0.1',
            self._target_port,
        )
        self.other = transport
        far.other = self.transport
        self.other.writelines(self._waiting)


async def serve_bytes(target_port: int) -> None:
    """Copy bytes until killed; print the port."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Copy(target_port),
        '127.0.0.1',
        0,
    )
    print(server.sockets[0].getsockname()[1], flush=True)  # noqa: WPS421
    await asyncio.Event().wait()


async def serve(kind: str, target_port: int) -> None:
    """Serve until killed; print the port."""
    host = create_host(asyncio.get_running_loop())
    if kind == 'web':
        server = Server(('127.0.0.1', 0)).register(host)
        Root().register(server)
    else:
        server = Hop(target_port).register(host).server
    while server.port is None:
        await asyncio.sleep(0)
    print(server.port, flush=True)  # noqa: WPS421
    await asyncio.Event().wait()


def main(*, kind: Literal['web', 'net', 'bytes'], target_port: int = 0) -> None:
    """Serve until SIGTERM; print the port.

    Args:
        kind: web answers itself, net and bytes pass on.
        target_port: port of the target for net and bytes.
    """
    if kind == 'bytes':
        asyncio.run(serve_bytes(target_port))
    else:
        asyncio.run(serve(kind, target_port))


if __name__ == '__main__':
    defopt.run(main)
