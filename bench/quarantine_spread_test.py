"""Tests that nodes learn of a request that crashes its targets in time."""

import asyncio
import time
from functools import partial

import pytest

from bench.domain_fleet import run_domains
from medlarhoist.core.quarantine import DEATHS_TO_QUARANTINE

GUILTY = 'ab' * 12
# The users allow further runs for this time after the last that counts.
SPREAD_S = 3.0
NODES_PER_DOMAIN = 4


def _convict(node, fingerprint=GUILTY):
    known = None
    for _ in range(DEATHS_TO_QUARANTINE):
        known = node.quarantine.record_death(
            fingerprint, known, time.monotonic()
        )


def _knows(node, fingerprint=GUILTY):
    record = node.quarantine.find(fingerprint, time.monotonic())
    return record is not None and record.is_quarantined


async def _await_all(fleet, is_met):
    async with asyncio.timeout(SPREAD_S):
        while not all(is_met(node) for node in fleet.nodes.values()):
            await asyncio.sleep(0.02)


@pytest.fixture(name='run_fleet_of_domains')
def _run_fleet_of_domains():
    """Return a function that runs a scenario with a fleet that has joined."""
    return partial(run_domains, NODES_PER_DOMAIN)


def test_all_domains_learn_of_a_conviction(run_fleet_of_domains):
    async def scenario(fleet):
        _convict(fleet.nodes['a0'])
        await _await_all(fleet, _knows)

    run_fleet_of_domains(scenario)


def test_all_domains_learn_of_an_operators_release(run_fleet_of_domains):
    async def scenario(fleet):
        _convict(fleet.nodes['a0'])
        await _await_all(fleet, _knows)
        fleet.nodes['c3'].quarantine.clear(GUILTY, time.monotonic())
        await _await_all(fleet, lambda node: not _knows(node))

    run_fleet_of_domains(scenario)


@pytest.mark.parametrize('names', [('b1',), ('b0', 'b1', 'b2', 'b3')])
def test_restarted_nodes_learn_of_a_conviction(run_fleet_of_domains, names):
    """Also where a whole domain restarts, whose nodes all have forgotten it."""

    async def scenario(fleet):
        _convict(fleet.nodes['a0'])
        await _await_all(fleet, _knows)
        await asyncio.gather(*(fleet.nodes[name].stop() for name in names))
        for name in names:
            fleet.replace_node(name)
        await asyncio.gather(*(fleet.nodes[name].start() for name in names))
        await _await_all(fleet, lambda node: node.version is not None)
        await _await_all(fleet, _knows)

    run_fleet_of_domains(scenario)


def test_many_suspects_do_not_delay_a_conviction(run_fleet_of_domains):
    """A target with many slots ends with all the requests in progress."""

    async def scenario(fleet):
        node = fleet.nodes['a0']
        for number in range(500):
            node.quarantine.record_death(f'{number:024x}', None, 0)
        _convict(node)
        await _await_all(fleet, _knows)

    run_fleet_of_domains(scenario)
