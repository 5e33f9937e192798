"""Tests of the settings file."""

import pytest

from medlarhoist.core.settings import NodeSettings, SourceSettings
from medlarhoist.parser.settings import parse_settings

SOURCES = """
sources:
  - {name: s1, control: 127.0.0.1:1, api: 127.0.0.1:2}
  - {name: s2, control: 127.0.0.1:3, api: 127.0.0.1:4}
  - {name: s3, control: 127.0.0.1:5, api: 127.0.0.1:6}
"""
SOURCE = f"""role: source
name: s1
domain: a
admin: 127.0.0.1:9000
shared_key: 0123456789abcdef
data_folder: /var/lib/medlarhoist
keepers: 3
operators:
  - name: ranger
    token_sha256: {'ab' * 32}{SOURCES}"""
NODE = f"""role: node
name: n1
domain: a
admin: 127.0.0.1:9000
shared_key: 0123456789abcdef
control: 127.0.0.1:9001
gossip: 127.0.0.1:9002
entry: 127.0.0.1:9003
peer: 127.0.0.1:9004{SOURCES}"""


@pytest.mark.parametrize(
    ('text', 'role'),
    [(SOURCE, SourceSettings), (NODE, NodeSettings)],
)
def test_settings_are_parsed(text, role):
    settings, faults = parse_settings(text, 'f')
    assert not faults
    assert isinstance(settings, role)
    assert settings.sources[2].api == '127.0.0.1:6'


@pytest.mark.parametrize(
    ('text', 'source', 'message'),
    [
        (SOURCE.replace('keepers: 3', 'keeper: 3'), 'f:7', 'keeper: '),
        (SOURCE.replace('keepers: 3', 'keepers: 2'), 'f:7', '1, 3, 5 or 7'),
        (SOURCE.replace('keepers: 3', 'keepers: x'), 'f:7', 'Expected `int`'),
        (SOURCE.replace('name: s1\n', 'name: s9\n'), 'f:2', 'not one of'),
        (SOURCE.replace('name: s3', 'name: s2'), 'f:14', 'is a duplicate'),
        (SOURCE.replace('0.1:6', '0.1:5'), 'f:14', 'is a duplicate'),
        (SOURCE.replace('0.1:6', '0.1:99999'), 'f:14', 'like 10.0.0.1:7000'),
        (SOURCE.replace('0.1:6', '0.256:6'), 'f:14', 'like 10.0.0.1:7000'),
        (SOURCE.replace('role: source', 'role: owner'), 'f:1', 'role: '),
        (SOURCE.replace('0123456789abcdef', 'short'), 'f:5', 'shared_key: '),
        (NODE.replace('peer: 127.0.0.1', 'peer: localhost'), 'f:9', 'peer: '),
        (NODE.replace('  - {name: s3', '# {'), 'f:10', 'an odd number'),
        ('', 'f', 'holds 0 YAML documents'),
        (f'{NODE}---\na: 1\n', 'f', 'holds 2 YAML documents'),
    ],
)
def test_a_fault_names_file_line_and_key(text, source, message):
    settings, faults = parse_settings(text, 'f')
    assert settings is None
    assert faults[0].source == source
    assert message in faults[0].message
