"""Calls raw: callers and targets of tests that read and write raw HTTP."""

import asyncio
import re

from bench.calls_mesh import Mesh, format_request_head

WAIT_S = 10
_HEAD_END = b'\r\n\r\n'


async def open_caller(
    mesh: Mesh,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to the first node of a mesh."""
    port = mesh.nodes[0].dump().entry_port
    return await asyncio.open_connection('127.0.0.1', port)


async def open_post(
    mesh: Mesh,
    lines: tuple[str, ...],
    path: str = '/',
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to the first node of a mesh and send the head of a POST.

    Args:
        mesh: the mesh.
        lines: header lines, one of which declares the framing of the body.
        path: path of the request.
    """
    reader, writer = await open_caller(mesh)
    writer.write(format_request_head('POST', path, 'r', lines))
    await writer.drain()
    return reader, writer


async def read_response_head(
    reader: asyncio.StreamReader,
) -> tuple[int, bytes]:
    """Return the status and the lower-case head of the next response."""
    async with asyncio.timeout(WAIT_S):
        head = await reader.readuntil(_HEAD_END)
    return int(head.split(b' ')[1]), head.lower()


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, bytes, bytes]:
    """Return the status, the lower-case head and the body of a response."""
    status, head = await read_response_head(reader)
    declared = re.search(rb'content-length: (\d+)', head)
    if declared is None:
        return status, head, await _read_chunks(reader)
    return status, head, await reader.readexactly(int(declared[1]))


async def read_responses(
    reader: asyncio.StreamReader,
) -> list[tuple[int, bytes, bytes]]:
    """Return the responses of a connection until it ends or is reset."""
    responses = []
    try:
        async with asyncio.timeout(WAIT_S):
            while True:
                responses.append(await read_response(reader))
    except (asyncio.IncompleteReadError, ConnectionError):
        return responses


async def read_request(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return the head and the body of the next request."""
    head = await reader.readuntil(_HEAD_END)
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length'):
            size = int(line.partition(b':')[2])
            return head, await reader.readexactly(size)
    return head, await _read_chunks(reader)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    pieces = []
    while size := int(await reader.readline(), 16):
        pieces.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b''.join(pieces)
