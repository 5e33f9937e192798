"""Tests of concurrent writes and watches of operators over the resource API.

Requests and replies are lost at random. The tests guard against an update that
overwrites another, a success that is reported as a failure or the reverse, and
watches that miss or repeat an event.
"""

import random
import uuid
from concurrent.futures import ThreadPoolExecutor
from threading import Event

from msgspec import json
from msgspec.structs import replace

from medlarhoist.core.api_messages import ApplyRequest
from medlarhoist.core.event import EVENTS_LIMIT, EventType
from medlarhoist.core.interfaces import NotLeader, OutcomeUnknown
from medlarhoist.core.resource import Service
from medlarhoist.ops.client import create_client
from medlarhoist.source.api_test import (
    SHOP,
    TOKEN,
    FakeLedger,
    apply,
    call,
    put_all,
    run_with_api,
)

OPERATORS = 50
TRIES = 3
WATCHERS = 4


class LossyLedger(FakeLedger):
    """Loses requests and replies at random, as a failing leader does."""

    def __init__(self, seed):
        super().__init__()
        self._random = random.Random(seed)

    async def propose(self, command):
        chance = self._random.randrange(100)
        if chance < 10:
            raise NotLeader
        if chance < 20:
            raise OutcomeUnknown
        if chance < 40:
            self.replies_to_lose = 1
        return await super().propose(command)


def _increment_slots(address):
    """Try to increment the number of slots, based on the version read."""
    client = create_client((address,), TOKEN, timeout=30)
    outcomes = []
    for _ in range(TRIES):
        found = json.decode(client.get('/v1/resources/service/seats').body)
        entry = found['entries'][0]
        slots = entry['resource']['slots'] + 1
        request = ApplyRequest(
            request_id=uuid.uuid4().hex,
            changes=put_all(
                Service(name='seats', current='v1', slots=slots),
                base=entry['version'],
            ),
        )
        reply = client.apply(request)
        outcomes.append((reply.status, slots, json.decode(reply.body)))
    return outcomes


def _watch(address, until):
    """Return all events until `until` is set and none is left."""
    events = []
    since = 0
    while True:
        path = f'/v1/watch?since={since}&wait_ms=500'
        status, found = call(address, 'GET', path)
        assert status == 200
        assert all(event['sequence'] > since for event in found['events'])
        events.extend(found['events'])
        since = found['next']
        if until.is_set() and not found['events']:
            return events


def _race(address):
    apply(address, 'request-0', put_all(*SHOP))
    while call(address, 'GET', '/v1/resources')[1]['version'] == 0:
        apply(address, 'request-0', put_all(*SHOP))
    done = Event()
    with ThreadPoolExecutor(OPERATORS + WATCHERS) as pool:
        watches = [pool.submit(_watch, address, done) for _ in range(WATCHERS)]
        increments = [
            pool.submit(_increment_slots, address) for _ in range(OPERATORS)
        ]
        try:
            outcomes = [
                outcome
                for increment in increments
                for outcome in increment.result()
            ]
        finally:
            done.set()
        return outcomes, [watch.result() for watch in watches]


def test_concurrent_writes_have_correct_outcomes_and_events():
    ledger = LossyLedger(seed=7)
    outcomes, watched = run_with_api(ledger, _race)
    accepted = [
        (response, slots)
        for status, slots, response in outcomes
        if status == 200
    ]
    refused = [status for status, _, _ in outcomes if status != 200]
    assert set(refused) <= {409}
    accepted_slots = sorted(slots for _, slots in accepted)
    first = SHOP[0].slots
    expected = list(range(first + 1, first + 1 + len(accepted)))
    assert accepted_slots == expected
    assert ledger.state.active.services[0].slots == expected[-1]
    versions = [response['outcome']['version'] for response, _ in accepted]
    assert len(set(versions)) == len(versions)
    for events in watched:
        assert events == watched[0]
        sequences = [event['sequence'] for event in events]
        assert sequences == list(range(1, len(events) + 1))
        watched_slots = [
            event['resource']['slots']
            for event in events
            if event['type'] == EventType.PUT
            and event['key']['kind'] == 'service'
        ]
        assert watched_slots == [first, *expected]


def test_a_watch_from_compacted_events_is_refused():
    ledger = FakeLedger()

    def use(address):
        apply(address, 'request-0', put_all(*SHOP))
        log = ledger.state.events
        events = tuple(
            replace(log.events[0], sequence=number)
            for number in range(11, 11 + EVENTS_LIMIT)
        )
        log = replace(log, last=10 + EVENTS_LIMIT, events=events)
        ledger.state = replace(ledger.state, events=log)
        return (
            call(address, 'GET', '/v1/watch?since=9'),
            call(address, 'GET', '/v1/watch?since=10'),
            call(address, 'GET', f'/v1/watch?since={log.last + 5}&wait_ms=1'),
        )

    compacted, resumed, ahead = run_with_api(ledger, use)
    assert (compacted[0], compacted[1]['oldest']) == (410, 11)
    assert resumed[0] == 200
    assert resumed[1]['events'][0]['sequence'] == 11
    assert ahead == (200, {'events': [], 'next': EVENTS_LIMIT + 15})
