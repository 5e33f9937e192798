"""Fixtures: a configuration and a heartbeat in the platform's format."""

import copy

import pytest

_CONFIGURATION = {
    'version': 7,
    'base_version': 5,
    'services': [
        {
            'name': 'huvo11a',
            'health_path': '/health',
            'max_connections': 110,
            'cold_per_s': 4.65,
        },
        {'name': 'kafi81c', 'health_path': '/health', 'max_connections': 90},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    },
    'virtual_hosts': [
        {
            'host': 'jepu9.example',
            'paths': [
                {
                    'name': 'r-1',
                    'path_prefix': '/lepu270/',
                    'route_type': 'idempotent',
                    'timeout_s': 1.2,
                    'target_latency_s': 0.5,
                    'priority': 2,
                    'traffic_split': [
                        {'service': 'huvo11a', 'weight': 90},
                        {'service': 'kafi81c', 'weight': 10},
                    ],
                    'max_attempts': 2,
                },
                {
                    'name': 'r-2',
                    'path_prefix': '/xapu221/ny95/',
                    'route_type': 'non_idempotent',
                    'timeout_s': 1.5,
                    'target_latency_s': 0.6,
                    'priority': 1,
                    'service': 'huvo11a',
                    'max_attempts': 1,
                },
            ],
        },
    ],
}
_HEARTBEAT = {
    'service': 'huvo11a',
    'address': '10.1.0.41:8628',
    'zone': 'uy-south-a',
    'version': 'v1',
    'slots': 18,
    'state': 'ready',
    'cold_remaining_s': 0,
    'sequence': 4,
    'born': 1_700_000_000_000,
}


@pytest.fixture(name='document')
def _document():
    """Return a complete configuration, which a test may change."""
    return copy.deepcopy(_CONFIGURATION)


@pytest.fixture(name='heartbeat')
def _heartbeat():
    """Return the heartbeat of a ready instance."""
    return dict(_HEARTBEAT)
