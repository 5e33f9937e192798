"""Case 3: an instance that has left gets requests after its node restarts."""

import asyncio
import signal
import sys
from pathlib import Path

from mesh import (
    CONTACT_S,
    DRAIN_S,
    ZONES,
    CannotRun,
    Instance,
    make_configuration,
    make_route,
    run_case,
)

HOST = 'a.example'
PATHS = {'sched': '/s/x', 'book': '/b/x'}
PER_S = 40
CALM_S = 6.0
# A heartbeat that is sent just before the leave arrives this much later.
LATE_S = 5.0
LEAVE_AFTER_S = 0.2
STOP_AFTER_S = 0.3
DOWN_S = 0.2
# The instance serves for this long after the confirmation of its leave.
SERVES_S = 10.0


async def main(mesh, has_trouble):
    """Return the requests that the instance ran too late."""
    instances = await _start(mesh)
    # The clients of a machine ask for the service that runs on it.
    loads = [
        asyncio.create_task(mesh.load(node, HOST, PATHS[node.service], PER_S))
        for node in mesh.nodes
    ]
    await asyncio.sleep(CALM_S)
    left, node = instances[0], mesh.nodes[0]
    left.stop_beats()
    late_beat = left.make_beat()
    mesh.record.write(f'heartbeat {left.sequence} of {left.id} is delayed')
    arrival = asyncio.create_task(_deliver_late(left, late_beat))
    await asyncio.sleep(LEAVE_AFTER_S)
    if not await left.deregister():
        raise CannotRun('the leave was not confirmed')
    confirmed_at = mesh.record.now()
    if has_trouble:
        await asyncio.sleep(STOP_AFTER_S)
        await node.kill(signal.SIGTERM)
        await asyncio.sleep(DOWN_S)
        await node.start()
    await arrival
    await asyncio.sleep(max(0, confirmed_at + SERVES_S - mesh.record.now()))
    for load in loads:
        load.cancel()
    return _find_late_runs(mesh, left, confirmed_at)


async def _start(mesh):
    for zone in ZONES:
        mesh.add_node(zone, 'sched')
        mesh.add_node(zone, 'book')
    await mesh.start()
    instances = [Instance(node) for node in mesh.nodes]
    for instance in instances:
        await instance.start()
    routes = [
        make_route('r-1', '/s/', 'sched'),
        make_route('r-2', '/b/', 'book'),
    ]
    answer = await mesh.order(
        'POST',
        '/medlarhoist/config/put',
        make_configuration(3, 0, ['sched', 'book'], {HOST: routes}),
    )
    if answer is None or answer.status != 200:
        raise CannotRun('the configuration was not confirmed')
    await mesh.wait_ready()
    return instances


async def _deliver_late(instance, beat):
    await asyncio.sleep(LATE_S)
    await instance.deliver_beat(beat)


def _find_late_runs(mesh, left, confirmed_at):
    """Return the runs over drain_s after the confirmation.

    Counted are requests that were sent by then to a machine in touch; the
    machine of the instance has to be in touch, too.
    """
    late = []
    for ran_at, attempt in left.runs:
        sent_at, entry = mesh.sent[attempt]
        is_in_touch = all(
            sent_at - machine.disturbed_at >= CONTACT_S
            for machine in (entry, left.machine)
        )
        after_s = ran_at - confirmed_at
        if after_s > DRAIN_S and sent_at > confirmed_at and is_in_touch:
            late.append(
                f'request {attempt} sent to {entry.name} ran on {left.id} '
                f'{after_s:.2f} s after its leave was confirmed'
            )
    return late


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).parent / 'record.txt'))
