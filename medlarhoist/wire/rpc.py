"""Rpc: grpclib servers and channels with our codec, key and limits.

Handlers are plain coroutines; services are described by Method records, so
that no generated code is needed.
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
from medlarhoist.wire.codec import MsgpackCodec

SERVICE_PREFIX: Final = '/medlarhoist.'


class Method(Struct, frozen=True, kw_only=True):
    """One remote procedure.

    Args:
        path: its name, `/medlarhoist.Service/Method`.
        request: type of the messages that go to the server.
        reply: type of the messages that come back.
        streaming: whether both directions are streams.
    """

    path: str
    request: Any
    reply: Any
    streaming: bool = False


StreamHandler = Callable[[Any], Awaitable[None]]


class Service:
    """The procedures that one listener serves."""

    __slots__ = ('_handlers',)

    def __init__(self, handlers: dict[str, Handler]) -> None:
        """Keep the handlers by path."""
        self._handlers = handlers

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers, as grpclib asks for them."""
        return self._handlers


def create_service(procedures: dict[Method, StreamHandler]) -> Service:
    """Return a service whose coroutines get a grpclib stream each."""
    handlers = {}
    for method, serve in procedures.items():
        cardinality = Cardinality.UNARY_UNARY
        if method.streaming:
            cardinality = Cardinality.STREAM_STREAM
        handlers[method.path] = Handler(
            serve,
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
    """Return a grpclib server that refuses callers without the key."""
    server = Server([service], codec=MsgpackCodec(traffic))

    async def check(event: RecvRequest) -> None:  # noqa: WPS430
        token = str(event.metadata.get(METADATA_KEY, ''))
        if not is_token_valid(key, token, int(time.time())):
            raise GRPCError(Status.UNAUTHENTICATED, 'no valid token')

    listen(server, RecvRequest, check)
    return server


def create_channel(
    address: str,
    key: bytes,
    sender: str,
    traffic: Traffic | None = None,
) -> Channel:
    """Return a lazy channel to a process.

    Args:
        address: host:port of its control listener.
        key: the shared key.
        sender: name of this process.
        traffic: counter of the bytes sent and received.
    """
    host, _, port = address.rpartition(':')
    channel = Channel(host, int(port), codec=MsgpackCodec(traffic))

    async def attach(event: SendRequest) -> None:  # noqa: WPS430
        token = make_token(key, sender, int(time.time()))
        event.metadata[METADATA_KEY] = token

    listen(channel, SendRequest, attach)
    return channel


def open_stream(channel: Channel, method: Method) -> Any:
    """Return a stream to use with `async with`."""
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
    """Send one message and return the reply.

    Raises:
        GRPCError: the server refused.
        OSError: the connection failed.
        StreamTerminatedError: it broke off.
    """
    async with open_stream(channel, method) as stream:
        await stream.send_message(request, end=True)
        return await stream.recv_message()
