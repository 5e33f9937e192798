"""Runs test commands and compares their failures with KNOWN-RED.txt.

The commands, separated by `--then`, run one after the other.

Each entry of KNOWN-RED.txt starts with a line `test: NODE_ID`. The run passes
if the failed tests are exactly the listed ones. It fails if a listed test
passes or is not run. A test that fails in some runs alone is listed by a line
`unsteady: NODE_ID` with what was measured; it may pass or fail.
"""

import re
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Final

KNOWN_RED_FILE: Final = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_ENTRY = re.compile(r'^test:\s*(\S+)', re.MULTILINE)
_UNSTEADY = re.compile(r'^unsteady:\s*(\S+)', re.MULTILINE)
_FAILED = re.compile(r'^(?:FAILED|ERROR) (\S+)', re.MULTILINE)
_SUMMARY = re.compile(r'(\d+) (passed|failed|error|errors)\b')
_COMPLETED_EXITS = frozenset((0, 1))
_SEPARATOR: Final = '--then'


def parse_known_tests(text: str) -> frozenset[str]:
    """Return the node ids that KNOWN-RED.txt lists."""
    return frozenset(_ENTRY.findall(text))


def parse_unsteady_tests(text: str) -> frozenset[str]:
    """Return the node ids that KNOWN-RED.txt lists as failing in some runs."""
    return frozenset(_UNSTEADY.findall(text))


def parse_failed_tests(output: str) -> frozenset[str]:
    """Return the node ids that pytest reports as failed or in error."""
    return frozenset(_FAILED.findall(output))


def count_results(output: str) -> tuple[int, int]:
    """Return the numbers of passed and failed tests in the output of pytest.

    Errors count as failed. Both are zero if the last line is no summary.
    """
    passed = 0
    failed = 0
    for line in output.splitlines()[-1:]:
        for number, word in _SUMMARY.findall(line):
            if word == 'passed':
                passed += int(number)
            else:
                failed += int(number)
    return passed, failed


def is_accepted(
    exit_code: int,
    failed: frozenset[str],
    known: frozenset[str],
    unsteady: Iterable[str] = (),
) -> bool:
    """Return whether the failures are exactly the known ones.

    Those of unsteady tests do not count. False too unless pytest exits with 0 (all passed) or 1 (some failed), such
    as after an interrupt or if it collected no tests.
    """
    return (
        exit_code in _COMPLETED_EXITS and failed.difference(unsteady) == known
    )


def split_commands(arguments: list[str]) -> list[list[str]]:
    """Return the commands that the separator stands between."""
    commands: list[list[str]] = [[]]
    for argument in arguments:
        if argument == _SEPARATOR:
            commands.append([])
        else:
            commands[-1].append(argument)
    return commands


def main() -> int:
    """Run the commands given as arguments and return the exit code.

    It is zero if the failures are exactly the known ones, else 1.
    """
    runs = [_run(command) for command in split_commands(sys.argv[1:])]
    text = KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else ''
    known = parse_known_tests(text)
    unsteady = parse_unsteady_tests(text)
    failed = frozenset(
        name for run in runs for name in parse_failed_tests(run.stdout)
    )
    if known or unsteady:
        sys.stdout.write(f'Known to fail, see KNOWN-RED.txt:\n{text}\n')
    for name in sorted(known - failed):
        sys.stdout.write(f'Listed as known to fail, but did not: {name}\n')
    counts = [count_results(run.stdout) for run in runs]
    passed_count, failed_count = map(sum, zip(*counts, strict=True))
    sys.stdout.write(f'{passed_count} passed, {failed_count} failed\n')
    codes = [run.returncode for run in runs]
    broken = [code for code in codes if code not in _COMPLETED_EXITS]
    code = max(broken or codes)
    return 0 if is_accepted(code, failed, known, unsteady) else 1


def _run(command: list[str]) -> subprocess.CompletedProcess[str]:
    """Run one command and copy its output when it ends."""
    completed = subprocess.run(
        [*command, '-rfE'],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    sys.stdout.write(completed.stdout)
    return completed


if __name__ == '__main__':
    sys.exit(main())
