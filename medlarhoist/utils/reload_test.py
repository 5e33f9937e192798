"""Tests of settings that change while a process runs."""

import asyncio
import os
import signal

from medlarhoist.utils import reload
from medlarhoist.utils.reload import Reloader


def _run(scenario, content):
    applied = []

    async def main():
        reloader = Reloader('first', lambda: content[0], applied.append)
        reloader.start()
        await scenario()
        await reloader.stop()

    asyncio.run(main())
    return applied


def test_sighup_reloads_the_file():
    content = ['first']

    async def scenario():
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)
        content[0] = 'second'
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)

    assert _run(scenario, content) == ['second']


def test_a_change_without_a_signal_is_detected(monkeypatch):
    monkeypatch.setattr(reload, 'POLL_INTERVAL_SECONDS', 0.02)
    content = ['first']

    async def scenario():
        content[0] = 'second'
        await asyncio.sleep(0.1)

    assert _run(scenario, content) == ['second']


def test_an_invalid_file_changes_nothing():
    content = ['first']

    async def scenario():
        content[0] = None
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)

    assert _run(scenario, content) == []
