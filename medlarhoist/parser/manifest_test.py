"""Tests of manifests, deadlines and the lines of YAML faults."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarhoist.core.resource import Key, Move, Route, Service, TargetVersion
from medlarhoist.parser.duration import parse_deadline
from medlarhoist.parser.manifest import parse_manifest

NOW_MS = 1_000_000
MANIFEST = """
kind: service
name: seats
current: v1
base: 3
---
kind: target-version
service: seats
label: v1
---
kind: route
name: seats
prefix: /seats
service: seats
idempotent: true
timeout: 500ms
---
---
kind: move
name: m
service: seats
old: v1
new: v2
deadline: 2m
"""


def test_a_manifest_is_parsed():
    changes, faults = parse_manifest(MANIFEST, 'shop.yaml', NOW_MS)
    assert not faults
    assert changes[0].base == 3
    assert [change.resource for change in changes] == [
        Service(name='seats', current='v1'),
        TargetVersion(name='seats/v1', service='seats', label='v1'),
        Route(
            name='seats',
            prefix='/seats',
            service='seats',
            idempotent=True,
            timeout_ms=500,
        ),
        Move(
            name='m',
            service='seats',
            old='v1',
            new='v2',
            deadline_ms=NOW_MS + 120_000,
        ),
    ]
    assert changes[1].key == Key('target-version', 'seats/v1')


SERVICE = 'kind: service\nname: a\ncurrent: v1\n'
MOVE = 'kind: move\nname: m\nservice: s\nold: a\nnew: b\ndeadline: '


@pytest.mark.parametrize(
    ('text', 'source', 'message'),
    [
        (f'{SERVICE}slot: 3\n', 'f:4', 'slot: '),
        (f'{SERVICE}slots: many\n', 'f:4', 'slots: Expected `int`'),
        (f'{SERVICE}slots: {10**30}\n', 'f:4', 'slots: Expected `int` <='),
        (f'{SERVICE}base: {10**30}\n', 'f:4', 'base: Expected `int` <='),
        (f'{SERVICE}name: b\n', 'f:4', 'name: duplicate key'),
        (f'{SERVICE}---\n{SERVICE}', 'f:5', 'service/a is defined twice'),
        ('kind: servant\n', 'f:1', 'kind: '),
        ('kind: service\n', 'f:1', 'missing required field `name`'),
        ('- a\n', 'f:1', 'Expected `object`'),
        ('a: [\n', 'f:2', 'invalid YAML'),
        ('a: &x 1\nb: *x\n', 'f:2', 'aliases are not accepted'),
        ('a: !!python/name:os.system 1\n', 'f:1', 'invalid YAML'),
        ('a: 0b_\n', 'f', 'invalid YAML'),
        ('\x00', 'f', 'invalid YAML'),
        ('', 'f', 'contains no resource'),
        (f'{MOVE}tomorrow\n', 'f:6', 'deadline: is neither'),
        (f'{MOVE}2026-12-04T07:00:00\n', 'f:6', 'deadline: is neither'),
        (f'{MOVE}1s\nbake: fast\n', 'f:7', 'bake: '),
        ('[' * 5000, 'f', ''),
    ],
)
def test_a_fault_names_file_line_and_field(text, source, message):
    _, faults = parse_manifest(text, 'f', NOW_MS)
    assert [fault.source for fault in faults] == [source]
    assert message in faults[0].message


def test_every_faulty_document_is_reported():
    _, faults = parse_manifest('kind: x\n---\nkind: y\n', 'f', NOW_MS)
    assert [fault.source for fault in faults] == ['f:1', 'f:3']


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('30s', NOW_MS + 30_000),
        ('1970-01-01T00:00:02Z', 2000),
        ('1970-01-01T02:00:01.5+02:00', 1500),
        ('', None),
    ],
)
def test_a_deadline_is_a_duration_or_a_time(text, expected):
    assert parse_deadline(text, NOW_MS) == expected


@settings(derandomize=True, deadline=None)
@given(st.text(alphabet=' abk:-[]{}\n"\'&*!0_x~#|>%@`?,', max_size=40))
def test_any_text_yields_changes_or_faults(text):
    changes, faults = parse_manifest(text, 'f', NOW_MS)
    assert changes or faults
