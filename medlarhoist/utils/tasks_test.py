"""Tests of coroutines that run concurrently."""

import asyncio

import pytest

from medlarhoist.utils.tasks import gather_until


async def _reply(value, wait_s=0.0):
    await asyncio.sleep(wait_s)
    return value


def test_a_request_without_reply_delays_nobody():
    """Two of three replies make a majority; the third peer has failed."""
    received = []

    def on_reply(value):
        received.append(value)
        return len(received) == 2

    async def main():
        late = _reply('late', 30)
        async with asyncio.timeout(5):
            await gather_until([late, _reply('a'), _reply('b', 0.01)], on_reply)

    asyncio.run(main())
    assert received == ['a', 'b']


def test_requests_that_return_none_are_skipped():
    received = []

    async def main():
        await gather_until(
            [_reply(None), _reply(1), _reply(None)], received.append
        )

    asyncio.run(main())
    assert received == [1]


def test_a_late_request_is_not_cancelled():
    """Its own timeout detects an unresponsive connection."""
    ended = []

    async def late():
        await asyncio.sleep(0.02)
        ended.append('late')

    async def main():
        await gather_until([_reply(1), late()], lambda value: True)
        await asyncio.sleep(0.1)

    asyncio.run(main())
    assert ended == ['late']


def test_the_exception_of_a_request_is_raised():
    async def fail():
        raise ValueError('no')

    with pytest.raises(ValueError, match='no'):
        asyncio.run(gather_until([fail()], bool))
