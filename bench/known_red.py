"""Runs a test command and judges its failures by KNOWN-RED.txt.

Each entry of KNOWN-RED.txt starts with a line `test: NODE_ID`. The run passes
when the failed tests are just the listed ones. A listed test that passes, or
that was not run, fails the run.
"""

import re
import subprocess
import sys
from pathlib import Path
from typing import Final

KNOWN_RED_FILE: Final = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_ENTRY = re.compile(r'^test:\s*(\S+)', re.MULTILINE)
_FAILED = re.compile(r'^(?:FAILED|ERROR) (\S+)', re.MULTILINE)
_SUMMARY = re.compile(r'(\d+) (passed|failed|error|errors)\b')
_CLEAN_EXITS = frozenset((0, 1))


def known_tests(text: str) -> frozenset[str]:
    """Return the node ids that KNOWN-RED.txt lists."""
    return frozenset(_ENTRY.findall(text))


def failed_tests(output: str) -> frozenset[str]:
    """Return the node ids that pytest reports as failed or in error."""
    return frozenset(_FAILED.findall(output))


def count_results(output: str) -> tuple[int, int]:
    """Return how many tests passed and failed."""
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
) -> bool:
    """Say whether the run shows the known failures and no other."""
    return exit_code in _CLEAN_EXITS and failed == known


def main() -> int:
    """Run the command of the arguments and return the exit code."""
    done = subprocess.run(
        [*sys.argv[1:], '-rfE'],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    sys.stdout.write(done.stdout)
    text = KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else ''
    known = known_tests(text)
    failed = failed_tests(done.stdout)
    if known:
        sys.stdout.write(f'Known to fail, see KNOWN-RED.txt:\n{text}\n')
    for name in sorted(known - failed):
        sys.stdout.write(f'Listed as known to fail, but did not: {name}\n')
    passed_count, failed_count = count_results(done.stdout)
    sys.stdout.write(f'{passed_count} passed, {failed_count} failed\n')
    return 0 if is_accepted(done.returncode, failed, known) else 1


if __name__ == '__main__':
    sys.exit(main())
