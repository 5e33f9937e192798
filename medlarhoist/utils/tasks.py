"""Runs coroutines concurrently and stops them together."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from contextlib import AsyncExitStack
from typing import Any, Final

_Task = asyncio.Task[Any]
# Holds references to running tasks: the asyncio loop keeps only weak ones, and a
# task without a strong reference may be garbage-collected while it runs.
_RUNNING: Final[set[_Task]] = set()


def start_task(coroutine: Coroutine[Any, Any, Any]) -> _Task:
    """Run a coroutine whose end nobody waits for; return its task."""
    task = asyncio.ensure_future(coroutine)
    _RUNNING.add(task)
    task.add_done_callback(_RUNNING.discard)
    return task


async def cancel_all(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until all have ended; ignores their exceptions."""
    cancelled = list(tasks)
    for task in cancelled:
        task.cancel()
    await asyncio.gather(*cancelled, return_exceptions=True)


async def gather_until(
    requests: Iterable[Coroutine[Any, Any, Any]],
    on_reply: Callable[[Any], bool],
) -> None:
    """Run requests concurrently until enough replies have arrived.

    Requests that are still running then are not cancelled: they continue to
    their own timeouts, which detect unresponsive connections.

    Args:
        requests: coroutines that return a reply, or None for no reply.
        on_reply: called with each reply in the order of arrival; returns
            whether there are enough.

    Raises:
        Exception: what a request raised before there were enough replies.
    """
    tasks = [start_task(coroutine) for coroutine in requests]
    for next_reply in asyncio.as_completed(tasks):
        reply = await next_reply
        if reply is not None and on_reply(reply):
            return


async def run_until_first(
    *coroutines: Coroutine[Any, Any, Any],
) -> BaseException | None:
    """Run coroutines until the first ends, then cancel the others.

    Returns:
        The exception of the coroutine that ended first, None if it returned.
    """
    async with AsyncExitStack() as stack:
        tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
        stack.push_async_callback(cancel_all, tasks)
        ended, _ = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        raised = [task.exception() for task in ended]
    return next((exc for exc in raised if exc is not None), None)
