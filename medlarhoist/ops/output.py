"""Output: prints the results of commands, as text or as JSON."""

import sys
from pathlib import Path
from typing import Any

from msgspec import json

from medlarhoist.core.event import Event
from medlarhoist.core.resource import Fault
from medlarhoist.ops.client import Reply
from medlarhoist.ops.exit_code import ExitCode, exit_code_of_reply
from medlarhoist.ops.text import describe_event, describe_fault


def report_faults(faults: tuple[Fault, ...], *, in_json: bool) -> ExitCode:
    """Print faults; return DONE without any."""
    if in_json:
        print_json({'faults': faults})
    else:
        for fault in faults:
            sys.stderr.write(f'{describe_fault(fault)}\n')
    return ExitCode.REFUSED if faults else ExitCode.DONE


def report_check(
    file: Path,
    faults: tuple[Fault, ...],
    *,
    in_json: bool,
) -> ExitCode:
    """Print what a check of a file has found."""
    if not faults and not in_json:
        sys.stdout.write(f'{file}: can be applied\n')
    return report_faults(faults, in_json=in_json)


def print_event(event: Event, *, in_json: bool) -> None:
    """Print one event as it happens."""
    if in_json:
        print_json(event)
    else:
        sys.stdout.write(f'{describe_event(event)}\n')
        sys.stdout.flush()


def report_error(reply: Reply) -> ExitCode:
    """Print why a request failed."""
    error = reply.error
    verdict = reply.verdict.value
    sys.stderr.write(f'{error.message} ({verdict})\n')
    return exit_code_of_reply(reply)


def print_json(record: Any) -> ExitCode:
    """Print a record as one line of JSON."""
    sys.stdout.write(f'{json.encode(record).decode()}\n')
    sys.stdout.flush()
    return ExitCode.DONE


def print_body(reply: Reply) -> ExitCode:
    """Print the JSON body of a reply, indented."""
    text = json.format(reply.body, indent=2).decode()
    sys.stdout.write(f'{text}\n')
    return ExitCode.DONE
