"""Tests that targets of a drained failure domain get no call.

Guards against each way by which a call could still reach one: the choice of
its entry node, one that has not heard of the drain, the queue of the target's
node, another attempt, and a suspect.
"""

import asyncio
import time

import pytest
from loguru import logger
from msgspec.structs import replace

from medlarhoist.core.admission import Load
from medlarhoist.core.domain_drain import RETURN_S, DomainDrains
from medlarhoist.core.quarantine import Suspicion
from medlarhoist.node.proxy.drain_log import DrainLog
from medlarhoist.node.proxy.peer import PeerService
from medlarhoist.node.proxy.target_selector import (
    LOCAL_SUBSET_SIZE,
    REMOTE_SUBSET_SIZE,
)
from medlarhoist.standin.target_options import Fault

DRAINED = frozenset(('a',))


async def _add_nodes(mesh, *domains, **options):
    for domain in domains:
        await mesh.add(domain, **options)


def _drain(mesh, indexes, domains=DRAINED):
    for index in indexes:
        mesh.nodes[index].set_drained_domains(domains)


@pytest.fixture(name='capture_logs')
def _capture_logs():
    """Return the list of messages that are logged meanwhile."""
    messages = []
    sink = logger.add(lambda line: messages.append(line.record['message']))
    yield messages
    logger.remove(sink)


@pytest.fixture(name='run_counts')
def _run_counts(run_mesh):
    """Run a scenario; return its result and the runs of each target."""

    def run(scenario):
        async def main(mesh):
            result = await scenario(mesh)
            return result, [sum(item.ran.values()) for item in mesh.records]

        return run_mesh(main)

    return run


@pytest.mark.parametrize('entry', [0, 1])
def test_callers_are_served_by_the_other_domains(run_counts, entry):
    async def scenario(mesh):
        await _add_nodes(mesh, 'a', 'b', 'c')
        _drain(mesh, (0, 1, 2))
        return [
            (await mesh.post(request_id=f'q{number}', index=entry)).status
            for number in range(20)
        ]

    statuses, ran = run_counts(scenario)
    assert (set(statuses), ran[0], sum(ran)) == ({200}, 0, 20)


def test_the_node_of_the_target_refuses_what_others_still_send(run_counts):
    """The entry node is out of touch, so it has not heard of the drain."""

    async def scenario(mesh):
        await _add_nodes(mesh, 'b', 'a')
        await mesh.add('c', registered=False)
        _drain(mesh, (1,))
        return [
            (await mesh.post(request_id=f'q{number}', index=2)).status
            for number in range(20)
        ]

    statuses, ran = run_counts(scenario)
    assert (set(statuses), ran) == ({200}, [20, 0, 0])


def test_an_entry_node_without_the_drain_leaves_its_own_domain(run_counts):
    """A call was refused by four targets there, one after another."""

    async def scenario(mesh):
        await mesh.add('a', registered=False)
        await _add_nodes(mesh, 'a', 'a', 'a', 'a', 'a', 'a', 'b')
        _drain(mesh, range(1, 8))
        return [
            (await mesh.post(request_id=f'q{number}')).status
            for number in range(20)
        ]

    statuses, ran = run_counts(scenario)
    assert (set(statuses), ran) == ({200}, [0] * 7 + [20])


def test_waiting_calls_are_tried_elsewhere_at_once(run_counts):
    async def scenario(mesh):
        await mesh.add('a', slots=1, work_ms=2000)
        first = asyncio.create_task(mesh.get('/sights', 'q1'))
        while not mesh.records[0].in_progress:
            await asyncio.sleep(0.01)
        second = asyncio.create_task(mesh.post(request_id='q2'))
        while not mesh.nodes[0].dump().waiting:
            await asyncio.sleep(0.01)
        await mesh.add('b')
        _drain(mesh, (0, 1))
        async with asyncio.timeout(1):
            result = await second
        return result.status, (await first).status

    statuses, ran = run_counts(scenario)
    assert (statuses, ran) == ((200, 200), [1, 1])


def test_without_another_domain_calls_are_refused_at_once(run_counts):
    async def scenario(mesh):
        await _add_nodes(mesh, 'a', 'a')
        _drain(mesh, (0, 1))
        async with asyncio.timeout(1):
            result = await mesh.get()
        return result, mesh.nodes[0].dump()

    (result, dump), ran = run_counts(scenario)
    assert (result.status, result.verdict, ran) == (503, 'did-not-run', [0, 0])
    assert (dump.refused_by_drain, dump.drained_domains) == (1, ('a',))


def test_another_attempt_goes_to_no_drained_domain(run_counts):
    async def scenario(mesh):
        await mesh.add('a')
        await mesh.add('b', fault=Fault.FAIL, work_ms=0)
        _drain(mesh, (0, 1))
        return (await mesh.get('/sights', index=1)).status

    status, ran = run_counts(scenario)
    assert (status >= 500, ran[0]) == (True, 0)


def test_a_suspect_runs_in_no_drained_domain(run_mesh):
    async def scenario(mesh):
        await _add_nodes(mesh, 'a', 'a', 'a', 'b')
        _drain(mesh, range(4))
        selector = mesh.nodes[0]._parts.selector
        return {
            selector.pick_suspect_target(
                'bookings', 'v1', set(), Suspicion(f'{number:024x}').fingerprint
            ).domain
            for number in range(20)
        }

    assert run_mesh(scenario) == {'b'}


def test_a_domain_that_returns_is_used_where_it_is_the_only_one(run_counts):
    async def scenario(mesh):
        await _add_nodes(mesh, 'a', 'b')
        _drain(mesh, (0, 1))
        _drain(mesh, (0, 1), frozenset(('b',)))
        return [
            (await mesh.post(request_id=f'q{number}')).status
            for number in range(5)
        ]

    statuses, ran = run_counts(scenario)
    assert (set(statuses), ran) == ({200}, [5, 0])


def test_the_end_of_a_drain_does_not_open_a_node_that_stops(run_counts):
    async def scenario(mesh):
        await _add_nodes(mesh, 'a')
        _drain(mesh, (0,))
        local = mesh.nodes[0]._parts.local
        await mesh.nodes[0].stop(linger_s=0, timeout_s=1)
        _drain(mesh, (0,), frozenset())
        return local._no_calls_reason

    assert run_counts(scenario)[0] == 'node is stopping'


def test_a_node_of_a_drained_domain_keeps_more_targets_elsewhere(run_mesh):
    """Its calls would all go to the few that it keeps for spillover."""

    async def scenario(mesh):
        await mesh.add('a')
        template = mesh.registry.all_targets[0]
        others = [
            replace(template, domain='b', address=f'10.0.0.1:{number}')
            for number in range(60)
        ]
        mesh.registry.set_targets((template, *others))
        selector = mesh.nodes[0]._parts.selector
        before = selector._list_targets('bookings', 'v1')
        _drain(mesh, (0,))
        return len(before), len(selector._list_targets('bookings', 'v1'))

    kept, kept_in_drain = run_mesh(scenario)
    assert kept == 1 + REMOTE_SUBSET_SIZE
    assert kept_in_drain == LOCAL_SUBSET_SIZE + REMOTE_SUBSET_SIZE


def test_calls_from_a_drained_domain_queue_like_those_from_here():
    drains = DomainDrains()
    peer = PeerService(None, 'a', b'key', time.time, drains)
    assert (peer._is_spilled(b'a'), peer._is_spilled(b'b')) == (False, True)
    drains.update(frozenset(('b',)), now=1)
    assert not peer._is_spilled(b'b')
    drains.update(frozenset(), now=2)
    assert not peer._is_spilled(b'b')
    drains.expire(2 + RETURN_S)
    assert peer._is_spilled(b'b')


def test_each_step_is_logged_once(capture_logs):
    drains, log = DomainDrains(), DrainLog('a')
    busy, idle = Load(3, 1, 0), Load(3, 0, 0)
    log.record_change(drains.drained, DRAINED)
    drains.update(DRAINED, now=1)
    for load in (busy, idle, idle):
        log.record_progress(drains, load, now=2)
    log.record_change(DRAINED, frozenset())
    drains.update(frozenset(), now=3)
    for now in (4, 3 + RETURN_S, 4 + RETURN_S):
        log.record_progress(drains, idle, now)
    assert capture_logs == [
        'drain: in force at this node',
        'drain: the last call has left the target',
        'drain: has ended at this node',
        'drain: the domain has its share',
    ]
