"""Tests of coroutines that run side by side."""

import asyncio

import pytest

from medlarhoist.utils.tasks import gather_until


async def _answer(told, wait_s=0.0):
    await asyncio.sleep(wait_s)
    return told


def test_one_that_never_answers_holds_nobody_up():
    """Two of three make a majority; the third is gone."""
    taken = []

    def take(told):
        taken.append(told)
        return len(taken) == 2

    async def main():
        gone = _answer('gone', 30)
        async with asyncio.timeout(5):
            await gather_until([gone, _answer('a'), _answer('b', 0.01)], take)

    asyncio.run(main())
    assert taken == ['a', 'b']


def test_those_without_an_answer_are_left_out():
    taken = []

    async def main():
        await gather_until(
            [_answer(None), _answer(1), _answer(None)], taken.append
        )

    asyncio.run(main())
    assert taken == [1]


def test_a_late_one_goes_on_to_its_own_end():
    """Its timeout is what shows a connection that has gone silent."""
    ended = []

    async def late():
        await asyncio.sleep(0.02)
        ended.append('late')

    async def main():
        await gather_until([_answer(1), late()], lambda told: True)
        await asyncio.sleep(0.1)

    asyncio.run(main())
    assert ended == ['late']


def test_what_an_ask_raises_is_raised():
    async def fail():
        raise ValueError('no')

    with pytest.raises(ValueError, match='no'):
        asyncio.run(gather_until([fail()], bool))
