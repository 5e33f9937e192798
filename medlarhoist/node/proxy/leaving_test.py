"""Tests of targets that state in their responses that they leave."""

import asyncio

from msgspec.structs import replace

from medlarhoist.core.target import TargetPhase

LEAVING_CALLS = 10


async def _get_some(mesh, prefix):
    calls = (
        mesh.get(request_id=f'{prefix}-{number}')
        for number in range(LEAVING_CALLS)
    )
    return [result.status for result in await asyncio.gather(*calls)]


async def _leave(mesh):
    """Let the target of node 1 state that it leaves, in one response."""
    mesh.targets[1].state.is_leaving = True
    assert (await mesh.get(request_id='told')).status == 200
    return len(mesh.records[1].ran)


def test_a_target_that_states_that_it_leaves_gets_no_new_call(run_mesh):
    """Its notices and the registry still say that it is ready."""

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        before = await _leave(mesh)
        await mesh.add()
        statuses = await _get_some(mesh, 'after')
        mesh.notify(1, mesh.targets[1].port)
        statuses += await _get_some(mesh, 'late')
        return statuses, len(mesh.records[1].ran) - before

    statuses, arrivals = run_mesh(scenario)
    assert statuses == [200] * 2 * LEAVING_CALLS
    assert arrivals == 0


def test_a_leaving_target_gets_no_call_after_its_node_restarted(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        before = await _leave(mesh)
        await mesh.restart(1)
        statuses = await _get_some(mesh, 'after')
        return statuses, len(mesh.records[1].ran) - before

    statuses, arrivals = run_mesh(scenario)
    assert statuses == [503] * LEAVING_CALLS
    assert arrivals == 0


def test_a_late_notice_does_not_bring_back_a_target_that_has_left(run_mesh):
    """Its node has restarted and knows of no leave."""

    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        target = mesh.registry.all_targets[0]
        run_key = mesh.nodes[1]._parts.local.stated.run_key
        left = replace(target, phase=TargetPhase.DRAINING, run_key=run_key)
        mesh.registry.set_targets((left,))
        statuses = await _get_some(mesh, 'left')
        await mesh.restart(1)
        mesh.registry.set_targets((replace(target, since_ms=1),))
        statuses += await _get_some(mesh, 'after')
        return statuses, mesh.records[1].ran

    statuses, ran = run_mesh(scenario)
    assert statuses == [503] * 2 * LEAVING_CALLS
    assert not ran


def test_the_next_run_at_the_address_of_a_leaving_one_is_used(run_mesh):
    async def scenario(mesh):
        await mesh.add(registered=False)
        await mesh.add()
        await _leave(mesh)
        mesh.start_run(1, 'run-2')
        return await _get_some(mesh, 'after')

    assert run_mesh(scenario) == [200] * LEAVING_CALLS
