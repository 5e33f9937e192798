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
    """Start serving procedures on an address and return the server.

    Args:
        address: host:port.
        procedures: handler of each procedure.
        key: the shared key; calls without a valid token are refused.
        traffic: counts the messages and bytes.

    Raises:
        OSError: the address cannot be bound.
    """
    server = create_server(create_service(procedures), key.encode(), traffic)
    host, _, port = address.rpartition(':')
    await server.start(host, int(port))
    return server


async def close_server(server: Server) -> None:
    """Stop accepting connections and cancel running calls.

    Called when the process stops. Open connections end with the process.
    """
    server.close()
    await server.wait_closed()
