"""Ledger storage: the data folder of a replica, whose disk may be full."""

import time
from collections.abc import Callable
from typing import Final

from loguru import logger
from result import Result

from medlarhoist.consensus.log import Log
from medlarhoist.consensus.log_file import LogFile
from medlarhoist.consensus.step import Write
from medlarhoist.core.resource import Fault

# How often a full disk is tried again while nothing else is written.
PROBE_INTERVAL_SECONDS: Final = 0.5


class ReplicaStorage:
    """Stores the writes of a replica.

    Args:
        fault: why the disk refuses writes, empty if it doesn't.
    """

    __slots__ = ('_files', '_probe_due', 'fault')

    def __init__(self, files: LogFile) -> None:
        """Write to a data folder that has been loaded."""
        self._files = files
        self._probe_due = float()
        self.fault = ''

    def save(self, write: Write, log: Log) -> bool:
        """Write and sync the changes of a step; return whether that worked.

        A disk that refuses the write, as when it is full, may take the next.

        Args:
            write: what to save.
            log: the complete log after the write.

        Raises:
            OSError: the disk may have lost data; the replica must halt.
        """
        return self._try(lambda: self._files.save(write, log))

    def probe(self) -> None:
        """Notice that a full disk has room, though nothing is to be written.

        Raises:
            OSError: the disk may have lost data; the replica must halt.
        """
        now = time.monotonic()
        if self.fault and now >= self._probe_due:
            self._probe_due = now + PROBE_INTERVAL_SECONDS
            self._try(self._files.probe)

    def close(self) -> None:
        """Close the data folder."""
        self._files.close()

    def _try(self, store: Callable[[], Result[None, Fault]]) -> bool:
        refusal = store().err()
        fault = '' if refusal is None else refusal.message
        # Each write names another file.
        if bool(fault) != bool(self.fault):
            logger.warning('ledger: disk: {}', fault or 'writable again')
        self.fault = fault
        return not fault
