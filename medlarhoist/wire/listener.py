"""Listener: opens and closes the control listener of a process."""

from grpclib.server import Server

from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire.rpc import (
    Method,
    StreamHandler,
    create_server,
    create_service,
)


async def start_server(
    address: str,
    procedures: dict[Method, StreamHandler],
    key: str,
    traffic: Traffic,
) -> Server:
    """Serve procedures on an address.

    Args:
        address: host:port.
        procedures: what is served.
        key: the shared key.
        traffic: counts the bytes.

    Raises:
        OSError: the address cannot be bound.
    """
    server = create_server(create_service(procedures), key.encode(), traffic)
    host, _, port = address.rpartition(':')
    await server.start(host, int(port))
    return server


async def close_server(server: Server) -> None:
    """Close the listener; its connections end with the process."""
    server.close()
    await server.wait_closed()
