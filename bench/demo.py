"""Demo: the complete path on loopback, from the operator's YAML to verdicts.

Starts three sources, and in three failure domains nodes with targets of three
versions of a service. Applies the sample, sends calls, runs a move to a
healthy version and one to a faulty version, prints a report and stops every
process. The exit code is zero only if every check passed.
"""

import json
import shutil
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from msgspec import Struct

from bench.fleet import Fleet, create_fleet, wait_until
from bench.load import Load, LoadPlan, start_load
from medlarhoist.standin.load import Summary

EXAMPLES: Final = Path(__file__).parent.parent / 'examples'
DOMAINS: Final = ('a', 'b', 'c')
START_SECONDS: Final = 30
RATE: Final = 240
LOAD_SECONDS: Final = 60
MOVE_SECONDS: Final = 60
SHORT_LOAD_SECONDS: Final = 2
EXIT_MOVE_DONE: Final = 0
EXIT_MOVE_ROLLED_BACK: Final = 8


class Check(Struct, frozen=True, kw_only=True):
    """Result of one check of the demonstration."""

    name: str
    held: bool
    detail: str


class Report:
    """Prints and collects the results of the checks."""

    __slots__ = ('_started', 'checks')

    def __init__(self) -> None:
        """Start without results; times count from here."""
        self.checks: list[Check] = []
        self._started = time.monotonic()

    def add(self, name: str, *, held: bool, detail: str) -> None:
        """Record and print one result."""
        self.checks.append(Check(name=name, held=held, detail=detail))
        passed = 'ok  ' if held else 'FAIL'
        seconds = time.monotonic() - self._started
        sys.stdout.write(f'{passed} {seconds:5.1f} s  {name}: {detail}\n')
        sys.stdout.flush()

    @property
    def held(self) -> bool:
        """Return whether every check so far passed."""
        return all(check.held for check in self.checks)


def start_processes(fleet: Fleet) -> None:
    """Start sources, nodes and targets; v3 fails on one of its two routes."""
    fleet.plan_sources(DOMAINS)
    for domain in DOMAINS:
        for index in (1, 2, 3):
            fleet.plan_node(f'{domain}{index}', domain)
    for source in fleet.sources:
        fleet.start_source(source)
    for node in fleet.nodes:
        fleet.start_node(node)
    for domain in DOMAINS:
        fleet.start_target(f'{domain}1', 'bookings', 'v1')
        fleet.start_target(f'{domain}2', 'bookings', 'v2', '--cold-s', '1')
        fleet.start_target(
            f'{domain}3',
            'bookings',
            'v3',
            '--fault',
            'fail',
            '--fault-prefix',
            '/deposits',
        )


def start_calls(fleet: Fleet, seconds: float, name: str) -> Load:
    """Start a load over all nodes and both routes.

    Args:
        fleet: the running fleet.
        seconds: duration of the load.
        name: prefix of the request ids.
    """
    plan = LoadPlan(
        nodes=tuple(fleet.nodes),
        rate=RATE,
        seconds=seconds,
        prefix=name,
    )
    return start_load(fleet, plan)


def version_in_force(fleet: Fleet, node: str) -> int:
    """Return the version in force at a node, zero if none or no dump."""
    dump = fleet.run_operator_tool('dump', fleet.nodes[node].admin)
    if dump.returncode:
        return 0
    return json.loads(dump.stdout).get('version') or 0


def check_sample(fleet: Fleet, report: Report) -> None:
    """Replace the configuration with the sample; check that it reads back."""
    sample = str(EXAMPLES / 'bookings.yaml')
    outputs: list[str] = []

    def is_accepted() -> bool:  # noqa: WPS430
        completed = fleet.run_operator_tool(
            'replace', '-f', sample, '--revision', '1'
        )
        outputs.append(f'{completed.stdout}{completed.stderr}'.strip())
        return completed.returncode == 0

    held = wait_until(is_accepted, START_SECONDS)
    report.add('sample accepted', held=held, detail=outputs[-1])
    read = fleet.run_operator_tool('configuration').stdout
    is_same = read.endswith((EXAMPLES / 'bookings.yaml').read_text())
    report.add('sample read back', held=is_same, detail=read[:13].strip())


def check_in_force(fleet: Fleet, report: Report) -> None:
    """Check that the sample is in force at every node."""
    versions: dict[str, int] = {}

    def is_everywhere() -> bool:  # noqa: WPS430
        for node in fleet.nodes:
            versions[node] = version_in_force(fleet, node)
        return min(versions.values()) > 0

    held = wait_until(is_everywhere, START_SECONDS)
    detail = f'{len(versions)} nodes at versions {set(versions.values())}'
    report.add('in force everywhere', held=held, detail=detail)


def check_calls(fleet: Fleet, report: Report) -> None:
    """Check that calls get complete responses from v1, the current version."""
    summaries: list[Summary] = []

    def is_served() -> bool:  # noqa: WPS430
        summaries.append(
            start_calls(fleet, SHORT_LOAD_SECONDS, 'first').finish()
        )
        newest = summaries[-1]
        return newest.sent > 0 and newest.whole == newest.sent

    held = wait_until(is_served, START_SECONDS)
    last = summaries[-1]
    only_old = set(last.labels) == {'v1'}
    detail = f'{last.whole} of {last.sent} whole'
    report.add('calls answered by v1', held=held and only_old, detail=detail)


def run_move(
    fleet: Fleet,
    report: Report,
    file: str,
    move: str,
    expected_exit: int,
) -> None:
    """Run a move under load and check how it ended.

    Args:
        fleet: the running fleet.
        report: gets the results.
        file: sample that declares the move.
        move: name of the move.
        expected_exit: exit code expected of the operator tool, which
            differs for completed and rolled-back moves.
    """
    load = start_calls(fleet, LOAD_SECONDS, move)
    applied = fleet.run_operator_tool('apply', '-f', str(EXAMPLES / file))
    report.add(
        f'{move} accepted',
        held=applied.returncode == 0,
        detail=applied.stdout.strip() or applied.stderr.strip(),
    )
    watched = fleet.run_operator_tool('move', move, '--wait')
    steps = [
        line.strip()
        for line in watched.stdout.splitlines()
        if f' move/{move} ' in line
    ]
    report.add(
        f'{move} ended as expected',
        held=watched.returncode == expected_exit,
        detail=steps[-1] if steps else watched.stderr.strip(),
    )
    sys.stdout.writelines(f'             {step}\n' for step in steps)
    load.cancel()
    check_calls_after_move(fleet, report, move)


def check_calls_after_move(fleet: Fleet, report: Report, move: str) -> None:
    """Check that v2 responds to every call, after both moves.

    The first move completes at v2; the second, to the faulty v3, rolls back
    to v2.
    """
    summary = start_calls(fleet, SHORT_LOAD_SECONDS, 'after').finish()
    held = set(summary.labels) == {'v2'} and summary.whole == summary.sent
    detail = f'{summary.whole} of {summary.sent} whole'
    report.add(f'calls after {move} answered by v2', held=held, detail=detail)


def run_steps(fleet: Fleet, report: Report) -> None:
    """Run the steps in order; a failed one before the moves ends the run."""
    steps: tuple[Callable[[Fleet, Report], None], ...] = (
        check_sample,
        check_in_force,
        check_calls,
    )
    for step in steps:
        step(fleet, report)
        if not report.held:
            return
    run_move(fleet, report, 'move-good.yaml', 'bookings-v2', EXIT_MOVE_DONE)
    run_move(
        fleet, report, 'move-bad.yaml', 'bookings-v3', EXIT_MOVE_ROLLED_BACK
    )


def main() -> int:
    """Run the demonstration and return its exit code."""
    fleet = create_fleet()
    report = Report()
    try:
        start_processes(fleet)
        run_steps(fleet, report)
    finally:
        process_names = tuple(fleet.processes)
        fleet.close()
    if not report.held:
        sys.stdout.write(
            f'logs of {len(process_names)} processes: {fleet.folder}\n'
        )
        return 1
    shutil.rmtree(fleet.folder)
    sys.stdout.write('everything held\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
