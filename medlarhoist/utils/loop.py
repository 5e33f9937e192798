"""Loop: runs circuits components on the asyncio loop of the process.

A process has one loop on one thread. Circuits events are flushed by the
asyncio loop as soon as one waits, and its sockets are watched by asyncio, so
that grpclib and circuits.web live side by side. Circuits timers are not
driven; components use the asyncio loop for time.
"""

import asyncio
import signal
import threading
from collections.abc import Awaitable, Callable
from typing import Any

from circuits import Component
from circuits.core.pollers import BasePoller, _disconnect, _read, _write

Callback = Callable[[], Awaitable[None]]


class AsyncioPoller(BasePoller):
    """Watches the sockets of circuits components by the asyncio loop."""

    channel = 'asyncio_poller'

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Keep the loop that watches."""
        super().__init__()
        self._loop = loop

    def addReader(self, source: Any, fd: Any) -> None:
        """Fire a read event whenever the socket is readable."""
        super().addReader(source, fd)
        self._loop.add_reader(fd, self._notify, _read, fd)

    def addWriter(self, source: Any, fd: Any) -> None:
        """Fire a write event whenever the socket is writable."""
        super().addWriter(source, fd)
        self._loop.add_writer(fd, self._notify, _write, fd)

    def removeReader(self, fd: Any) -> None:
        """Stop watching for reads."""
        self._forget(self._loop.remove_reader, fd)
        super().removeReader(fd)

    def removeWriter(self, fd: Any) -> None:
        """Stop watching for writes."""
        self._forget(self._loop.remove_writer, fd)
        super().removeWriter(fd)

    def discard(self, fd: Any) -> None:
        """Stop watching the socket."""
        self._forget(self._loop.remove_reader, fd)
        self._forget(self._loop.remove_writer, fd)
        super().discard(fd)

    def _notify(self, kind: Callable[[Any], Any], fd: Any) -> None:
        if fd.fileno() < 0:
            self.fire(_disconnect(fd), self.getTarget(fd))
            return
        self.fire(kind(fd), self.getTarget(fd))

    def _forget(self, remove: Callable[[Any], Any], fd: Any) -> None:
        if isinstance(fd, int) or fd.fileno() >= 0:
            remove(fd)


class Host(Component):
    """The root component of a process; flushes events on the asyncio loop."""

    channel = 'host'

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Register the poller that circuits sockets look for."""
        super().__init__()
        self._loop = loop
        self._flush_due = False
        self._executing_thread = threading.current_thread()
        AsyncioPoller(loop).register(self)

    def _fire(self, event: Any, channel: Any, priority: int = 0) -> None:
        super()._fire(event, channel, priority)
        self._schedule()

    def registerTask(self, task: Any) -> None:
        """Schedule the task besides registering it."""
        super().registerTask(task)
        self._schedule()

    def _schedule(self) -> None:
        loop = getattr(self, '_loop', None)
        if loop is None or self._flush_due:
            return
        self._flush_due = True
        loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._flush_due = False
        self.tick(0)
        if self._tasks or len(self._queue):
            self._schedule()


def create_host(loop: asyncio.AbstractEventLoop) -> Host:
    """Return the root component for a running asyncio loop."""
    return Host(loop)


def listen_for_stop() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, asked.set)
    return asked


async def run_until_stopped(stop: Callback) -> None:
    """Wait for SIGTERM or SIGINT, then run the graceful stop.

    Args:
        stop: drains and closes every part of the process; a second signal
            does not shorten it.
    """
    await listen_for_stop().wait()
    await stop()
