"""Run a source or a node; the settings file says which of them."""

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
    """Read and validate a settings file.

    Returns:
        The settings, or None if the file is unreadable or invalid; every
        fault has then been written to standard error.
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
    """Run a source or a node until SIGTERM or SIGINT.

    Args:
        path: YAML settings file, which also selects the role.
        only_check: validate the file and return without starting.

    Returns:
        The exit code: EXIT_INVALID_SETTINGS if the settings are unusable.
    """
    cfg = load_settings(path)
    if cfg is None:
        return EXIT_INVALID_SETTINGS
    if only_check:
        sys.stdout.write(f'{path}: settings are valid\n')
        return EXIT_OK
    return asyncio.run(_serve(cfg, path))


async def _serve(cfg: Settings, path: Path) -> int:
    # Importing only the modules of the role saves memory on a node.
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
    """Read the settings file again.

    Returns:
        The settings, or None if they are invalid or of the other role, which
        a running process cannot change.
    """
    settings = load_settings(path)
    return settings if isinstance(settings, kind) else None


def _create_parser() -> ArgumentParser:
    # argparse, because defopt occupies 5 MB for the life of the process and
    # a node is limited to 32 MB.
    parser = ArgumentParser(prog='medlarhoistd', description=__doc__)
    parser.add_argument('--settings', type=Path, required=True)
    parser.add_argument('--check-settings', action='store_true')
    return parser


def main() -> None:
    """Run the medlarhoistd command."""
    options = _create_parser().parse_args()
    sys.exit(run(options.settings, only_check=options.check_settings))


if __name__ == '__main__':
    main()
