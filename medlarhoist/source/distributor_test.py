"""Tests of the heartbeats that a leader sends to its keepers."""

import asyncio

from bench.distribution_fake import FakeLedger, FakeLog
from medlarhoist.core.settings import Peer, SourceSettings
from medlarhoist.source import distributor as distributor_module
from medlarhoist.source.distributor import create_distributor

SECONDS = 1.0


def test_heartbeats_are_sent_while_keepers_report_often(monkeypatch):
    """Guards against a leader that sends no heartbeats.

    Nine keepers that each acknowledge twice a second wake the leader more
    often than its tick; it must send heartbeats nevertheless.
    """
    monkeypatch.setattr(distributor_module, 'HEARTBEAT_INTERVAL_SECONDS', 0.1)
    peer = Peer(name='s0', control='127.0.0.1:1', api='127.0.0.1:2')
    cfg = SourceSettings(
        name='s0',
        domain='a',
        admin='127.0.0.1:0',
        shared_key='k' * 16,
        sources=(peer,),
        data_folder='',
        operators=(),
    )
    heartbeats = []

    async def scenario():
        distributor = create_distributor(
            cfg,
            FakeLedger(FakeLog('s0', (peer,)), 's0'),
            lambda domain, rows: None,
        )
        monkeypatch.setattr(
            type(distributor._children),
            'send_heartbeats',
            lambda children: heartbeats.append(1),
        )
        await distributor.start()
        for _ in range(int(SECONDS / 0.05)):
            distributor._wake.set()
            await asyncio.sleep(0.05)
        await distributor.stop()

    asyncio.run(scenario())
    assert len(heartbeats) >= 3
