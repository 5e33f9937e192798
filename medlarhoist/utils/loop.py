"""Runs circuits components on the asyncio loop of the process.

A process has one loop on one thread. The asyncio loop flushes circuits events
as soon as one is queued and polls the sockets of circuits, so that grpclib and
circuits.web share the loop. Circuits timers do not fire; components use the
asyncio loop for timeouts and intervals.
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
    """Polls the sockets of circuits components with the asyncio loop."""

    channel = 'asyncio_poller'

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Poll with the given loop."""
        super().__init__()
        self._loop = loop

    def addReader(self, source: Any, fd: Any) -> None:
        """Start firing a read event whenever the socket is readable."""
        super().addReader(source, fd)
        self._loop.add_reader(fd, self._notify, _read, fd)

    def addWriter(self, source: Any, fd: Any) -> None:
        """Start firing a write event whenever the socket is writable."""
        super().addWriter(source, fd)
        self._loop.add_writer(fd, self._notify, _write, fd)

    def removeReader(self, fd: Any) -> None:
        """Stop firing read events for the socket."""
        self._unwatch(self._loop.remove_reader, fd)
        super().removeReader(fd)

    def removeWriter(self, fd: Any) -> None:
        """Stop firing write events for the socket."""
        self._unwatch(self._loop.remove_writer, fd)
        super().removeWriter(fd)

    def discard(self, fd: Any) -> None:
        """Stop polling the socket."""
        self._unwatch(self._loop.remove_reader, fd)
        self._unwatch(self._loop.remove_writer, fd)
        super().discard(fd)

    def _notify(self, kind: Callable[[Any], Any], fd: Any) -> None:
        if fd.fileno() < 0:
            self.fire(_disconnect(fd), self.getTarget(fd))
            return
        self.fire(kind(fd), self.getTarget(fd))

    def _unwatch(self, remove: Callable[[Any], Any], fd: Any) -> None:
        # A closed socket has no descriptor left to remove from the loop.
        if isinstance(fd, int) or fd.fileno() >= 0:
            remove(fd)


class Host(Component):
    """Root circuits component of a process; flushes events on asyncio."""

    channel = 'host'

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Register the poller that circuits sockets look up at the root."""
        super().__init__()
        self._loop = loop
        self._is_flush_scheduled = False
        self._executing_thread = threading.current_thread()
        AsyncioPoller(loop).register(self)

    def _fire(self, event: Any, channel: Any, priority: int = 0) -> None:
        super()._fire(event, channel, priority)
        self._schedule()

    def registerTask(self, task: Any) -> None:
        """Register a circuits task and schedule a flush that runs it."""
        super().registerTask(task)
        self._schedule()

    def _schedule(self) -> None:
        loop = getattr(self, '_loop', None)
        if loop is None or self._is_flush_scheduled:
            return
        self._is_flush_scheduled = True
        loop.call_soon(self._run_flush)

    def _run_flush(self) -> None:
        self._is_flush_scheduled = False
        self.tick(0)
        if self._tasks or len(self._queue):
            self._schedule()


def create_host(loop: asyncio.AbstractEventLoop) -> Host:
    """Return the root circuits component for the given asyncio loop."""
    return Host(loop)


def listen_for_stop() -> asyncio.Event:
    """Return an event that is set on SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    return stop_requested


async def run_until_stopped(stop: Callback) -> None:
    """Wait for SIGTERM or SIGINT, then shut the process down gracefully.

    Args:
        stop: drains and closes all components of the process; a second
            signal does not interrupt it.
    """
    await listen_for_stop().wait()
    await stop()
