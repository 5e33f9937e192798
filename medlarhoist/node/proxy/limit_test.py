"""Tests of targets that name the requests per second that they accept."""

import asyncio
import time

import pytest

from medlarhoist.standin.load import Plan, run_load

LIMIT = 20


def _allowed(limit, seconds):
    return 1.5 * limit * seconds + 5


@pytest.fixture(name='load')
def _load():
    """Return a function that calls nodes and returns summary and seconds."""

    async def run(mesh, indexes=(0,), **changes):
        plan = Plan(
            addresses=tuple(mesh.settings[index].entry for index in indexes),
            rate=200.0,
            **{'seconds': 1.0, **changes},
        )
        began = time.monotonic()
        summary = await run_load(plan)
        return summary, time.monotonic() - began

    return run


def test_a_target_gets_no_more_than_the_limit_that_it_names(run_mesh, load):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(registered=False)
        await mesh.add(limit=LIMIT)
        await mesh.get()
        await mesh.get(index=1)
        return *await load(mesh, (0, 1)), len(mesh.records[2].ran)

    summary, seconds, arrivals = run_mesh(scenario)
    assert arrivals <= _allowed(LIMIT, seconds)
    assert summary.whole >= LIMIT / 2
    assert set(summary.verdicts) == {'did-not-run'}


def test_other_targets_take_the_calls_above_a_limit(run_mesh, load):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(limit=LIMIT)
        await mesh.add()
        for number in range(10):
            await mesh.get(request_id=f'first-{number}')
        return *await load(mesh), len(mesh.records[1].ran)

    summary, seconds, arrivals = run_mesh(scenario)
    assert summary.whole == summary.sent
    assert arrivals <= _allowed(LIMIT, seconds)


def test_a_limit_holds_after_a_restart_of_the_targets_node(run_mesh, load):
    """The entry node has passed the limit on, so it remains bound by it."""

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(limit=1, work_ms=500)
        await mesh.get()
        await mesh.restart(1)
        before = len(mesh.records[1].ran)
        _, seconds = await load(mesh, prefix='after', seconds=2.5)
        return seconds, len(mesh.records[1].ran) - before

    seconds, arrivals = run_mesh(scenario)
    assert 0 < arrivals <= _allowed(1, seconds)


def test_a_limit_ends_when_responses_name_none(run_mesh, load):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(limit=LIMIT)
        await mesh.get()
        mesh.targets[1].state.limit = 0
        await mesh.get(request_id='last')
        summary, _ = await load(mesh)
        return summary

    summary = run_mesh(scenario)
    assert summary.whole == summary.sent


def test_the_limit_of_an_earlier_run_does_not_bind_the_next(run_mesh, load):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(limit=1)
        await mesh.get()
        mesh.targets[1].state.limit = 0
        mesh.start_run(1, 'run-2')
        summary, _ = await load(mesh)
        return summary

    summary = run_mesh(scenario)
    assert summary.whole == summary.sent


def test_a_limited_target_is_still_asked_now_and_then(run_mesh):
    """It names the end of its limit only in responses."""

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add(limit=0.01)
        await mesh.get(request_id='first')
        await asyncio.sleep(2.5)
        return await mesh.get(request_id='second')

    assert run_mesh(scenario).status == 200
