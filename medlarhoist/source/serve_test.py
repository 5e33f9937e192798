"""Tests of a source that can't write: it waits for room and does not end."""

import asyncio
import errno

import pytest

from medlarhoist.source import serve, standby
from medlarhoist.source.standby import create_standby


@pytest.fixture(name='run_source')
def _run_source(founder, monkeypatch):
    """Return a function that runs a source whose starts fail in turn.

    It returns the exit code. A start without an error stops the process.
    """

    def run(*errors):
        remaining = list(errors)
        monkeypatch.setattr(serve, 'RETRY_SECONDS', 0.01)
        monkeypatch.setattr(serve, 'set_up_logs', lambda logs, name: None)

        async def serve_once(cfg, host, sites, waiting, stop_requested):
            if remaining:
                raise remaining.pop(0)
            stop_requested.set()

        monkeypatch.setattr(serve, '_serve_once', serve_once)
        return asyncio.run(serve.serve_source(founder))

    return run


def test_a_source_whose_disk_is_full_at_its_start_goes_on(run_source):
    """It ended: the identity of a member could not be written."""
    full = OSError(errno.ENOSPC, 'no space left')
    assert run_source(full, full) == 0


def test_a_source_whose_disk_fails_ends(run_source):
    failed = OSError(errno.EIO, 'input/output error')
    assert run_source(failed) == serve.EXIT_STORAGE_DAMAGED


def test_a_source_waits_for_room_before_it_serves(run_source, monkeypatch):
    faults = ['no space left'] * 3
    monkeypatch.setattr(standby, 'PROBE_INTERVAL_SECONDS', 0)
    monkeypatch.setattr(standby, 'REQUEST_INTERVAL_SECONDS', 0.01)
    monkeypatch.setattr(
        standby, 'find_full_disk', lambda folder: faults.pop() if faults else ''
    )
    assert run_source() == 0
    assert not faults


def test_a_standby_with_a_full_disk_asks_for_no_slot(founder, monkeypatch):
    monkeypatch.setattr(standby, 'find_full_disk', lambda folder: 'no space')
    asked = []

    async def ask(channels, endpoint, request):
        asked.append(endpoint)

    monkeypatch.setattr(standby, 'request_membership', ask)

    async def scenario():
        waiting = create_standby(founder)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1):
                await waiting.wait_for_member_slot()
        return waiting

    assert asyncio.run(scenario()).fault == 'no space'
    assert not asked
