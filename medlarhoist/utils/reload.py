"""Applies changes of the settings file while a process runs.

The file is read on SIGHUP and also at a fixed interval. Settings that cannot
change at run time keep their values, and the process logs that.
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
    """Watches the settings file and applies valid changes.

    Args:
        settings: the valid settings last read.
    """

    __slots__ = ('_apply', '_read', '_sighup', '_tasks', 'settings')

    def __init__(
        self,
        settings: Settings,
        read: Callable[[], Settings | None],
        apply: Callable[[Settings], None],
    ) -> None:
        """Start from the settings that the process was started with.

        Args:
            settings: the settings in use.
            read: returns the settings of the file, None if it is invalid.
            apply: called with settings that differ from the previous ones.
        """
        self._apply = apply
        self._read = read
        self._tasks: list[asyncio.Task[None]] = []
        self._sighup = asyncio.Event()
        self.settings = settings

    def start(self) -> None:
        """Start polling the file and handling SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._sighup.set)
        self._tasks = [asyncio.ensure_future(self._run())]

    async def stop(self) -> None:
        """Stop polling; SIGHUP has no effect from here on."""
        await cancel_all(self._tasks)

    def reload(self, cause: str) -> None:
        """Read the file once and apply its settings if they have changed.

        Args:
            cause: what triggered the read, for the log: poll or SIGHUP.
        """
        found = self._read()
        if found is None:
            logger.bind(cause=cause).error(
                'settings: file is invalid, keeping the old ones'
            )
            return
        if found == self.settings:
            logger.bind(cause=cause).debug('settings: file is unchanged')
            return
        self.settings = found
        self._apply(found)
        logger.bind(cause=cause).info('settings: applied changes of the file')

    async def _run(self) -> None:
        while True:
            cause = 'poll'
            try:
                async with asyncio.timeout(POLL_INTERVAL_SECONDS):
                    await self._sighup.wait()
                cause = 'SIGHUP'
            except TimeoutError:
                cause = 'poll'
            self._sighup.clear()
            self.reload(cause)
