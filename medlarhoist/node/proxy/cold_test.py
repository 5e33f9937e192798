"""Tests of targets that are cold: after their start, or once more."""

import asyncio

import pytest

from bench.calls_static import compile_sample, create_notice
from medlarhoist.node.proxy.cold_target import ColdTarget
from medlarhoist.standin.load import Plan, run_load
from medlarhoist.standin.target_server import TargetServer

RATE = 5.0
COLD_MS = 30_000
# What the targets bear in any second, of which the load below takes one.
ALLOWED = 1.5 * RATE + 8


@pytest.fixture(name='compiled')
def _compiled():
    return compile_sample(cold_rate=RATE)


@pytest.fixture(name='load')
def _load():
    """Return a function that calls the first node for a second."""

    async def run(mesh, **changes):
        address = mesh.settings[0].entry
        plan = {'rate': 200.0, 'seconds': 1.0, **changes}
        return await run_load(Plan(addresses=(address,), **plan))

    return run


def _set_cold(mesh, index, cold_ms=COLD_MS):
    mesh.notify(index, mesh.targets[index].port, cold_ms=cold_ms)


def test_a_cold_target_gets_few_requests_a_second(run_mesh, load, compiled):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        _set_cold(mesh, 1)
        return await load(mesh), len(mesh.records[1].ran)

    summary, arrivals = run_mesh(scenario, compiled)
    assert RATE / 2 <= arrivals <= ALLOWED
    assert set(summary.verdicts) == {'did-not-run'}


def test_targets_that_are_warm_take_the_calls(run_mesh, load, compiled):
    async def scenario(mesh):
        await mesh.add(registered=False)
        for _ in range(3):
            await mesh.add()
        _set_cold(mesh, 1)
        return await load(mesh), len(mesh.records[1].ran)

    summary, arrivals = run_mesh(scenario, compiled)
    assert summary.whole == summary.sent
    assert arrivals <= ALLOWED


def test_a_domain_whose_targets_are_all_cold_is_spared(
    run_mesh, load, compiled
):
    """The other domain serves its callers."""

    async def scenario(mesh):
        await mesh.add(registered=False)
        for _ in range(5):
            await mesh.add()
        for _ in range(2):
            await mesh.add('b')
        for index in range(1, 6):
            _set_cold(mesh, index)
        summary = await load(mesh)
        return summary, [len(record.ran) for record in mesh.records[1:6]]

    summary, arrivals = run_mesh(scenario, compiled)
    assert summary.whole == summary.sent
    assert max(arrivals) <= ALLOWED


def test_calls_that_wait_are_refused_once_their_target_is_cold_again(
    run_mesh, compiled
):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(slots=1, work_ms=200)
        calls = [
            asyncio.ensure_future(mesh.get('/sights', f'r{number}'))
            for number in range(12)
        ]
        await asyncio.sleep(0.1)
        _set_cold(mesh, 1)
        results = await asyncio.gather(*calls)
        return [result.status for result in results]

    statuses = run_mesh(scenario, compiled)
    assert 1 <= statuses.count(200) <= 4
    assert set(statuses) == {200, 503}


def test_a_target_that_is_warm_again_gets_all_calls(run_mesh, load, compiled):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        _set_cold(mesh, 1, cold_ms=300)
        await mesh.get()
        await asyncio.sleep(0.5)
        return await load(mesh, seconds=0.5)

    summary = run_mesh(scenario, compiled)
    assert summary.whole == summary.sent


def test_a_target_that_started_again_is_spared_before_its_first_notice(
    run_mesh, load, compiled
):
    """Its address is the same, and the notice of the run before remains."""

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        await mesh.get()
        first = mesh.targets[1]
        first.close()
        await asyncio.sleep(0.1)
        failed = await mesh.get()
        mesh.targets[1] = TargetServer(first.state)
        await mesh.targets[1].start(first.port)
        before = len(first.state.record.ran)
        await load(mesh)
        spared = len(first.state.record.ran) - before
        mesh.start_run(1, 'run-2')
        return failed.status, spared, await load(mesh, prefix='warm')

    status, spared, summary = run_mesh(scenario, compiled)
    assert status == 503
    assert 0 < spared <= ALLOWED
    assert summary.whole == summary.sent


def test_a_service_without_a_cold_rate_has_no_limit(run_mesh, load):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        _set_cold(mesh, 1)
        return await load(mesh)

    summary = run_mesh(scenario)
    assert summary.whole == summary.sent


def test_the_targets_of_a_drained_domain_are_cold_until_a_notice_after_it(
    compiled,
):
    notice = create_notice()
    rates = []

    def apply(rate, cold_s):
        rates.append(rate)

    drained = [False]

    async def scenario():
        cold = ColdTarget(compiled.services.get, apply)
        cold.is_drained = lambda: drained[0]
        cold.set_notice(notice, is_new_run=True)
        drained[0] = True
        cold.set_notice(notice, is_new_run=False)
        await asyncio.sleep(0.6)
        drained[0] = False
        cold.set_notice(notice, is_new_run=False)

    asyncio.run(scenario())
    assert rates == [0, RATE, 0]


def test_a_silent_target_is_presumed_to_be_cold(compiled):
    """It may have ended, and start again without a call in between."""
    notice = create_notice()
    rates = []

    def apply(rate, cold_s):
        rates.append(rate)

    async def scenario():
        cold = ColdTarget(compiled.services.get, apply)
        cold.silence_s = 0.2
        for _ in range(4):
            cold.set_notice(notice, is_new_run=False)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        cold.set_notice(notice, is_new_run=True)
        cold.stop()

    asyncio.run(scenario())
    assert rates == [0, 0, 0, 0, RATE, 0]
