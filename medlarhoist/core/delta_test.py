"""Tests of deltas between snapshots."""

from hypothesis import given, settings
from hypothesis import strategies as st

from medlarhoist.core.delta import apply_changes, encode_changes
from medlarhoist.core.resource import Route, Service, TargetVersion
from medlarhoist.core.snapshot import Share, Snapshot

NAMES = st.sampled_from(('bookings', 'footage', 'raportti', 'sightings'))


def _sort_unique(records, field='name'):
    """Return records in the order of a snapshot, the last of each name."""
    unique = {getattr(record, field): record for record in records}
    return tuple(unique[key] for key in sorted(unique))


SERVICES = st.lists(
    st.builds(Service, name=NAMES, current=st.sampled_from(('v1', 'v2'))),
).map(_sort_unique)
ROUTES = st.lists(
    st.builds(
        Route,
        name=NAMES,
        prefix=st.just('/'),
        service=NAMES,
        timeout_ms=st.integers(1, 3),
    ),
).map(_sort_unique)
VERSIONS = st.lists(
    st.builds(TargetVersion, name=NAMES, service=NAMES, label=st.just('v1')),
).map(_sort_unique)
SHARES = st.lists(
    st.builds(
        Share,
        service=NAMES,
        move=NAMES,
        old=st.just('v1'),
        new=st.just('v2'),
        basis_points=st.integers(0, 2),
    ),
).map(lambda records: _sort_unique(records, 'service'))
SNAPSHOTS = st.builds(
    Snapshot,
    version=st.integers(1, 9),
    services=SERVICES,
    routes=ROUTES,
    target_versions=VERSIONS,
    shares=SHARES,
)


@settings(derandomize=True, deadline=None)
@given(SNAPSHOTS, SNAPSHOTS)
def test_a_delta_gives_the_encoded_snapshot(base, expected):
    result, faults = apply_changes(base, encode_changes(base, expected))
    assert faults == ()
    assert result == expected


def test_a_malformed_delta_returns_a_fault():
    result, faults = apply_changes(Snapshot(version=1), b'\xc1')
    assert result is None
    assert faults[0].source == 'delta'


def test_the_delta_of_one_route_among_1000_is_small():
    routes = tuple(
        Route(name=f'r{number:04}', prefix=f'/{number}', service='bookings')
        for number in range(1000)
    )
    changed = Route(name='r0500', prefix='/new', service='bookings')
    base = Snapshot(version=1, routes=routes)
    result = Snapshot(
        version=2,
        routes=(*routes[:500], changed, *routes[501:]),
    )
    assert len(encode_changes(base, result)) < 200
