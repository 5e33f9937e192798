"""Tests of the subcommands on one process."""

import asyncio

import pytest

from medlarhoist.ops.command_line import main
from medlarhoist.utils.admin import create_admin
from medlarhoist.utils.loop import create_host

FINGERPRINT = 'ab' * 12


@pytest.fixture(name='run')
def _run():
    """Return a function that runs a command against an admin listener.

    It returns the exit code and the fingerprints that were released.
    """

    def run(command, argument=()):
        released = []

        def release(fingerprint):
            released.append(fingerprint)
            return fingerprint == FINGERPRINT

        async def serve():
            host = create_host(asyncio.get_running_loop())
            site = create_admin(
                host, '127.0.0.1:0', lambda: {'a': 1}, release=release
            )
            line = [command, site.address, *argument]
            try:
                return await asyncio.to_thread(main, line)
            finally:
                await site.stop()

        return asyncio.run(serve()), released

    return run


def test_a_request_is_released(run):
    assert run('release', (FINGERPRINT,)) == (0, [FINGERPRINT])


def test_an_unknown_request_is_not_found(run, capsys):
    assert run('release', ('cd',)) == (6, ['cd'])
    assert 'no such request' in capsys.readouterr().err


def test_a_dump_is_printed(run, capsys):
    assert run('dump') == (0, [])
    assert '"a": 1' in capsys.readouterr().out
