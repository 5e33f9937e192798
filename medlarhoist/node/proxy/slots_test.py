"""Tests of the queue for the slots of a target.

Guards against waiting calls that are refused at a notice of a warm target.
"""

import asyncio
import time

from medlarhoist.core.admission import INITIAL_BUSY_S, CallRequirements
from medlarhoist.node.proxy.slots import Slots

# A call that would wait for one usual time, and take one and a half.
ENOUGH_S = INITIAL_BUSY_S * 2.6


def test_a_notice_of_a_warm_target_refuses_no_waiting_call():
    async def scenario():
        slots = Slots(lambda: 1)
        now = time.monotonic()
        due = now + ENOUGH_S
        need = CallRequirements(deadline=now + 10, due=due)
        assert await slots.acquire(need)
        waiting = asyncio.create_task(slots.acquire(need))
        # It has waited for longer than it was predicted to finish in time.
        await asyncio.sleep(INITIAL_BUSY_S)
        slots.set_cold(0, 0)
        slots.used -= 1
        slots._start_waiters()
        return await waiting

    assert asyncio.run(scenario())
