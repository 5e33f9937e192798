"""Exit codes of the command-line tool; docs/API.md lists them."""

from enum import IntEnum

from medlarhoist.core.command import MovePhase, Status
from medlarhoist.core.verdict import Verdict
from medlarhoist.ops.client import Reply


class ExitCode(IntEnum):
    """Result of a subcommand for scripts."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN = 5
    NOT_FOUND = 6
    UNAUTHORIZED = 7
    ROLLED_BACK = 8


_BY_STATUS = {
    Status.ACCEPTED: ExitCode.DONE,
    Status.PENDING: ExitCode.UNKNOWN,
    Status.CONFLICT: ExitCode.CONFLICT,
    Status.REFUSED: ExitCode.REFUSED,
    Status.ABANDONED: ExitCode.REFUSED,
    Status.BUSY: ExitCode.UNREACHABLE,
}
_BY_HTTP = {
    401: ExitCode.UNAUTHORIZED,
    404: ExitCode.NOT_FOUND,
    410: ExitCode.NOT_FOUND,
}


def exit_code_of_outcome(status: Status) -> ExitCode:
    """Return the exit code for the outcome of a request."""
    return _BY_STATUS[status]


def exit_code_of_move(phase: MovePhase) -> ExitCode:
    """Return the exit code for the state of a move."""
    if phase is MovePhase.ROLLED_BACK:
        return ExitCode.ROLLED_BACK
    return ExitCode.DONE


def exit_code_of_reply(reply: Reply) -> ExitCode:
    """Return the exit code for a refusal or for a missing reply."""
    by_status = _BY_HTTP.get(reply.status)
    if by_status is not None:
        return by_status
    if reply.verdict is Verdict.MAY_HAVE_RUN:
        return ExitCode.UNKNOWN
    if reply.status in {400, 405, 411, 413, 431}:
        return ExitCode.REFUSED
    return ExitCode.UNREACHABLE
