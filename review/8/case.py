"""A server that has left is in use again after all processes were killed."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

from fleet import (  # noqa: E402
    BOUNDS,
    CannotRun,
    make_config,
    make_route,
    plan_small,
    run_case,
)

# How late the heartbeat arrives that the instance sent before it left.
LATE_S = 5.0
DOWN_S = 1.2


async def case(fleet, has_trouble):
    """Return whether requests reach the instance long after its leave."""
    plan_small(fleet)
    await fleet.start()
    route = make_route('r-1', '/a/', 'alpha')
    await fleet.put(make_config(['alpha'], [route]), 20)
    await fleet.wait_ready()
    await asyncio.sleep(3)
    victim = fleet.instances['side-1-1']
    while not victim.runs:
        await asyncio.gather(*(fleet.call(n, '/a/x') for n in fleet.nodes))
    victim.beats = False
    late = victim.notice('ready')
    sent_at = time.monotonic()
    fleet.record('the instance sends a heartbeat, which is late')
    await asyncio.sleep(0.3)
    if await victim.leave() != 200:
        raise CannotRun('the leave was not acknowledged')
    acked_at = time.monotonic()
    fleet.record(f'leave of {victim.run_id} acknowledged')
    if has_trouble:
        for name in fleet.ip:
            fleet.kill(name)
        for process in fleet.processes.values():
            await process.wait()
        await asyncio.sleep(DOWN_S)
        for name in fleet.ip:
            await fleet.start_process(name)
    back_at = time.monotonic()
    await asyncio.sleep(sent_at + LATE_S - time.monotonic())
    status = await victim.send('heartbeat', late)
    fleet.record(f'the late heartbeat arrives: {status}')
    await fleet.wait_ready(patience=10)
    # Twice contact_s after a final fault that took the core, machines are in
    # touch again.
    calm_at = back_at + 2 * BOUNDS['contact_s'] + 0.2
    await asyncio.sleep(max(0, calm_at - time.monotonic()))
    fleet.record('all machines are in touch again')
    before = len(victim.runs)
    end = time.monotonic() + 4
    while time.monotonic() < end:
        await asyncio.gather(*(fleet.call(n, '/a/y') for n in fleet.nodes))
        await asyncio.sleep(0.1)
    late_by = [run[0] - acked_at for run in victim.runs[before:]]
    broken = [after for after in late_by if after > BOUNDS['drain_s']]
    fleet.record(
        f'{len(broken)} requests reached the instance more than drain_s after'
        f' its leave was acknowledged: {[round(each, 1) for each in broken]}'
    )
    return bool(broken)


run_case(FOLDER / 'record.txt', case)
