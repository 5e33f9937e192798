"""Tests of calls while a node on their path is killed, frozen or stopped.

A caller must not receive "did not run" for a request that ran, nor status 200
for one that did not, and no request may run twice. The outcomes that callers
received are compared with the requests that the targets recorded.
"""

import asyncio
import os
import signal
import subprocess
import sys

import msgspec
import pytest

from bench.calls_node import NodeStarted
from medlarhoist.standin.load import Plan, run_load
from medlarhoist.standin.load_client import open_connection


class CallPath:
    """Processes: an entry node, and three nodes with a target each."""

    def __init__(self):
        self.processes = []
        self.targets = []
        self.nodes = []
        for number in range(3):
            port = self._launch(
                'medlarhoist.standin.target',
                '--service=bookings',
                '--label=v1',
                '--work-ms=20',
            )
            self.targets.append(f'127.0.0.1:{port}')
            name = f'--name=near{number}'
            self.nodes.append(self._launch_node(name, f'--target-port={port}'))
        peers = [node.peer for node in self.nodes]
        self.entry = self._launch_node('--name=far', '--peer', *peers)

    def _launch_node(self, *options):
        line = self._launch('bench.calls_node', *options)
        return msgspec.json.decode(line, type=NodeStarted)

    def _launch(self, module, *options):
        process = subprocess.Popen(
            (sys.executable, '-m', module, *options),
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.processes.append(process)
        return process.stdout.readline().strip()

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()

    async def count_runs(self):
        """Return how often each request ran on all targets, by its id."""
        runs = {}
        for address in self.targets:
            conn = await open_connection(address)
            raw = b'GET /_record HTTP/1.1\r\n\r\n'
            record = msgspec.json.decode((await conn.send(raw)).content)
            conn.close()
            for name, times in record['ran'].items():
                runs[name] = runs.get(name, 0) + times
        return runs


@pytest.fixture(name='path')
def _path():
    path = CallPath()
    yield path
    path.stop()


async def _run_load_with_fault(path, inject_fault):
    plan = Plan(
        addresses=(path.entry.entry,),
        rate=100.0,
        seconds=2.0,
        method='POST',
        body_bytes=100,
        headers=('X-Deadline-Ms: 2000',),
    )
    load = asyncio.create_task(run_load(plan))
    await asyncio.sleep(0.6)
    inject_fault()
    summary = await load
    return summary, await path.count_runs()


def _check_outcomes_match_records(summary, runs):
    assert max(runs.values()) == 1
    for name, outcome in summary.outcomes.items():
        if outcome == 'did-not-run':
            assert name not in runs
        if outcome == '200':
            assert name in runs
    assert summary.crossed == 0


def test_outcomes_match_records_after_a_node_is_killed(path):
    def kill_node():
        os.kill(path.nodes[0].pid, signal.SIGKILL)

    summary, runs = asyncio.run(_run_load_with_fault(path, kill_node))
    _check_outcomes_match_records(summary, runs)
    assert summary.cut == 0
    assert summary.whole >= summary.sent - 10


def test_outcomes_match_records_after_a_node_freezes(path):
    def freeze_node():
        os.kill(path.nodes[0].pid, signal.SIGSTOP)

    summary, runs = asyncio.run(_run_load_with_fault(path, freeze_node))
    _check_outcomes_match_records(summary, runs)
    assert summary.whole >= summary.sent * 0.7
    assert summary.cut == 0


def test_a_stopped_node_fails_no_request(path):
    def stop_node():
        os.kill(path.nodes[0].pid, signal.SIGTERM)

    summary, runs = asyncio.run(_run_load_with_fault(path, stop_node))
    _check_outcomes_match_records(summary, runs)
    assert summary.whole == summary.sent
