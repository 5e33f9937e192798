"""Daemon: the one program of the system; its settings give it its role."""

import asyncio
import sys
from argparse import ArgumentParser
from functools import partial
from pathlib import Path
from typing import Final, TypeVar

from medlarhoist.core.settings import (
    NodeSettings,
    Settings,
    SourceSettings,
)
from medlarhoist.parser.settings import parse_settings

EXIT_OK: Final = 0
EXIT_INVALID_SETTINGS: Final = 2

Role = TypeVar('Role', NodeSettings, SourceSettings)


def load_settings(path: Path) -> Settings | None:
    """Read and check a settings file.

    Returns:
        The settings, or None after every fault was written to standard error.
    """
    try:
        text = path.read_text()
    except OSError as exc:
        sys.stderr.write(f'{path}: cannot be read: {exc.strerror}\n')
        return None
    settings, faults = parse_settings(text, str(path))
    for fault in faults:
        sys.stderr.write(f'{fault.source}: {fault.message}\n')
    return settings


def run(path: Path, *, only_check: bool) -> int:
    """Run one process of the system.

    Args:
        path: YAML file that says what this process is.
        only_check: only check the file.

    Returns:
        The exit code.
    """
    cfg = load_settings(path)
    if cfg is None:
        return EXIT_INVALID_SETTINGS
    if only_check:
        sys.stdout.write(f'{path}: settings are valid\n')
        return EXIT_OK
    return asyncio.run(_serve(cfg, path))


async def _serve(cfg: Settings, path: Path) -> int:
    # Each role imports only what it uses, which keeps a node small.
    if isinstance(cfg, NodeSettings):
        from medlarhoist.node.serve import serve_node  # noqa: PLC0415

        return await serve_node(
            cfg, reread=partial(_reread, path, NodeSettings)
        )
    from medlarhoist.source.serve import serve_source  # noqa: PLC0415

    return await serve_source(
        cfg, reread=partial(_reread, path, SourceSettings)
    )


def _reread(path: Path, kind: type[Role]) -> Role | None:
    """Return changed settings of the same role."""
    settings = load_settings(path)
    return settings if isinstance(settings, kind) else None


def _create_parser() -> ArgumentParser:
    # defopt holds 5 MB for as long as the process lives; a node has 32 MB.
    parser = ArgumentParser(prog='medlarhoistd', description=__doc__)
    parser.add_argument('--settings', type=Path, required=True)
    parser.add_argument('--check-settings', action='store_true')
    return parser


def main() -> None:
    """Entry point of medlarhoistd."""
    told = _create_parser().parse_args()
    sys.exit(run(told.settings, only_check=told.check_settings))


if __name__ == '__main__':
    main()
