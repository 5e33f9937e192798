"""Tasks: runs coroutines side by side and ends them together."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from contextlib import AsyncExitStack
from typing import Any, Final

# The loop itself keeps only weak references to tasks.
_Task = asyncio.Task[Any]
_ASKED: Final[set[_Task]] = set()


async def cancel_all(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait for their ends."""
    kept = list(tasks)
    for task in kept:
        task.cancel()
    await asyncio.gather(*kept, return_exceptions=True)


async def ask_until(
    requests: Iterable[Coroutine[Any, Any, Any]],
    on_reply: Callable[[Any], bool],
) -> None:
    """Ask several at once and take answers as they come.

    Those that have not answered when there are enough go on to their own
    timeout, which shows connections that have gone silent.

    Args:
        asks: each returns an answer, or None for none.
        take: takes an answer and says whether there are enough.
    """
    tasks = [asyncio.ensure_future(each) for each in requests]
    _ASKED.update(tasks)
    for task in tasks:
        task.add_done_callback(_ASKED.discard)
    for fut in asyncio.as_completed(tasks):
        answer = await fut
        if answer is not None and on_reply(answer):
            return


async def run_until_first(
    *coroutines: Coroutine[Any, Any, Any],
) -> BaseException | None:
    """Run coroutines until one of them ends; then cancel the others.

    Returns:
        What the first to end raised, None for nothing.
    """
    async with AsyncExitStack() as stack:
        tasks = [asyncio.ensure_future(each) for each in coroutines]
        stack.push_async_callback(cancel_all, tasks)
        ended, _ = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        raised = [task.exception() for task in ended]
    return next((exc for exc in raised if exc is not None), None)
