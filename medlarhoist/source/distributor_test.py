"""Tests of the beats by which keepers know that their source leads."""

import asyncio

from bench.distribution_fake import FakeLedger, FakeLog
from medlarhoist.core.settings import Peer, SourceSettings
from medlarhoist.source import distributor as distributor_module
from medlarhoist.source.distributor import create_distributor

SECONDS = 1.0


def test_beats_go_on_while_keepers_report_often(monkeypatch):
    """Nine keepers acknowledge twice a second; the leader then fell silent."""
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
    beats = []

    async def scenario():
        distributor = create_distributor(
            cfg,
            FakeLedger(FakeLog('s0', (peer,)), 's0'),
            lambda domain, rows: None,
        )
        monkeypatch.setattr(
            type(distributor._children),
            'send_heartbeats',
            lambda children: beats.append(1),
        )
        await distributor.start()
        for _ in range(int(SECONDS / 0.05)):
            distributor._wake.set()
            await asyncio.sleep(0.05)
        await distributor.stop()

    asyncio.run(scenario())
    assert len(beats) >= 3
