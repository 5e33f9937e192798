"""Tests of the wait for a version to be in force."""

import asyncio

from medlarhoist.source import in_force as in_force_module
from medlarhoist.source.distributor_plan import DomainView
from medlarhoist.source.in_force import (
    InForceVersion,
    is_in_force,
    lags_domain,
)
from medlarhoist.wire.message import Ack


def create_always_in_force():
    """Return an InForceVersion on which no request has to wait."""
    in_force = InForceVersion()
    in_force.record(1_000_000)
    return in_force


def _view(*active):
    acks = tuple(
        Ack(version=2, staged=1, active=count, nodes=1) for count in active
    )
    return DomainView(keepers=3, acks=acks)


def test_a_version_is_in_force_once_every_attached_node_has_it():
    assert is_in_force({'a': _view(1, 1), 'b': _view(1)})
    assert not is_in_force({'a': _view(1, 1), 'b': _view(1, 0)})


def test_a_domain_without_attached_keepers_does_not_count():
    assert is_in_force({'a': _view(1), 'b': _view()})


def test_a_request_is_woken_by_its_version_and_by_later_versions():
    async def scenario():
        in_force = InForceVersion()
        waits = [
            asyncio.ensure_future(in_force.wait_for(version))
            for version in (1, 2, 3)
        ]
        await asyncio.sleep(0)
        in_force.record(2)
        assert await waits[0]
        assert await waits[1]
        assert not waits[2].done()
        in_force.record(4)
        assert await waits[2]

    asyncio.run(scenario())


def test_a_wait_times_out_without_the_version(monkeypatch):
    monkeypatch.setattr(in_force_module, 'MAX_LAG_SECONDS', 0.05)

    async def scenario():
        in_force = InForceVersion()
        assert not await in_force.wait_for(1)
        in_force.record(1)
        assert await in_force.wait_for(1)

    asyncio.run(scenario())


def test_a_wait_is_extended_while_a_whole_domain_lags(monkeypatch):
    monkeypatch.setattr(in_force_module, 'MAX_LAG_SECONDS', 0.05)

    async def scenario():
        in_force = InForceVersion()
        wait = asyncio.ensure_future(in_force.wait_for(1))
        await asyncio.sleep(0)
        in_force.record_lag(60)
        await asyncio.sleep(0.1)
        assert not wait.done()
        in_force.record(1)
        assert await wait

    asyncio.run(scenario())


def test_a_domain_lags_if_none_of_its_attached_nodes_has_the_version():
    assert lags_domain({'a': _view(1, 1), 'b': _view(0, 0)})
    assert not lags_domain({'a': _view(1, 0), 'b': _view(), 'c': _view(1)})


def test_a_repeated_request_does_not_restart_the_wait():
    """Operators repeat a request that has no response within a second."""

    async def scenario():
        in_force = InForceVersion()
        in_force.record_lag()
        loop = asyncio.get_running_loop()
        in_force._lagging_since -= in_force_module.MAX_LAG_SECONDS
        started = loop.time()
        assert not await in_force.wait_for(1)
        assert loop.time() - started < in_force_module.MAX_LAG_SECONDS / 2

    asyncio.run(scenario())
