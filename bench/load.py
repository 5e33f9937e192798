"""Load: runs the load generator as a process and reads its summary."""

import subprocess
import sys
from collections.abc import Iterable
from typing import Final

import msgspec
from msgspec import Struct

from bench.fleet import Fleet
from medlarhoist.standin.load import Summary

FINISH_SECONDS: Final = 120
Option = tuple[str, Iterable[str]]

PATHS: Final = ('/seats', '/deposits')


class LoadPlan(Struct, frozen=True, kw_only=True):
    """Schedule and contents of a load.

    Args:
        nodes: names of the nodes whose entry addresses get the requests.
        rate: requests a second, over all nodes.
        seconds: duration of the load.
        paths: request paths, used in turn.
        method: HTTP method.
        work_ms: time that a target works on each request, milliseconds.
        prefix: prefix of the request ids.
    """

    nodes: tuple[str, ...]
    rate: float
    seconds: float
    paths: tuple[str, ...] = PATHS
    method: str = 'GET'
    work_ms: float = 2
    prefix: str = 'load'


class Load:
    """A running load generator."""

    __slots__ = ('_process',)

    def __init__(self, command: list[str]) -> None:
        """Start the load generator with a command line."""
        self._process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    def finish(self) -> Summary:
        """Wait for the end and return how the requests ended.

        Raises:
            subprocess.TimeoutExpired: it still runs after FINISH_SECONDS.
        """
        output, _ = self._process.communicate(timeout=FINISH_SECONDS)
        return msgspec.json.decode(output.splitlines()[-1], type=Summary)

    def cancel(self) -> None:
        """Terminate the load early, without a summary."""
        self._process.terminate()
        self._process.communicate()


def start_load(fleet: Fleet, plan: LoadPlan) -> Load:
    """Start a load against the entry addresses of nodes of a fleet."""
    options: tuple[Option, ...] = (
        ('--address', [fleet.nodes[node].entry for node in plan.nodes]),
        ('--path', plan.paths),
        ('--rate', [str(plan.rate)]),
        ('--seconds', [str(plan.seconds)]),
        ('--method', [plan.method]),
        ('--header', [f'x-work-ms: {plan.work_ms}']),
        ('--prefix', [plan.prefix]),
    )
    command = [sys.executable, '-m', 'medlarhoist.standin.load', '--outcomes']
    for name, arguments in options:
        command.extend((name, *arguments))
    return Load(command)
