"""Concurrent operators that resend, while sources are killed and frozen.

Real processes on loopback. The history of the operations must be
linearizable, and watches must neither skip nor repeat an event.
"""

import random
import signal
import threading
import time

import pytest

from bench.fleet import OPERATOR_TOKEN, wait_until
from bench.history_test import (
    NEVER,
    Operation,
    is_linearizable,
    resolve_unknown,
)
from bench.operator import (
    base_resources,
    create_operator,
    find_leader,
    find_resource,
    put,
)
from medlarhoist.core.api_messages import EventPage
from medlarhoist.core.command import Status
from medlarhoist.core.resource import Kind, Route
from medlarhoist.ops.client import create_client, decode_reply

OPERATORS = 4
KEYS = ('seats', 'deposits')
SECONDS = 12
FREEZE_SECONDS = 3
UNKNOWN_OUTCOMES = frozenset((Status.PENDING,))


class Race:
    """History, deadline and unused values, shared by all operators."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.history = []
        self.end = time.monotonic() + SECONDS
        self.values = iter(range(1000, 100_000))

    def read(self, client, key):
        called = time.monotonic()
        try:
            entry = find_resource(client, Kind.ROUTE, key)
        except LookupError:
            return 0
        self.history.append(
            Operation(
                key=key,
                kind='get',
                called=called,
                returned=time.monotonic(),
                value=str(entry.resource.timeout_ms) if entry else '',
                version=entry.version if entry else 0,
            )
        )
        return entry.version if entry else 0

    def write(self, client, key, base):
        value = next(self.values)
        route = Route(
            name=key, prefix=f'/{key}', service='bookings', timeout_ms=value
        )
        called = time.monotonic()
        outcome = put(client, f'request-{value}', route, base=base)
        status = outcome.status if outcome else Status.PENDING
        if status is Status.REFUSED or status is Status.ABANDONED:
            return
        names = {Status.ACCEPTED: 'ok', Status.CONFLICT: 'conflict'}
        is_known = status not in UNKNOWN_OUTCOMES
        self.history.append(
            Operation(
                key=key,
                kind='put',
                called=called,
                returned=time.monotonic() if is_known else NEVER,
                base=base,
                value=str(value),
                version=outcome.version if outcome else 0,
                outcome=names.get(status, 'unknown'),
            )
        )

    def operate(self, seed):
        rng = random.Random(seed)
        first = rng.choice(sorted(self.fleet.sources))
        client = create_operator(self.fleet, first)
        while time.monotonic() < self.end:
            key = rng.choice(KEYS)
            base = self.read(client, key)
            self.write(client, key, base)

    def inject_faults(self):
        """Kill the leader, then freeze the next leader past its lease."""
        time.sleep(2)
        leader = find_leader(self.fleet)
        if leader:
            self.fleet.kill(leader)
            time.sleep(FREEZE_SECONDS)
            self.fleet.start_source(leader)
        wait_until(lambda: bool(find_leader(self.fleet)), SECONDS)
        frozen = find_leader(self.fleet)
        if frozen:
            self.fleet.signal(frozen, signal.SIGSTOP)
            time.sleep(FREEZE_SECONDS)
            self.fleet.signal(frozen, signal.SIGCONT)


class Watch:
    """A watch that resumes after the last event it received."""

    def __init__(self, fleet, first):
        names = sorted(fleet.sources, key=lambda name: name != first)
        servers = tuple(fleet.sources[name].api for name in names)
        self.client = create_client(servers, OPERATOR_TOKEN, 5)
        self.events = []
        self.stopped = threading.Event()

    def follow(self):
        after = 0
        while not self.stopped.is_set():
            query = f'/v1/watch?since={after}&wait_ms=200'
            found = decode_reply(self.client.get(query), EventPage)
            if found is not None:
                self.events.extend(found.events)
                after = found.next


def run_threads(*targets):
    threads = [threading.Thread(target=target) for target in targets]
    for thread in threads:
        thread.start()
    return threads


@pytest.mark.parametrize('seed', [1])
def test_concurrent_operators_get_linearizable_results(sources, seed):
    client = create_operator(sources)
    assert put(client, 'base-resources', *base_resources('v1')) is not None
    race = Race(sources)
    for key in KEYS:
        # A history starts with an absent resource, so it has the base put.
        entry = find_resource(client, Kind.ROUTE, key)
        race.history.append(
            Operation(
                key=key,
                kind='put',
                called=0,
                returned=0,
                value=str(entry.resource.timeout_ms),
                version=entry.version,
            )
        )
    watches = [Watch(sources, first) for first in sorted(sources.sources)]
    watching = run_threads(*(watch.follow for watch in watches))
    operators = [
        lambda number=number: race.operate(seed * 100 + number)
        for number in range(OPERATORS)
    ]
    for thread in run_threads(race.inject_faults, *operators):
        thread.join()
    for key in KEYS:
        assert wait_until(lambda: race.read(client, key) > 0, SECONDS)
    accepted = [step for step in race.history if step.outcome == 'ok']
    assert len(accepted) > len(KEYS)
    assert is_linearizable(resolve_unknown(race.history))
    newest = max(len(watch.events) for watch in watches)
    wait_until(
        lambda: all(len(watch.events) >= newest for watch in watches), SECONDS
    )
    for watch in watches:
        watch.stopped.set()
    for thread in watching:
        thread.join()
    for watch in watches:
        sequences = [event.sequence for event in watch.events]
        first = sequences[0]
        assert sequences == list(range(first, first + len(sequences)))
    shortest = min(len(watch.events) for watch in watches)
    received = [watch.events[:shortest] for watch in watches]
    assert received[0] == received[1] == received[2]
