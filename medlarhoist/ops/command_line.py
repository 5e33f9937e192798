"""Command line of the operator's tool, `medlarhoist`.

argparse reads the options that all subcommands share, defopt the rest.
"""

import argparse
import os
import sys
from pathlib import Path
from typing import Final

import defopt

from medlarhoist.ops.client import Client, create_client
from medlarhoist.ops.commands import Commands, list_commands
from medlarhoist.ops.exit_code import ExitCode

SERVERS_VARIABLE: Final = 'MEDLARHOIST_SERVERS'
TOKEN_VARIABLE: Final = 'MEDLARHOIST_TOKEN'  # noqa: S105
TIMEOUT_SECONDS: Final = 60.0

_EPILOG: Final = """
options of every subcommand:
  --server HOST:PORT  resource API of a source; may be repeated
                      (MEDLARHOIST_SERVERS: several, with commas)
  --token-file FILE   file with the bearer token (or MEDLARHOIST_TOKEN)
  --output FORMAT     human (default) or json
  --timeout SECONDS   total time for all attempts, 60 by default

exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 no source available and
nothing was done, 5 outcome unknown (resend with --request-id), 6 not found,
7 no valid token, 8 the move was rolled back
"""


def main(argv: list[str] | None = None) -> int:
    """Run the tool.

    Args:
        argv: arguments without the program name; sys.argv if None.

    Returns:
        The exit code, see medlarhoist.ops.exit_code.
    """
    arguments = sys.argv[1:] if argv is None else argv
    shared, rest = _create_parser().parse_known_args(arguments)
    try:
        client = _create_client(shared)
    except OSError as exc:
        sys.stderr.write(f'--token-file: {exc}\n')
        return ExitCode.USAGE
    commands = Commands(client, in_json=shared.output == 'json')
    try:
        return int(
            defopt.run(
                list_commands(commands),
                short={'file': 'f'},
                argv=rest,
                argparse_kwargs={
                    'prog': 'medlarhoist',
                    'epilog': _EPILOG,
                },
            ),
        )
    except KeyboardInterrupt:
        return ExitCode.DONE
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.DONE


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    parser.add_argument('--server', action='append', default=[])
    parser.add_argument('--token-file', default='')
    parser.add_argument(
        '--output',
        choices=('human', 'json'),
        default='human',
    )
    parser.add_argument('--timeout', type=float, default=TIMEOUT_SECONDS)
    return parser


def _create_client(shared: argparse.Namespace) -> Client | None:
    servers = shared.server or os.environ.get(SERVERS_VARIABLE, '').split(',')
    servers_given = tuple(
        server.strip() for server in servers if server.strip()
    )
    if not servers_given:
        return None
    token = os.environ.get(TOKEN_VARIABLE, '')
    if shared.token_file:
        token = Path(shared.token_file).read_text()
    return create_client(servers_given, token.strip(), shared.timeout)


if __name__ == '__main__':
    sys.exit(main())
