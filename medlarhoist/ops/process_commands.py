"""Subcommands on one process, which is named by its admin address."""

from collections.abc import Callable

from medlarhoist.ops.client import fetch
from medlarhoist.ops.exit_code import ExitCode
from medlarhoist.ops.output import print_body, report_error


def dump(address: str) -> ExitCode:
    """Print the internal state of one process.

    Args:
        address: host:port of the admin listener of the process.
    """
    reply = fetch(address, '/dump')
    if reply.status != 200:
        return report_error(reply)
    return print_body(reply)


def release(address: str, fingerprint: str) -> ExitCode:
    """Let a request run again that was refused as it crashed its targets.

    All nodes learn of it. It is refused again if it crashes more targets.

    Args:
        address: host:port of the admin listener of any node.
        fingerprint: fingerprint of the request in dumps and log lines; `all`
            for all requests.
    """
    reply = fetch(address, f'/quarantine/{fingerprint}', 'DELETE')
    if reply.status != 200:
        return report_error(reply)
    return ExitCode.DONE


def list_process_commands() -> list[Callable[..., ExitCode]]:
    """Return the subcommands in the order in which the help lists them."""
    return [dump, release]
