"""Tests of weighted splits and of route matching."""

from collections import Counter
from random import Random

import pytest

from medlarhoist.core.compile import compile_snapshot
from medlarhoist.core.resource import Route, Service, WeightedService
from medlarhoist.core.snapshot import Snapshot
from medlarhoist.core.split import Splitter

SPLIT = (
    WeightedService(service='a', weight=90),
    WeightedService(service='b', weight=10),
    WeightedService(service='c', weight=0),
)


def _route(**changes):
    return Route(name='r', prefix='/x/', split=SPLIT, **changes)


@pytest.mark.parametrize('seed', range(5))
def test_each_service_stays_within_one_call_of_its_weight(seed):
    splitter = Splitter(Random(seed))
    counts = Counter()
    for number in range(1, 401):
        counts[splitter.pick(_route())] += 1
        assert abs(counts['b'] - number * 0.1) <= 1
    assert counts['c'] == 0


def test_nodes_start_at_different_offsets():
    splitters = [Splitter(Random(seed)) for seed in range(20)]
    firsts = {
        tuple(splitter.pick(_route()) for _ in range(10))
        for splitter in splitters
    }
    assert len(firsts) > 3


def test_changed_split_takes_effect_at_once():
    splitter = Splitter(Random(1))
    for _ in range(7):
        splitter.pick(_route())
    changed = Route(
        name='r',
        prefix='/x/',
        split=(WeightedService(service='b', weight=1),),
    )
    assert {splitter.pick(changed) for _ in range(20)} == {'b'}


def test_routes_of_a_host_precede_those_of_any_host():
    routes = (
        Route(name='any', prefix='/', service='a'),
        Route(name='below', prefix='/x/', host='h.example', service='a'),
        Route(name='deep', prefix='/x/y/', host='h.example', service='a'),
    )
    snapshot = Snapshot(version=1, services=(Service(name='a'),), routes=routes)
    compiled, faults = compile_snapshot(snapshot)
    assert not faults
    found = {
        (path, host): compiled.match(path, host).name
        for path in ('/x/y/z?q=1', '/x/q', '/x', '/x/y')
        for host in ('H.example:8080', 'other')
    }
    assert found['/x/y/z?q=1', 'H.example:8080'] == 'deep'
    assert found['/x/q', 'H.example:8080'] == 'below'
    assert found['/x/y', 'H.example:8080'] == 'below'
    assert found['/x', 'H.example:8080'] == 'any'
    assert {found[path, 'other'] for path in ('/x', '/x/q')} == {'any'}
