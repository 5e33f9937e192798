"""Start of a source process with a damaged data folder."""

from bench.fleet import wait_until
from bench.operator import base_resources, create_operator, put

WAIT_SECONDS = 30
EXIT_STORAGE_DAMAGED = 4


def _invert_middle_byte(path):
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 0xFF
    path.write_bytes(bytes(content))


def test_a_source_with_a_damaged_log_exits_and_the_group_goes_on(sources):
    client = create_operator(sources)
    for number in range(5):
        outcome = put(client, f'change-{number}', *base_resources('v1'))
        assert outcome is not None
    assert sources.stop('s2') == 0
    folder = sources.folder / 's2-data'
    log = max(folder.rglob('*log*'), key=lambda path: path.stat().st_size)
    _invert_middle_byte(log)
    sources.start_source('s2')
    process = sources.processes['s2']
    assert wait_until(lambda: process.poll() is not None, WAIT_SECONDS)
    assert process.returncode == EXIT_STORAGE_DAMAGED
    assert 'cannot start' in sources.log_text('s2')
    assert put(client, 'after-damage', *base_resources('v1')) is not None
