"""Tests of compile_snapshot."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from medlarhoist.core.compile import Compiled, compile_snapshot
from medlarhoist.core.resource import Route, Service, TargetVersion
from medlarhoist.core.snapshot import SCHEMA, Share, Snapshot

SEATS = Service(name='seats', current='v1')
ROUTE = Route(name='seats', prefix='/seats', service='seats')
VERSIONS = (
    TargetVersion(name='seats/v1', service='seats', label='v1'),
    TargetVersion(name='seats/v2', service='seats', label='v2'),
)
SHARE = Share(service='seats', move='m', old='v1', new='v2', basis_points=100)
SNAPSHOT = Snapshot(
    version=4,
    services=(SEATS,),
    routes=(ROUTE,),
    target_versions=VERSIONS,
    shares=(SHARE,),
)
PATHS = st.text('/ab', max_size=6).map('/{}'.format)
NAMES = st.sampled_from(['a', 'b', 'B', '', 'a/b', 'x' * 70])


def test_a_valid_snapshot_compiles():
    compiled, faults = compile_snapshot(SNAPSHOT)
    assert not faults
    assert compiled.version == 4
    assert compiled.shares['seats'] is SHARE
    assert len(compiled.digest) == 16


def test_equal_content_has_equal_digests():
    first, _ = compile_snapshot(SNAPSHOT)
    equal, _ = compile_snapshot(replace(SNAPSHOT))
    different, _ = compile_snapshot(replace(SNAPSHOT, shares=()))
    assert first.digest == equal.digest
    assert first.digest != different.digest


@pytest.mark.parametrize(
    ('path', 'is_matched'),
    [
        ('/seats/3?x=1', True),
        ('/seats', True),
        ('/seatsx', False),
        ('/', False),
    ],
)
def test_a_prefix_matches_complete_segments_only(path, is_matched):
    compiled, _ = compile_snapshot(SNAPSHOT)
    assert (compiled.match(path) is ROUTE) is is_matched


def _match_by_segments(routes, path):
    """Return the longest prefix of complete segments, by trying each."""
    ends = [
        end
        for end in range(len(path), 0, -1)
        if end == len(path) or '/' in path[end - 1 : end + 1]
    ]
    return next(
        (routes[path[:end]] for end in ends if path[:end] in routes), None
    )


@given(
    prefixes=st.sets(PATHS, min_size=1),
    path=PATHS,
)
def test_the_longest_prefix_of_complete_segments_wins(prefixes, path):
    routes = {
        prefix: Route(name=f'r{nr}', prefix=prefix, service='seats')
        for nr, prefix in enumerate(sorted(prefixes))
    }
    compiled = Compiled(replace(SNAPSHOT, routes=tuple(routes.values())), '')
    assert compiled.match(path) is _match_by_segments(routes, path)


class _CountedRoutes(dict):
    """Routes that count the characters of the prefixes that are looked up."""

    def __init__(self, routes):
        super().__init__(routes)
        self.characters = 0

    def get(self, key, default=None):
        self.characters += len(key[1])
        return super().get(key, default)


@pytest.mark.parametrize(
    'path',
    [
        '/' * 16_000,
        '/seats{}'.format('/' * 16_000),
        '/a' * 8000,
        '/seats/{}'.format('a/' * 8000),
    ],
    ids=[
        'slashes',
        'slashes behind a prefix',
        'segments',
        'segments behind one',
    ],
)
@pytest.mark.parametrize('host', ['', 'x'])
def test_the_work_of_a_match_grows_at_most_with_the_path(path, host):
    compiled = Compiled(SNAPSHOT, '')
    compiled.routes = _CountedRoutes(compiled.routes)
    compiled.match(path, host)
    assert compiled.routes.characters <= 4 * len(path)


@pytest.mark.parametrize(
    ('invalid', 'source', 'text'),
    [
        (replace(SNAPSHOT, services=()), 'route/seats', "service: 'seats'"),
        (
            replace(SNAPSHOT, services=(replace(SEATS, current='v3'),)),
            'service/seats',
            'current: target-version seats/v3',
        ),
        (
            replace(SNAPSHOT, target_versions=VERSIONS[:1]),
            'move/m',
            'new: target-version seats/v2',
        ),
        (
            replace(SNAPSHOT, routes=(replace(ROUTE, name='other'), ROUTE)),
            'route/seats',
            'belongs to route/other',
        ),
        (
            replace(SNAPSHOT, routes=(replace(ROUTE, prefix='/seats//'),)),
            'route/seats',
            'prefix: ',
        ),
        (
            replace(SNAPSHOT, routes=(replace(ROUTE, timeout_ms=0),)),
            'route/seats',
            'timeout_ms: ',
        ),
        (
            replace(SNAPSHOT, routes=(ROUTE, ROUTE)),
            'route/seats',
            'stands twice',
        ),
        (
            replace(SNAPSHOT, services=(replace(SEATS, slots=0),)),
            'service/seats',
            'slots: ',
        ),
        (
            replace(SNAPSHOT, target_versions=tuple(reversed(VERSIONS))),
            'target-version/seats/v1',
            'out of order',
        ),
        (
            replace(SNAPSHOT, shares=(replace(SHARE, basis_points=10_001),)),
            'move/m',
            'basis_points: ',
        ),
        (
            replace(SNAPSHOT, shares=(replace(SHARE, old='v2', new='v1'),)),
            'move/m',
            'not the current version',
        ),
        (replace(SNAPSHOT, schema=SCHEMA + 1), 'snapshot', 'newer than'),
    ],
)
def test_each_fault_is_reported_with_its_source(invalid, source, text):
    compiled, faults = compile_snapshot(invalid)
    assert compiled is None
    assert any(
        fault.source == source and text in fault.message for fault in faults
    )


@settings(derandomize=True, deadline=None)
@given(
    st.builds(
        Snapshot,
        version=st.integers(0, 9),
        services=st.lists(
            st.builds(Service, name=NAMES, current=NAMES, slots=st.integers()),
        ).map(tuple),
        routes=st.lists(
            st.builds(Route, name=NAMES, prefix=st.text(), service=NAMES),
        ).map(tuple),
        target_versions=st.lists(
            st.builds(TargetVersion, name=NAMES, service=NAMES, label=NAMES),
        ).map(tuple),
        shares=st.lists(
            st.builds(
                Share,
                service=NAMES,
                move=NAMES,
                old=NAMES,
                new=NAMES,
                basis_points=st.integers(),
            ),
        ).map(tuple),
    ),
)
def test_compilation_is_total_and_deterministic(snapshot):
    compiled, faults = compile_snapshot(snapshot)
    assert (compiled is None) == bool(faults)
    assert compile_snapshot(snapshot)[1] == faults
