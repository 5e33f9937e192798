"""Tests that circuits.web serves requests on the asyncio loop."""

import asyncio

from circuits.web import Controller, Server

from medlarhoist.utils.loop import create_host


class Root(Controller):
    def index(self):
        return 'whole'


async def _get(port: int) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
    response = await asyncio.wait_for(reader.read(), timeout=10)
    writer.close()
    return response


async def _serve_and_get() -> list[bytes]:
    host = create_host(asyncio.get_running_loop())
    server = Server(('127.0.0.1', 0)).register(host)
    Root().register(server)
    while server.port is None:
        await asyncio.sleep(0)
    return [await _get(server.port) for _ in range(3)]


def test_circuits_web_responds_on_the_asyncio_loop():
    responses = asyncio.run(_serve_and_get())
    assert [response.endswith(b'whole') for response in responses] == [True] * 3
