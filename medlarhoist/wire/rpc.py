"""Rpc: grpclib servers and channels with MessagePack and token checks.

Handlers are plain coroutines, and `Method` records describe the procedures,
so no generated code is needed.
"""

import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from grpclib.client import Channel
from grpclib.const import Cardinality, Handler, Status
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server
from msgspec import Struct

from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire.auth import METADATA_KEY, is_token_valid, make_token
from medlarhoist.wire.bounded_protocol import BoundedChannel, BoundedServer
from medlarhoist.wire.codec import MsgpackCodec

SERVICE_PREFIX: Final = '/medlarhoist.'


class Method(Struct, frozen=True, kw_only=True):
    """One remote procedure.

    Args:
        path: name of the procedure, `/medlarhoist.Service/Method`.
        request: type of the messages to the server.
        reply: type of the messages to the client.
        streaming: whether both directions are streams.
    """

    path: str
    request: Any
    reply: Any
    streaming: bool = False


# Serves one call; gets its grpclib stream.
StreamHandler = Callable[[Any], Awaitable[None]]


class Service:
    """The procedures that one listener serves, in the form grpclib expects."""

    __slots__ = ('_handlers',)

    def __init__(self, handlers: dict[str, Handler]) -> None:
        """Store the handlers by path of their procedure."""
        self._handlers = handlers

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path; called by grpclib."""
        return self._handlers


def create_service(procedures: dict[Method, StreamHandler]) -> Service:
    """Return a service that serves procedures with the given handlers."""
    handlers = {}
    for method, handler in procedures.items():
        cardinality = Cardinality.UNARY_UNARY
        if method.streaming:
            cardinality = Cardinality.STREAM_STREAM
        handlers[method.path] = Handler(
            handler,
            cardinality,
            method.request,
            method.reply,
        )
    return Service(handlers)


def create_server(
    service: Service,
    key: bytes,
    traffic: Traffic | None = None,
) -> Server:
    """Return a grpclib server, not started, that checks the token of calls.

    Args:
        service: the procedures to serve.
        key: the shared key; calls without a valid token are refused with
            status UNAUTHENTICATED.
        traffic: counts the messages and bytes, None for no counting.
    """
    server = BoundedServer([service], codec=MsgpackCodec(traffic))

    async def check_token(event: RecvRequest) -> None:  # noqa: WPS430
        token = str(event.metadata.get(METADATA_KEY, ''))
        if not is_token_valid(key, token, int(time.time())):
            raise GRPCError(Status.UNAUTHENTICATED, 'no valid token')

    listen(server, RecvRequest, check_token)
    return server


def create_channel(
    address: str,
    key: bytes,
    sender: str,
    traffic: Traffic | None = None,
) -> Channel:
    """Return a channel to a process; it connects with its first call.

    Args:
        address: host:port of its control listener.
        key: the shared key.
        sender: name of this process, sent in the token of each call.
        traffic: counts the messages and bytes, None for no counting.
    """
    host, _, port = address.rpartition(':')
    channel = BoundedChannel(host, int(port), codec=MsgpackCodec(traffic))

    async def add_token(event: SendRequest) -> None:  # noqa: WPS430
        token = make_token(key, sender, int(time.time()))
        event.metadata[METADATA_KEY] = token

    listen(channel, SendRequest, add_token)
    return channel


def open_stream(channel: Channel, method: Method) -> Any:
    """Return a stream for one call, to be used with `async with`."""
    cardinality = Cardinality.UNARY_UNARY
    if method.streaming:
        cardinality = Cardinality.STREAM_STREAM
    return channel.request(
        method.path,
        cardinality,
        method.request,
        method.reply,
    )


async def call(channel: Channel, method: Method, request: Any) -> Any:
    """Send one message and return the reply; sets no timeout.

    Raises:
        GRPCError: the server refused the call or failed.
        OSError: the connection could not be opened.
        StreamTerminatedError: the connection closed before the reply.
        DecodeError: the reply is malformed.
        ValidationError: the reply does not have the type of the method.
    """
    async with open_stream(channel, method) as stream:
        await stream.send_message(request, end=True)
        return await stream.recv_message()
