"""Tests of the platform's settings file."""

import pytest
from result import Err

from medlarhoist.core.settings import NodeSettings, SourceSettings
from medlarhoist.parser.settings import parse_settings
from medlarhoist.platform.settings import decode_deployment


@pytest.fixture(name='content')
def _content():
    """Return the decoded settings file of a node."""
    return {
        'self': {
            'node': 'sidecar-uy-south-a-1',
            'serves': ['sidecar'],
            'ip': '10.1.0.41',
            'zone': 'uy-south-a',
            'bootstrap': True,
            'data_dir': None,
            'service': 'huvo11a',
            'limits': {'memory_mb': 300},
        },
        'network': {
            'listen': {
                'inbound': '10.1.0.41:8624',
                'outbound': '10.1.0.41:8629',
                'readiness': '10.1.0.41:8625',
                'control': '10.1.0.41:8620',
            },
            'port_range': [7600, 7615],
            'seeds': ['10.3.0.13:8620', '10.1.0.45:8620', '10.2.0.29:8620'],
        },
        'platform': {'heartbeat_s': 1.5, 'new': 'field'},
        'terms': {'bounds': {'grace_s': 6}},
    }


def _read_as_source(content, ip, *, first=True):
    content['self'].update(
        node='core-1',
        serves=['control_plane'],
        ip=ip,
        bootstrap=first,
        data_dir='/data/my-core',
    )
    content['network']['listen'] = {'control': f'{ip}:8620'}
    return decode_deployment(content).ok_value


def test_the_settings_of_a_node_hold_its_addresses_and_the_sources(content):
    deployment = decode_deployment(content).ok_value
    cfg = deployment.process
    assert isinstance(cfg, NodeSettings)
    assert (cfg.entry, cfg.peer) == ('10.1.0.41:8629', '10.1.0.41:8624')
    assert (cfg.control, cfg.admin) == ('10.1.0.41:7600', '10.1.0.41:7602')
    assert (cfg.domain, cfg.service) == ('uy-south-a', 'huvo11a')
    assert cfg.heartbeat_ms == 1500
    assert cfg.grace_ms == 6000
    assert cfg.revocation_ms == 0
    assert cfg.memory_mb == 300
    assert [peer.control for peer in cfg.sources] == [
        '10.1.0.45:7600',
        '10.2.0.29:7600',
        '10.3.0.13:7600',
    ]


def test_all_initial_members_agree_on_the_group(content):
    groups = set()
    for seed in tuple(content['network']['seeds']):
        ip = seed.partition(':')[0]
        cfg = _read_as_source(content, ip).process
        assert isinstance(cfg, SourceSettings)
        assert (cfg.name, cfg.may_found, cfg.spare) == (ip, True, None)
        groups.add(cfg.sources)
    assert len(groups) == 1


def test_a_source_that_is_not_a_seed_is_a_standby(content):
    cfg = _read_as_source(content, '10.4.0.35').process
    assert cfg.endpoint.control == '10.4.0.35:7600'
    assert cfg.spare is not None


def test_a_source_bootstraps_no_group_after_its_first_start(content):
    cfg = _read_as_source(content, '10.1.0.45', first=False).process
    assert not cfg.may_found
    assert cfg.spare is not None


@pytest.mark.parametrize('value', [None, ''])
def test_a_machine_without_an_instance_names_none(content, value):
    """As `data_dir` does where there is no disk."""
    content['self'].update(app_addr=value, service=value)
    cfg = decode_deployment(content).ok_value.process
    assert (cfg.target, cfg.service) == ('', '')


@pytest.mark.parametrize('table', ['self', 'network'])
def test_a_file_without_a_table_is_refused(content, table):
    content.pop(table)
    assert isinstance(decode_deployment(content), Err)


def test_a_settings_file_of_the_project_can_hold_a_standby_source():
    text = """
role: source
name: s4
domain: d
admin: 127.0.0.1:7302
shared_key: sixteen-letters-x
data_folder: data
operators: []
may_found: false
spare: {name: s4, control: '127.0.0.1:7300', api: '127.0.0.1:7301'}
sources:
  - {name: s1, control: '127.0.0.1:7000', api: '127.0.0.1:7001'}
"""
    settings, faults = parse_settings(text, 's4.yaml')
    assert faults == ()
    assert settings.endpoint.control == '127.0.0.1:7300'


@pytest.mark.parametrize(
    ('bounds', 'revocation_ms'),
    [
        ({'revoke_strict': True, 'revoke_s': 2.5}, 2500),
        ({'revoke_strict': False, 'revoke_s': 5}, 0),
        ({'revoke_s': 5}, 0),
    ],
)
def test_withdrawn_keys_bind_nodes_out_of_touch_only_if_strict(
    content, bounds, revocation_ms
):
    content['terms'] = {'bounds': bounds}
    cfg = decode_deployment(content).ok_value.process
    assert cfg.revocation_ms == revocation_ms
