"""Tests that only the adapter uses the platform's names, and of its size."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LINES_LIMIT = 1200
# Paths, headers and keys of the platform that the project itself does not use.
PLATFORM_NAMES = re.compile(
    '|'.join(
        (
            '/medlarhoist/(ready|config|rollouts|instances|evacuations)',
            'x-attempt-id|x-caller-service|x-expected-instance',
            'x-not-executed|x-instance-id|x-response-signature',
            'server-limit|server-leaving',
            'MEDLARHOIST_SETTINGS',
            'virtual_hosts|path_prefix|route_type|traffic_split',
            'target_latency_s|max_attempts|max_connections|health_path',
            'max_header_bytes|max_body_bytes|header_timeout_s|idle_timeout_s',
            'base_version|target_version["\']|cold_remaining_s|cold_per_s',
            'heartbeat_url|data_dir[^a-z]|port_range|machine_class',
            'counts_as_loss|control_plane|non_idempotent|sidecar',
            'medlarhoist[.]platform',
        ),
    ),
    re.IGNORECASE,
)


def _other_files():
    return [
        path
        for path in sorted(ROOT.rglob('*.py'))
        if 'platform' not in path.relative_to(ROOT).parts
    ]


@pytest.mark.parametrize('path', _other_files(), ids=lambda path: path.name)
def test_no_other_file_uses_a_name_of_the_platform(path):
    assert PLATFORM_NAMES.search(path.read_text()) is None


def test_the_adapter_stays_small():
    lines = [
        line
        for path in (ROOT / 'platform').glob('*.py')
        if not path.name.endswith('_test.py') and path.name != 'conftest.py'
        for line in path.read_text().splitlines()
    ]
    assert len(lines) < LINES_LIMIT
