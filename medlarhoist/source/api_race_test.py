"""Races of operators over the resource API, with answers lost on the way."""

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
    ask,
    put_all,
    run_with_api,
    send,
)

OPERATORS = 50
TRIES = 3
WATCHERS = 4


class LossyLedger(FakeLedger):
    """Loses requests and answers as a leader under failure does."""

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
            self.loses_answers = 1
        return await super().propose(command)


def _take_a_slot(address):
    """Raise the number of slots by one, based on what was read."""
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
    """Follow all events until the number of slots is reached."""
    events = []
    since = 0
    while True:
        path = f'/v1/watch?since={since}&wait_ms=500'
        status, found = ask(address, 'GET', path)
        assert status == 200
        assert all(event['sequence'] > since for event in found['events'])
        events.extend(found['events'])
        since = found['next']
        if until.is_set() and not found['events']:
            return events


def _race(address):
    send(address, 'request-0', put_all(*SHOP))
    while ask(address, 'GET', '/v1/resources')[1]['version'] == 0:
        send(address, 'request-0', put_all(*SHOP))
    done = Event()
    with ThreadPoolExecutor(OPERATORS + WATCHERS) as pool:
        watches = [pool.submit(_watch, address, done) for _ in range(WATCHERS)]
        takers = [pool.submit(_take_a_slot, address) for _ in range(OPERATORS)]
        try:
            outcomes = [one for taker in takers for one in taker.result()]
        finally:
            done.set()
        return outcomes, [watch.result() for watch in watches]


def test_every_outcome_of_a_race_is_true():
    ledger = LossyLedger(seed=7)
    outcomes, watched = run_with_api(ledger, _race)
    accepted = [
        (answer, slots) for status, slots, answer in outcomes if status == 200
    ]
    refused = [status for status, _, _ in outcomes if status != 200]
    assert set(refused) <= {409}
    slots_won = sorted(slots for _, slots in accepted)
    first = SHOP[0].slots
    expected = list(range(first + 1, first + 1 + len(accepted)))
    assert slots_won == expected
    assert ledger.state.active.services[0].slots == expected[-1]
    versions = [answer['outcome']['version'] for answer, _ in accepted]
    assert len(set(versions)) == len(versions)
    for events in watched:
        assert events == watched[0]
        sequences = [event['sequence'] for event in events]
        assert sequences == list(range(1, len(events) + 1))
        seen = [
            event['resource']['slots']
            for event in events
            if event['type'] == EventType.PUT
            and event['key']['kind'] == 'service'
        ]
        assert seen == [first, *expected]


def test_a_watch_of_what_is_compacted_is_told_so():
    ledger = FakeLedger()

    def use(address):
        send(address, 'request-0', put_all(*SHOP))
        log = ledger.state.events
        events = tuple(
            replace(log.events[0], sequence=number)
            for number in range(11, 11 + EVENTS_LIMIT)
        )
        log = replace(log, last=10 + EVENTS_LIMIT, events=events)
        ledger.state = replace(ledger.state, events=log)
        return (
            ask(address, 'GET', '/v1/watch?since=9'),
            ask(address, 'GET', '/v1/watch?since=10'),
            ask(address, 'GET', f'/v1/watch?since={log.last + 5}&wait_ms=1'),
        )

    compacted, resumed, ahead = run_with_api(ledger, use)
    assert (compacted[0], compacted[1]['oldest']) == (410, 11)
    assert resumed[0] == 200
    assert resumed[1]['events'][0]['sequence'] == 11
    assert ahead == (200, {'events': [], 'next': EVENTS_LIMIT + 15})
