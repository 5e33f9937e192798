"""Tests of the layout: import rules and length of files."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MAX_LINES = 400
FORBIDDEN = frozenset(
    ('asyncio', 'circuits', 'socket', 'grpclib', 'threading', 'time'),
)
# These modules of the consensus package do its input and output on disk.
CONSENSUS_EDGES = frozenset(
    ('log_file.py', 'storage.py', 'snapshot_file.py'),
)


def _python_files(*folders: str) -> list[Path]:
    files = []
    for folder in folders:
        files.extend(sorted((ROOT / folder).rglob('*.py')))
    return files


def _imported(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.split('.')[0] for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split('.')[0])
    return names


def _modules_without_io() -> list[Path]:
    return [
        path
        for path in _python_files('medlarhoist/core', 'medlarhoist/consensus')
        if not path.name.endswith('_test.py')
        and path.name not in CONSENSUS_EDGES
    ]


@pytest.mark.parametrize(
    'path', _modules_without_io(), ids=lambda path: path.name
)
def test_modules_without_io_import_no_io_or_clock(path):
    assert not _imported(path) & FORBIDDEN


def test_roles_do_not_import_each_other():
    for role, other in (('source', 'node'), ('node', 'source')):
        for path in _python_files(f'medlarhoist/{role}'):
            if not path.name.endswith('_test.py'):
                assert f'medlarhoist.{other}.' not in path.read_text(), path


def test_no_file_exceeds_the_line_limit():
    files = _python_files('medlarhoist', 'bench', 'spec')
    long_files = [
        path.name
        for path in files
        if len(path.read_text().splitlines()) > MAX_LINES
    ]
    assert not long_files
