"""Tests of the stand-in target, also as a process, and of the load generator."""

import asyncio
import signal
import sys
from contextlib import asynccontextmanager

import msgspec
import pytest

from medlarhoist.standin.load import Plan, Summary, run_load
from medlarhoist.standin.load_client import open_connection
from medlarhoist.standin.target_options import Fault, Options, is_faulty
from medlarhoist.standin.target_server import TargetServer, TargetState


class Admin:
    """Records announcements in place of a node's admin listener."""

    def __init__(self):
        self.phases = []
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._receive, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[1]

    async def _receive(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        method = head.split()[0]
        if method == b'PUT':
            size = int(head.lower().split(b'content-length: ')[1].split()[0])
            notice = msgspec.json.decode(await reader.readexactly(size))
            self.phases.append(notice['phase'])
        else:
            self.phases.append('left')
        writer.write(b'HTTP/1.1 204 No Content\r\n\r\n')
        writer.close()


@asynccontextmanager
async def _start_target(*options):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'medlarhoist.standin.target',
        '--service=s',
        '--label=v2',
        *options,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        port = int(await process.stdout.readline())
        yield process, f'127.0.0.1:{port}'
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def test_a_target_announces_serves_and_drains():
    async def scenario():
        admin = Admin()
        port = await admin.start()
        options = (f'--admin=127.0.0.1:{port}', '--cold-s=0.3')
        async with _start_target(*options) as (process, address):
            while 'ready' not in admin.phases:
                await asyncio.sleep(0.02)
            plan = Plan(addresses=(address,), rate=50.0, seconds=1.0)
            load = asyncio.create_task(run_load(plan))
            await asyncio.sleep(0.2)
            process.send_signal(signal.SIGTERM)
            summary = await load
            await asyncio.wait_for(process.wait(), 20)
        return admin.phases, summary, process.returncode

    phases, summary, code = asyncio.run(scenario())
    assert phases[0] == 'warming'
    assert phases[-2:] == ['draining', 'left']
    assert summary.whole == summary.sent == 50
    assert code == 0


@pytest.fixture(name='run_target')
def _run_target():
    """Return a function that runs a load against a target in this process."""

    def run(plan_changes, **options):
        async def main():
            target_options = Options(service='s', label='v1', **options)
            server = TargetServer(TargetState(target_options))
            await server.start()
            address = f'127.0.0.1:{server.port}'
            plan = Plan(addresses=(address,), **plan_changes)
            summary = await run_load(plan)
            server.close()
            return summary, server.state.record

        return asyncio.run(main())

    return run


def test_a_target_sheds_above_its_slots(run_target):
    plan = {'rate': 200.0, 'seconds': 0.5}
    summary, record = run_target(plan, slots=2, work_ms=50)
    assert record.peak == 2
    assert record.shed == summary.statuses['503']
    assert record.shed > 0
    assert summary.whole == summary.statuses['200'] == record.finished


def test_a_faulty_target_fails_only_below_its_prefix(run_target):
    plan = {'paths': ('/good', '/bad'), 'seconds': 0.4}
    summary, _ = run_target(plan, fault=Fault.FAIL, fault_prefix='/bad')
    assert summary.statuses == {'200': 20, '500': 20}


@pytest.mark.parametrize(
    ('options', 'arguments', 'expected'),
    [
        ({}, ('/', 10.0, 1, 0.5), True),
        ({'fault_after_s': 11}, ('/', 10.0, 1, 0.5), False),
        ({'fault_above': 3}, ('/', 10.0, 3, 0.5), False),
        ({'fault_above': 3}, ('/', 10.0, 4, 0.5), True),
        ({'fault_share': 0.4}, ('/', 10.0, 1, 0.5), False),
        ({'fault_prefix': '/a'}, ('/b', 10.0, 1, 0.5), False),
        ({'fault': Fault.NONE}, ('/', 10.0, 1, 0.5), False),
    ],
)
def test_a_fault_occurs_as_its_options_state(options, arguments, expected):
    defaults = {'service': 's', 'label': 'v', 'fault': Fault.FAIL}
    target_options = Options(**{**defaults, **options})
    assert is_faulty(target_options, *arguments) is expected


def test_the_record_counts_the_starts_of_each_request():
    async def scenario():
        async with _start_target() as (_, address):
            conn = await open_connection(address)
            await conn.send(b'GET / HTTP/1.1\r\nX-Request-Id: q7\r\n\r\n')
            response = await conn.send(b'GET /_record HTTP/1.1\r\n\r\n')
            conn.close()
            return response.content

    record = msgspec.json.decode(asyncio.run(scenario()))
    assert record['ran'] == {'q7': 1}


def test_the_load_generator_counts_mismatched_and_incomplete_responses():
    async def respond_to_other(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        body = b'{"id":"other","label":"v1"}'
        size = len(body) if respond_to_other.is_complete else len(body) + 5
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
        writer.write(b''.join((head, body)))
        await writer.drain()
        writer.close()

    async def scenario(is_complete):
        respond_to_other.is_complete = is_complete
        server = await asyncio.start_server(respond_to_other, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        plan = Plan(addresses=(f'127.0.0.1:{port}',), rate=20.0, seconds=0.5)
        summary = await run_load(plan)
        server.close()
        return summary

    mismatched: Summary = asyncio.run(scenario(True))
    assert (mismatched.crossed, mismatched.whole) == (10, 0)
    incomplete: Summary = asyncio.run(scenario(False))
    assert (incomplete.cut, incomplete.whole) == (10, 0)
