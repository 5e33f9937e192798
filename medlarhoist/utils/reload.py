"""Reload: has a process follow its settings file.

A change is noticed on SIGHUP, and without it by reading the file now and
then. What a process cannot change while it runs is left as it is and logged.
"""

import asyncio
import signal
from collections.abc import Callable
from typing import Final, Generic, TypeVar

from loguru import logger

from medlarhoist.utils.tasks import cancel_all

POLL_INTERVAL_SECONDS: Final = 2.0
Settings = TypeVar('Settings')


class Reloader(Generic[Settings]):
    """Reads the settings again and hands on what has changed."""

    __slots__ = ('_apply', '_read', '_tasks', '_wake', 'settings')

    def __init__(
        self,
        settings: Settings,
        read: Callable[[], Settings | None],
        apply: Callable[[Settings], None],
    ) -> None:
        """Start with the settings that the process was started with.

        Args:
            settings: what is in force.
            read: returns what the file says, None where it has faults.
            apply: takes settings that differ from the last ones.
        """
        self._apply = apply
        self._read = read
        self._tasks: list[asyncio.Task[None]] = []
        self._wake = asyncio.Event()
        self.settings = settings

    def start(self) -> None:
        """Begin to follow the file and the signal."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._wake.set)
        self._tasks = [asyncio.ensure_future(self._run())]

    async def stop(self) -> None:
        """Stop following; the signal is ignored from here on."""
        await cancel_all(self._tasks)

    def look(self, cause: str) -> None:
        """Read the settings once.

        Args:
            cause: why now, for the log.
        """
        found = self._read()
        if found is None:
            logger.bind(cause=cause).error('settings: the file has faults')
            return
        if found == self.settings:
            logger.bind(cause=cause).debug('settings: nothing has changed')
            return
        self.settings = found
        self._apply(found)
        logger.bind(cause=cause).info('settings: the file was read again')

    async def _run(self) -> None:
        while True:
            cause = 'poll'
            try:
                async with asyncio.timeout(POLL_INTERVAL_SECONDS):
                    await self._wake.wait()
                cause = 'SIGHUP'
            except TimeoutError:
                cause = 'poll'
            self._wake.clear()
            self.look(cause)
