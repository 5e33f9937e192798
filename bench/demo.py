"""Demo: the whole path on loopback, from the operator's YAML to verdicts.

Starts three sources, and in three failure domains nodes with targets of three
versions of a service. Applies the sample, sends calls, runs a move to a good
version and one to a bad version, prints a report and ends every process. The
exit code is zero only if all of it held.
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
    """One thing that the demonstration has to show."""

    name: str
    held: bool
    detail: str


class Report:
    """What the demonstration has shown so far."""

    __slots__ = ('_started', 'checks')

    def __init__(self) -> None:
        """Start with nothing shown."""
        self.checks: list[Check] = []
        self._started = time.monotonic()

    def add(self, name: str, *, held: bool, detail: str) -> None:
        """Take in and print one result."""
        self.checks.append(Check(name=name, held=held, detail=detail))
        passed = 'ok  ' if held else 'FAIL'
        seconds = time.monotonic() - self._started
        sys.stdout.write(f'{passed} {seconds:5.1f} s  {name}: {detail}\n')
        sys.stdout.flush()

    @property
    def held(self) -> bool:
        """Say whether everything held."""
        return all(check.held for check in self.checks)


def start_everything(fleet: Fleet) -> None:
    """Start sources, nodes and targets; v3 fails on one of its routes."""
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


def send(fleet: Fleet, seconds: float, name: str) -> Load:
    """Start a load over all nodes and both routes."""
    plan = LoadPlan(
        nodes=tuple(fleet.nodes),
        rate=RATE,
        seconds=seconds,
        prefix=name,
    )
    return start_load(fleet, plan)


def version_in_force(fleet: Fleet, node: str) -> int:
    """Return the configuration version of a node, zero for none."""
    dumped = fleet.run_operator_tool('dump', fleet.nodes[node].admin)
    if dumped.returncode:
        return 0
    return json.loads(dumped.stdout).get('version') or 0


def show_start(fleet: Fleet, report: Report) -> None:
    """Put the sample as a whole configuration, and read it back."""
    sample = str(EXAMPLES / 'bookings.yaml')
    outputs: list[str] = []

    def is_accepted() -> bool:  # noqa: WPS430
        done = fleet.run_operator_tool(
            'replace', '-f', sample, '--revision', '1'
        )
        outputs.append(f'{done.stdout}{done.stderr}'.strip())
        return done.returncode == 0

    held = wait_until(is_accepted, START_SECONDS)
    report.add('sample accepted', held=held, detail=outputs[-1])
    read = fleet.run_operator_tool('configuration').stdout
    is_same = read.endswith((EXAMPLES / 'bookings.yaml').read_text())
    report.add('sample read back', held=is_same, detail=read[:13].strip())


def show_in_force(fleet: Fleet, report: Report) -> None:
    """Show that every node has the sample in force."""
    versions: dict[str, int] = {}

    def is_everywhere() -> bool:  # noqa: WPS430
        for node in fleet.nodes:
            versions[node] = version_in_force(fleet, node)
        return min(versions.values()) > 0

    held = wait_until(is_everywhere, START_SECONDS)
    detail = f'{len(versions)} nodes at versions {set(versions.values())}'
    report.add('in force everywhere', held=held, detail=detail)


def show_calls(fleet: Fleet, report: Report) -> None:
    """Show whole answers from the current version."""
    summaries: list[Summary] = []

    def is_served() -> bool:  # noqa: WPS430
        summaries.append(send(fleet, SHORT_LOAD_SECONDS, 'first').finish())
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
    """Run one move under load and show how it ended."""
    load = send(fleet, LOAD_SECONDS, move)
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
    show_calls_after(fleet, report, move)


def show_calls_after(fleet: Fleet, report: Report, move: str) -> None:
    """Show that v2 answers every call, whatever move has ended."""
    summary = send(fleet, SHORT_LOAD_SECONDS, 'after').finish()
    held = set(summary.labels) == {'v2'} and summary.whole == summary.sent
    detail = f'{summary.whole} of {summary.sent} whole'
    report.add(f'calls after {move} answered by v2', held=held, detail=detail)


def run_steps(fleet: Fleet, report: Report) -> None:
    """Run the demonstration; a step that fails ends it."""
    steps: tuple[Callable[[Fleet, Report], None], ...] = (
        show_start,
        show_in_force,
        show_calls,
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
        start_everything(fleet)
        run_steps(fleet, report)
    finally:
        left = tuple(fleet.processes)
        fleet.close()
    if not report.held:
        sys.stdout.write(f'logs of {len(left)} processes: {fleet.folder}\n')
        return 1
    shutil.rmtree(fleet.folder)
    sys.stdout.write('everything held\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
