"""Nodes alone stop a faulty version while every source is unavailable."""

import time

from bench.bad_version_test import (
    FAULTY_TARGETS,
    read_move,
    sent_at,
    start_move,
)
from bench.conftest import READY_SECONDS, await_targets, read_record
from bench.fleet import wait_until
from bench.load import LoadPlan, start_load
from medlarhoist.core.command import MovePhase

RATE = 400
LOAD_SECONDS = 25
FAULT_AFTER_SECONDS = 12
# Most seconds from the first failed call to the last call to the version.
MAX_REACTION_SECONDS = 2


def test_nodes_stop_a_bad_version_while_the_sources_are_away(mesh):
    for domain in ('a', 'b', 'c'):
        mesh.start_target(
            f'{domain}2',
            'bookings',
            'v2',
            '--fault',
            'fail',
            '--fault-after-s',
            str(FAULT_AFTER_SECONDS),
        )
    await_targets(mesh, 6)
    load = start_load(
        mesh,
        LoadPlan(nodes=tuple(mesh.nodes), rate=RATE, seconds=LOAD_SECONDS),
    )
    start_move(mesh)
    assert wait_until(
        lambda: read_move(mesh).basis_points >= 100, READY_SECONDS
    )
    time.sleep(2)
    for name in sorted(mesh.sources):
        mesh.kill(name)
    summary = load.finish()
    failed = [
        sent_at(request_id)
        for request_id, outcome in summary.outcomes.items()
        if outcome == '500'
    ]
    assert failed, 'the fault has not shown'
    ran = [
        request_id
        for name in FAULTY_TARGETS
        for request_id in read_record(mesh, name)['ran']
        if request_id in summary.outcomes
    ]
    first_failed = min(failed)
    sent_late = [
        at
        for at in map(sent_at, ran)
        if at > first_failed + MAX_REACTION_SECONDS
    ]
    for name in sorted(mesh.sources):
        mesh.start_source(name)
    assert wait_until(
        lambda: read_move(mesh).phase is not MovePhase.RUNNING,
        READY_SECONDS * 2,
    )
    assert read_move(mesh).phase is MovePhase.ROLLED_BACK
    assert not sent_late, (first_failed, len(sent_late), max(sent_late))
