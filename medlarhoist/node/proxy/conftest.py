"""Fixtures: nodes with stand-in targets on one event loop."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from bench.calls_mesh import Mesh
from bench.calls_raw import open_post, read_request

DONE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone'


@pytest.fixture(name='run_mesh')
def _run_mesh():
    """Return a function that runs a coroutine function with a mesh."""

    @asynccontextmanager
    async def open_mesh(compiled):
        mesh = Mesh(compiled)
        try:
            yield mesh
        finally:
            await mesh.close()

    def run(scenario, compiled=None):
        async def main():
            async with open_mesh(compiled) as mesh:
                return await scenario(mesh)

        return asyncio.run(main())

    return run


@pytest.fixture(name='serve_raw')
def _serve_raw():
    """Return a function that starts a target and returns its port.

    It is given a coroutine function that writes the raw bytes of responses.
    """

    async def start(respond):
        async def handle(reader, writer):
            try:
                await respond(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(handle, '127.0.0.1', 0)
        return server.sockets[0].getsockname()[1]

    return start


@pytest.fixture(name='received')
def _received():
    """Return the bodies that the targets of serve_upload have received."""
    return []


@pytest.fixture(name='serve_upload')
def _serve_upload(serve_raw, received):
    """Return a function that starts a target, which reads whole bodies."""

    async def respond(reader, writer):
        while True:
            _, body = await read_request(reader)
            received.append(body)
            writer.write(DONE)
            await writer.drain()

    return lambda: serve_raw(respond)


@pytest.fixture(name='start_upload')
def _start_upload(serve_upload):
    """Return a function that begins an upload over two nodes.

    It sends the head and the first bytes of a body, and returns the streams of
    the caller.
    """

    async def start(mesh, body, sent):
        await mesh.add(registered=False)
        await mesh.add(port=await serve_upload())
        lines = (f'Content-Length: {len(body)}',)
        reader, writer = await open_post(mesh, lines)
        writer.write(body[:sent])
        return reader, writer

    return start
