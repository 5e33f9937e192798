"""Run: checks the Promela models and their mutations with spin.

A mutation is a model with a fault put in by a macro, which spin must report
as a violation. `python -m spec.run` exits 0 only if each model has no violation
in its complete bounded state space and each mutation has one. `--long` checks
the models with larger bounds.
"""

import re
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Final

from msgspec import Struct

FOLDER: Final = Path(__file__).parent
MAX_DEPTH: Final = 1_000_000
TIMEOUT_SECONDS: Final = 600
WORKERS: Final = 2
STATES: Final = re.compile(r'^\s*([0-9.e+]+) states, stored', re.MULTILINE)
ERRORS: Final = re.compile(r'errors: (\d+)')


class Model(Struct, frozen=True, kw_only=True):
    """A model and the faults that its assertions must detect.

    Args:
        name: name of the file without its suffix.
        bounds: macros of the default run; empty for the bounds in the file.
        long_bounds: macros of the run with `--long`.
        mutations: macros of each mutation: the fault, and bounds where it
            needs other bounds than those in the file.
    """

    name: str
    bounds: tuple[str, ...] = ()
    long_bounds: tuple[str, ...] = ()
    mutations: tuple[tuple[str, ...], ...]


class Run(Struct, frozen=True, kw_only=True):
    """Result of one search by spin.

    Args:
        is_complete: whether the complete state space was searched.
        errors: number of violations found.
        states: number of states stored.
        seconds: duration, with the time to generate and compile the search.
    """

    is_complete: bool
    errors: int
    states: int
    seconds: float


MODELS: Final = (
    Model(
        name='agreement',
        bounds=('TERMS=2', 'LENGTH=2'),
        long_bounds=('TERMS=3', 'LENGTH=2', 'LOSSES=0'),
        mutations=(
            ('M_VOTES_TWICE', 'TERMS=2'),
            ('M_VOTE_FORGOTTEN', 'TERMS=2'),
            ('M_LOG_UNCHECKED', 'TERMS=2'),
            ('M_LOST_FOLDER_COUNTS', 'TERMS=2'),
            ('M_ADMISSION_COUNTS_AT_ONCE', 'TERMS=2'),
        ),
    ),
    Model(
        name='staging',
        long_bounds=('VERSIONS=5',),
        mutations=(
            ('M_TOLD_BEFORE_COMMIT',),
            ('M_ABANDON_UNCHECKED',),
            ('M_STAGED_IS_SERVED',),
        ),
    ),
    Model(
        name='floor',
        long_bounds=('RESTARTS=4',),
        mutations=(
            ('M_PEERS_RESTORE_KEEPER',),
            ('M_FLOOR_IS_SERVED',),
            ('M_NO_FENCE',),
            ('M_EPOCH_NOT_TOLD',),
            ('M_BLANK_KEEPER_COUNTS',),
            ('M_STALE_LEADER_ANSWERS',),
            ('M_ONE_KEEPER_TELLS_FLOOR',),
            ('M_ONE_KEEPER_ESTABLISHES',),
            ('M_FLOOR_IGNORED', 'VERSIONS=2', 'RESTARTS=0'),
        ),
    ),
)


def run_model(name: str, macros: tuple[str, ...]) -> Run:
    """Search the state space of a model, in a temporary folder.

    Args:
        name: name of the file without its suffix.
        macros: macros to define, each NAME or NAME=VALUE.

    Raises:
        RuntimeError: a command failed, or the output has no result.
        subprocess.TimeoutExpired: a command exceeded the time limit.
    """
    started = time.monotonic()
    defines = [f'-D{macro}' for macro in macros]
    with tempfile.TemporaryDirectory() as folder:
        model = Path(folder) / f'{name}.pml'
        model.write_text((FOLDER / model.name).read_text())
        _run_command(folder, ['spin', *defines, '-a', model.name])
        _run_command(
            folder, ['gcc', '-w', '-O1', '-DSAFETY', '-o', 'pan', 'pan.c']
        )
        output = _run_command(folder, ['./pan', f'-m{MAX_DEPTH}', '-w24', '-E'])
    return _parse_output(output, time.monotonic() - started)


def main(arguments: list[str]) -> int:
    """Check every model; return 0 if all checks passed, else 1."""
    failures = 0
    for model in MODELS:
        is_long = '--long' in arguments
        bounds = model.long_bounds if is_long else model.bounds
        failures += _check_model(model, bounds)
    result = 'all held' if failures == 0 else f'{failures} FAILED'
    sys.stdout.write(f'spec: {result}\n')
    return 1 if failures else 0


def _check_model(model: Model, bounds: tuple[str, ...]) -> int:
    search = partial(run_model, model.name)
    with ThreadPoolExecutor(max_workers=WORKERS) as pool:
        runs = list(pool.map(search, (bounds, *model.mutations)))
    unmutated = runs[0]
    passed = (
        unmutated.is_complete and unmutated.errors == 0 and unmutated.states > 0
    )
    _print_run(model.name, bounds, unmutated, passed)
    failures = 0 if passed else 1
    for mutation, run in zip(model.mutations, runs[1:], strict=True):
        _print_run(model.name, mutation, run, run.errors > 0)
        failures += 0 if run.errors else 1
    return failures


def _run_command(folder: str, command: list[str]) -> str:
    process = subprocess.run(
        command,
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )
    if process.returncode:
        raise RuntimeError(f'{command[0]}: {process.stdout}{process.stderr}')
    return process.stdout


def _parse_output(output: str, seconds: float) -> Run:
    states = STATES.search(output)
    errors = ERRORS.search(output)
    if states is None or errors is None:
        raise RuntimeError(f'no search result in the output of spin: {output}')
    is_cut = 'max search depth too small' in output or 'out of memory' in output
    return Run(
        is_complete='Search not completed' not in output and not is_cut,
        errors=int(errors.group(1)),
        states=int(float(states.group(1))),
        seconds=seconds,
    )


def _print_run(
    name: str, macros: tuple[str, ...], run: Run, passed: bool
) -> None:
    verdict = 'ok' if passed else 'FAILED'
    found = 'violation' if run.errors else 'no violation'
    label = f'{name} {" ".join(macros)}'.strip()
    figures = f'{run.states:>10} states {run.seconds:5.1f} s'
    sys.stdout.write(f'{verdict:<7}{label:<48}{figures}  {found}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
