"""Tests of the compilation of what changed."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack
from msgspec.structs import replace

from medlarhoist.core.compile import (
    Compiled,
    compile_next,
    compile_snapshot,
    create_compiler,
)
from medlarhoist.core.digest import create_digest, digest_of
from medlarhoist.core.resource import Route, Service, TargetVersion
from medlarhoist.core.snapshot import EMPTY, SCHEMA, Share, Snapshot

KINDS = ('services', 'routes', 'target_versions', 'shares')
NAMES = ('a', 'b', 'c', 'd')
LABELS = ('v1', 'v2')
WHOLE = Snapshot(
    version=1,
    services=tuple(Service(name=name, current='v1') for name in NAMES),
    routes=tuple(
        Route(name=name, prefix=f'/{name}', service=name) for name in NAMES
    ),
    target_versions=tuple(
        TargetVersion(name=f'{name}/{label}', service=name, label=label)
        for name in NAMES
        for label in LABELS
    ),
    shares=(
        Share(service='b', move='m', old='v1', new='v2', basis_points=100),
    ),
)


def _key(record):
    return record.service if isinstance(record, Share) else record.name


def _put(snapshot, kind, record):
    records = {_key(one): one for one in getattr(snapshot, kind)}
    records[_key(record)] = record
    return _replace(snapshot, kind, sorted(records.values(), key=_key))


def _delete(snapshot, kind, names):
    left = [one for one in getattr(snapshot, kind) if _key(one) not in names]
    return _replace(snapshot, kind, left)


def _replace(snapshot, kind, records):
    return replace(
        snapshot,
        version=snapshot.version + 1,
        **{kind: tuple(records)},
    )


def _choose_record(kind, rng):
    name = rng.choice(NAMES)
    label = rng.choice((*LABELS, 'v3'))
    if kind == 'services':
        slots = rng.choice((0, 1, 2, 20, 20))
        return Service(name=name, current=label, slots=slots)
    if kind == 'routes':
        prefix = rng.choice(('/a', '/b', '/c', '/e', 'f', '/b'))
        return Route(name=name, prefix=prefix, service=rng.choice(NAMES))
    if kind == 'target_versions':
        service = rng.choice((name, name, 'e', ''))
        full = f'{name}/{label}'
        return TargetVersion(name=full, service=service, label=label)
    old, new = rng.choice(
        (LABELS, (LABELS[1], LABELS[0]), ('v1', 'v3'), ('v1', 'v1'))
    )
    points = rng.choice((0, 100, 10_001))
    return Share(service=name, move='m', old=old, new=new, basis_points=points)


def _change(snapshot, rng):
    kind = rng.choice(KINDS)
    records = list(getattr(snapshot, kind))
    choice = rng.randrange(10)
    if choice == 0:
        return msgpack.decode(msgpack.encode(snapshot), type=Snapshot)
    if choice == 1 and records:
        return _replace(snapshot, kind, [*records, rng.choice(records)])
    if choice == 2:
        return _replace(snapshot, kind, rng.sample(records, len(records)))
    if choice < 6:
        gone = rng.choice((*NAMES, 'a/v2', 'b/v2', 'd/v1'))
        return _delete(snapshot, kind, gone)
    return _put(snapshot, kind, _choose_record(kind, rng))


def _check_same(base, snapshot):
    compiled, faults = compile_next(base, snapshot)
    expected, expected_faults = compile_snapshot(snapshot)
    assert faults == expected_faults
    if expected is None:
        assert compiled is None
        return base
    assert compiled.digest == expected.digest == digest_of(snapshot)
    assert compiled.digest_sum == expected.digest_sum
    assert compiled.snapshot is snapshot
    assert compiled.services == expected.services
    assert compiled.routes == expected.routes
    assert compiled.shares == expected.shares
    return compiled


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(0, 1 << 32))
def test_any_changes_compile_as_the_whole_does(seed):
    rng = random.Random(seed)
    digest = create_digest()
    base = _check_same(None, rng.choice((WHOLE, EMPTY)))
    for _ in range(12):
        snapshot = base.snapshot
        for _ in range(rng.choice((1, 1, 1, 2, 4))):
            snapshot = _change(snapshot, rng)
        assert digest(snapshot) == digest_of(snapshot)
        base = _check_same(base, snapshot)


@pytest.mark.parametrize(
    ('left', 'kind', 'gone', 'source'),
    [
        ('routes', 'services', 'a', 'route/a'),
        ('target_versions', 'services', 'a', 'target-version/a/v1'),
        ('shares', 'services', 'b', 'move/m'),
        ('services', 'target_versions', 'a/v1', 'service/a'),
        ('shares', 'target_versions', 'b/v2', 'move/m'),
    ],
)
def test_what_one_kind_alone_refers_to_cannot_be_deleted(
    left, kind, gone, source
):
    snapshot = _delete(WHOLE, kind, {gone})
    for other in {'routes', 'target_versions', 'shares'} - {left, kind}:
        records = getattr(snapshot, other)
        records = [one for one in records if one.service != gone]
        snapshot = _replace(snapshot, other, records)
    base, _ = compile_snapshot(WHOLE)
    compiled, faults = compile_next(base, snapshot)
    assert compiled is None
    assert faults == compile_snapshot(snapshot)[1]
    assert source in {fault.source for fault in faults}


def test_two_routes_may_swap_their_prefixes():
    first, second, *others = WHOLE.routes
    swapped = (
        replace(first, prefix=second.prefix),
        replace(second, prefix=first.prefix),
    )
    base, _ = compile_snapshot(WHOLE)
    snapshot = _replace(WHOLE, 'routes', (*swapped, *others))
    assert _check_same(base, snapshot).routes['', '/b'] is swapped[0]


def test_untouched_indexes_are_the_same_objects():
    base, _ = compile_snapshot(WHOLE)
    route = replace(WHOLE.routes[0], timeout_ms=77)
    compiled, _ = compile_next(base, _put(WHOLE, 'routes', route))
    assert compiled.services is base.services
    assert compiled.routes['', '/a'] is route
    assert base.routes['', '/a'] is WHOLE.routes[0]


def test_a_newer_schema_is_refused():
    base, _ = compile_snapshot(WHOLE)
    newer = replace(WHOLE, schema=SCHEMA + 1)
    assert compile_next(base, newer) == compile_snapshot(newer)


def test_a_base_without_a_total_gives_the_same_digest():
    base = Compiled(WHOLE, '')
    _check_same(base, _delete(WHOLE, 'routes', {'a'}))


def test_a_compiler_goes_on_past_a_fault():
    compile_one = create_compiler()
    for snapshot in (EMPTY, WHOLE, _delete(WHOLE, 'services', {'a'}), WHOLE):
        compiled, faults = compile_one(snapshot)
        assert faults == compile_snapshot(snapshot)[1]
        assert (compiled is None) == bool(faults)
