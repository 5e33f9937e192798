"""Tests of settings that change while a process runs."""

import asyncio
import os
import signal

from medlarhoist.utils import reload
from medlarhoist.utils.reload import Reloader


def _run(scenario, told):
    applied = []

    async def main():
        reloader = Reloader('first', lambda: told[0], applied.append)
        reloader.start()
        await scenario()
        await reloader.stop()

    asyncio.run(main())
    return applied


def test_the_signal_has_the_file_read_again():
    told = ['first']

    async def scenario():
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)
        told[0] = 'second'
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)

    assert _run(scenario, told) == ['second']


def test_a_change_without_a_signal_is_noticed(monkeypatch):
    monkeypatch.setattr(reload, 'POLL_INTERVAL_SECONDS', 0.02)
    told = ['first']

    async def scenario():
        told[0] = 'second'
        await asyncio.sleep(0.1)

    assert _run(scenario, told) == ['second']


def test_a_file_with_faults_changes_nothing():
    told = ['first']

    async def scenario():
        told[0] = None
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)

    assert _run(scenario, told) == []
