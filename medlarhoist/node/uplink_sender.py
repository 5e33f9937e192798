"""Sender: sends acknowledgements and evidence to the parent.

Evidence is the counted results of calls, by which a rollout is evaluated.
"""

import asyncio
from typing import Any, Final

from msgspec.structs import replace

from medlarhoist.core.settings import NodeSettings
from medlarhoist.node.uplink_receiver import (
    REPORT_SECONDS,
    Receiver,
    find_sent_ms,
)
from medlarhoist.wire.acks import is_complete
from medlarhoist.wire.message import Ack

COALESCE_SECONDS: Final = 0.1
IDLE_REPORTS_PER_HEARTBEAT: Final = 2


class Sender:
    """Sends acknowledgements that have changed, and at intervals all of them.

    All of them are sent as a heartbeat after `IDLE_REPORTS_PER_HEARTBEAT`
    intervals without a change. Evidence is sent in each interval.
    """

    __slots__ = ('_cfg', '_changed', '_receiver')

    def __init__(self, cfg: NodeSettings, receiver: Receiver) -> None:
        """Create the sender of the messages that a receiver provides."""
        self._cfg = cfg
        self._changed = asyncio.Event()
        self._receiver = receiver

    def mark_changed(self) -> None:
        """Make `send_all` send the acknowledgements soon."""
        self._changed.set()

    async def send_all(self, stream: Any) -> None:
        """Send to the parent until the stream fails.

        Args:
            stream: the grpclib stream to the parent.
        """
        idle = 0
        sent: dict[int, Ack] = {}
        while True:
            if not await self._wait():
                idle += 1
            if idle >= IDLE_REPORTS_PER_HEARTBEAT:
                idle = 0
                sent = {}
            await self._coalesce()
            acks = [
                ack
                for ack in self._receiver.acks()
                if sent.get(ack.version) != ack
            ]
            sent.update((ack.version, ack) for ack in acks)
            for ack in acks:
                await stream.send_message(
                    replace(ack, sent_ms=find_sent_ms(self._cfg)),
                )
            for report in self._receiver.reports():
                await stream.send_message(report)

    async def _wait(self) -> bool:
        try:
            async with asyncio.timeout(REPORT_SECONDS):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def _coalesce(self) -> None:
        """Wait up to `COALESCE_SECONDS` for acknowledgements of children.

        One acknowledgement then covers the whole subtree in most cases.
        """
        try:
            async with asyncio.timeout(COALESCE_SECONDS):
                await self._until_complete()
        except TimeoutError:
            self._changed.clear()

    async def _until_complete(self) -> None:
        """Wait until the newest acknowledgement can be sent.

        It need not wait for the children once all nodes of the subtree have
        staged the version and all or none have it in force, or once a node
        has refused it.
        """
        self._changed.clear()
        while not is_complete(self._receiver.acks()[-1]):
            await self._changed.wait()
            self._changed.clear()
