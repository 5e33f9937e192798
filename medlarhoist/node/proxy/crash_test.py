"""Tests that a request that crashes its targets stops reaching them."""

import asyncio
from collections import Counter

import pytest

from medlarhoist.core.quarantine import DEATHS_TO_QUARANTINE, FIRST_TRIAL_S
from medlarhoist.core.target import TargetPhase

DEADLY = '/sights/deadly'
HELD = '/sights/held'
MISSING = '/sights/missing'
DOWN_S = 0.3
WORK_S = 0.1


class CrashingTarget:
    """A target that ends soon after it begins to run a deadly request.

    It starts again at the same address after a while.

    Args:
        port: port that it listens on, zero before the first start.
        runs: requests that it began to run, by path.
        crashes: how often it has ended.
        released: set once requests of the path HELD may end.
    """

    def __init__(self):
        self.port = 0
        self.runs = Counter()
        self.crashes = 0
        self.released = asyncio.Event()
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self):
        """Close the listener and all connections."""
        self.crashes += 1
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def crash(self):
        self.end()
        await asyncio.sleep(DOWN_S)
        await self.start()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                await self._respond(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        if head.startswith(b'POST'):
            await reader.readexactly(1)
        path = head.split()[1].decode()
        self.runs[path] += 1
        await asyncio.sleep(WORK_S)
        if path == HELD:
            await self.released.wait()
        if path.startswith(DEADLY):
            asyncio.ensure_future(self.crash())
            await asyncio.sleep(1)
        status = b'404' if path == MISSING else b'200'
        writer.write(b'HTTP/1.1 %b -\r\nContent-Length: 2\r\n\r\nok' % status)
        await writer.drain()


@pytest.fixture(name='add_targets')
def _add_targets():
    """Return a function that adds two entry nodes and crashing targets."""
    spreading = []

    async def add(mesh, count=5):
        spreading.append(asyncio.create_task(mesh.spread_suspicions()))
        targets = [CrashingTarget() for _ in range(count)]
        for _ in range(2):
            await mesh.add(registered=False)
        for target in targets:
            await target.start()
            await mesh.add(port=target.port)
        return targets

    return add


async def _await_any_run(targets):
    async with asyncio.timeout(5):
        while not any(target.runs for target in targets):
            await asyncio.sleep(0.01)


async def _send_often(mesh, count, path=DEADLY, **options):
    results = []
    for number in range(count):
        results.append(
            await mesh.get(
                path, request_id=f'd{number}', index=number % 2, **options
            )
        )
        await asyncio.sleep(0.05)
    return results


def test_a_request_that_crashes_its_targets_is_refused(run_mesh, add_targets):
    async def scenario(mesh):
        targets = await add_targets(mesh)
        results = await _send_often(mesh, 30)
        return results, sum(target.crashes for target in targets)

    results, crashes = run_mesh(scenario)
    assert crashes == DEATHS_TO_QUARANTINE
    last = results[-1]
    assert (last.status, last.verdict) == (503, 'did-not-run')
    left_s = float(last.headers['retry-after'])
    assert FIRST_TRIAL_S - 10 < left_s <= FIRST_TRIAL_S


def test_requests_beside_a_deadly_one_are_not_refused(run_mesh, add_targets):
    """Their callers repeat them at once, as that of the deadly one does."""

    async def call(mesh, number):
        statuses = []
        for attempt in range(3):
            result = await mesh.get(
                f'/sights/{number % 8}',
                request_id=f'i{number}-{attempt}',
                index=number % 2,
            )
            await asyncio.sleep(float(result.headers.get('retry-after', 0)))
            statuses.append(result.status)
            if result.status == 200:
                break
        return statuses

    async def scenario(mesh):
        await add_targets(mesh)
        deadly = asyncio.create_task(_send_often(mesh, 20))
        calls = []
        for number in range(150):
            calls.append(asyncio.create_task(call(mesh, number)))
            await asyncio.sleep(0.01)
        await deadly
        return [await one for one in calls]

    outcomes = run_mesh(scenario)
    assert [statuses[-1] for statuses in outcomes] == [200] * len(outcomes)


def test_targets_that_end_together_convict_no_request(run_mesh, add_targets):
    """The same request is in progress at each of them."""

    async def scenario(mesh):
        targets = await add_targets(mesh)
        calls = [
            asyncio.create_task(mesh.get(HELD, f'p{number}', number % 2))
            for number in range(40)
        ]
        async with asyncio.timeout(5):
            while not all(target.runs[HELD] for target in targets):
                await asyncio.sleep(0.01)
        await asyncio.gather(*(target.crash() for target in targets))
        for target in targets:
            target.released.set()
        await asyncio.gather(*calls)
        return await _send_often(mesh, 4, HELD)

    results = run_mesh(scenario)
    assert [result.status for result in results][1:] == [200] * 3


def test_a_crash_of_a_target_that_leaves_counts(run_mesh, add_targets):
    """It has been told to leave while the request was in progress."""

    async def scenario(mesh):
        targets = await add_targets(mesh)
        call = asyncio.create_task(mesh.post(DEADLY))
        await _await_any_run(targets)
        for number, target in enumerate(targets, start=2):
            mesh.notify(number, target.port, TargetPhase.DRAINING)
        await call
        return [
            record.deaths
            for quarantine in mesh.quarantines
            for record in quarantine.export(0)
        ]

    deaths = run_mesh(scenario)
    assert deaths
    assert set(deaths) == {1}


def test_a_suspect_that_gets_an_error_is_cleared(run_mesh, add_targets):
    """Otherwise it would run in one place at a time until it is forgotten."""

    async def scenario(mesh):
        targets = await add_targets(mesh)
        call = asyncio.create_task(mesh.post(MISSING))
        await _await_any_run(targets)
        await asyncio.gather(*(target.crash() for target in targets))
        await call
        before = [len(one.export(0)) for one in mesh.quarantines]
        result = await mesh.post(MISSING, 'again')
        await asyncio.sleep(0.2)
        records = [one.export(0) for one in mesh.quarantines]
        return before, result.status, records

    before, status, records = run_mesh(scenario)
    assert any(before)
    assert status == 404
    assert not any(record.deaths for one in records for record in one)


def test_another_body_is_another_request(run_mesh, add_targets):
    async def scenario(mesh):
        targets = await add_targets(mesh)
        for number in range(12):
            await mesh.post(DEADLY, f'd{number}', number % 2, b'1')
            await asyncio.sleep(0.05)
        crashes = sum(target.crashes for target in targets)
        await asyncio.sleep(DOWN_S)
        await mesh.post(DEADLY, 'other', 0, b'2')
        return crashes, sum(target.crashes for target in targets)

    before, after = run_mesh(scenario)
    assert before == DEATHS_TO_QUARANTINE
    assert after > before


def test_a_lost_answer_of_a_target_that_goes_on_raises_no_suspicion(
    run_mesh,
    serve_raw,
):
    async def lose_answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.transport.abort()

    async def scenario(mesh):
        await mesh.add(port=await serve_raw(lose_answer))
        for number in range(5):
            await mesh.get('/sights/1', f'r{number}')
        return mesh.nodes[0].dump()

    dump = run_mesh(scenario)
    assert (dump.quarantine, dump.target_deaths) == ((), 0)
