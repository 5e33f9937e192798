"""Tests of the selection of versions and targets."""

from collections import Counter
from random import Random

import pytest

from medlarhoist.core.admission import Load
from medlarhoist.core.balance import (
    NodeLocation,
    SelectionContext,
    pick_label,
    pick_target,
)
from medlarhoist.core.snapshot import Share
from medlarhoist.core.subset import choose_subset
from medlarhoist.core.target import Target, TargetPhase
from medlarhoist.core.target_view import TargetView

HERE = NodeLocation('a', 'none')
NOW = 100.0


def _target(number, domain='a', phase=TargetPhase.READY):
    return Target(
        node=f'n{number}',
        domain=domain,
        service='s',
        label='v1',
        address=f'127.0.0.1:{number}',
        slots=20,
        phase=phase,
        since_ms=0,
    )


@pytest.fixture(name='pick')
def _pick():
    """Count selections by node name; `views` are given by target number."""

    def count(targets, views, location=HERE, picks=300):
        all_views = {target.address: TargetView() for target in targets}
        for number, view in views.items():
            all_views[f'127.0.0.1:{number}'] = view
        rng = Random(1)
        found = Counter()
        for _ in range(picks):
            target = pick_target(
                targets, all_views, location, SelectionContext(NOW), rng
            )
            found[target and target.node] += 1
        return found

    return count


def _view(**changes):
    view = TargetView()
    view.responses = 1
    for name, value in changes.items():
        setattr(view, name, value)
    return view


def test_local_domain_is_preferred(pick):
    found = pick([_target(1), _target(2, 'b'), _target(3, 'b')], {})
    assert set(found) == {'n1'}


@pytest.mark.parametrize(
    'full',
    [{'full_until': NOW + 1}, {'outstanding': 20}],
)
def test_calls_leave_a_domain_without_free_slots(pick, full):
    targets = [_target(1), _target(2, 'b')]
    assert set(pick(targets, {1: _view(**full)})) == {'n2'}


def test_slow_local_target_is_avoided_if_it_misses_the_objective():
    targets = [_target(1), _target(2, 'b')]
    views = {target.address: TargetView() for target in targets}
    views['127.0.0.1:1'] = _view(latency_s=0.6)
    rng = Random(1)
    context = SelectionContext(NOW, left_s=0.5)
    assert pick_target(targets, views, HERE, context, rng).node == 'n2'
    context = SelectionContext(NOW, left_s=2.0)
    assert pick_target(targets, views, HERE, context, rng).node == 'n1'


def test_large_responses_stay_local_while_the_queue_is_short():
    targets = [_target(1), _target(2, 'b')]
    views = {target.address: TargetView() for target in targets}
    rng = Random(1)
    local = views['127.0.0.1:1']
    local.record_load(Load(20, 20, 4, 0.1), NOW)
    large = SelectionContext(NOW, left_s=0.4, answer_bytes=280_000)
    assert pick_target(targets, views, HERE, large, rng).node == 'n1'
    small = SelectionContext(NOW, left_s=0.4, answer_bytes=400)
    assert pick_target(targets, views, HERE, small, rng).node == 'n2'
    local.record_load(Load(20, 20, 80, 0.1), NOW)
    assert pick_target(targets, views, HERE, large, rng).node == 'n2'


@pytest.mark.parametrize(
    'phase',
    [TargetPhase.WARMING, TargetPhase.DRAINING],
)
def test_only_ready_targets_are_selected(pick, phase):
    assert set(pick([_target(1, phase=phase)], {})) == {None}
    targets = [_target(1, phase=phase), _target(2, 'b')]
    assert set(pick(targets, {})) == {'n2'}


def test_slow_target_is_not_selected(pick):
    targets = [_target(number) for number in range(1, 4)]
    found = pick(targets, {1: _view(latency_s=0.2)})
    assert 'n1' not in found


def test_at_least_half_of_the_targets_are_not_ejected(pick):
    targets = [_target(number) for number in range(1, 5)]
    views = {
        number: _view(ejected_until=NOW + number) for number in range(1, 5)
    }
    assert set(pick(targets, views)) == {'n1', 'n2'}


def test_unreachable_node_is_skipped_for_a_while(pick):
    unreachable = TargetView()
    unreachable.record_no_connection(NOW - 0.5)
    targets = [_target(number) for number in range(1, 3)]
    views = {1: unreachable, 2: _view(latency_s=1.0)}
    assert set(pick(targets, views)) == {'n2'}
    unreachable.record_no_connection(NOW - 2)
    assert set(pick(targets, views)) == {'n1'}


def test_slow_target_is_tried_again_after_a_while(pick):
    targets = [_target(1), _target(2)]
    slow = _view(latency_s=0.4, used_at=NOW - 1)
    recent = _view(latency_s=0.1, used_at=NOW)
    assert set(pick(targets, {1: slow, 2: recent})) == {'n2'}
    slow.used_at = NOW - 10
    assert set(pick(targets, {1: slow, 2: recent})) == {'n1'}


def test_consecutive_failures_eject_a_target():
    view = TargetView()
    for _ in range(4):
        view.record_failure(NOW)
    assert view.ejected_until < NOW
    view.record_failure(NOW)
    assert view.ejected_until > NOW


def test_target_on_the_local_vm_is_always_considered(pick):
    targets = [_target(number) for number in range(1, 9)]
    views = {number: _view(latency_s=0.01) for number in range(2, 9)}
    views[1] = _view(latency_s=0.005)
    location = NodeLocation('a', '127.0.0.1:1')
    assert set(pick(targets, views, location)) == {'n1'}


def test_new_version_receives_its_share_of_the_calls():
    share = Share(service='s', move='m', old='a', new='b', basis_points=500)
    rng = Random(1)

    def keep(service, label, points):
        return points

    found = Counter(pick_label('a', share, keep, rng) for _ in range(20_000))
    assert 850 <= found['b'] <= 1150
    clamped = pick_label('a', share, lambda service, label, points: 0, rng)
    assert (clamped, pick_label('c', None, keep, rng)) == ('a', 'c')


def test_subsets_distribute_nodes_evenly_and_change_little():
    targets = [_target(number) for number in range(1, 101)]
    found = Counter(
        target.node
        for node in range(200)
        for target in choose_subset(f'x{node}', targets, 10)
    )
    assert len(found) == 100
    assert max(found.values()) <= 45
    fewer = targets[:50] + targets[51:]
    before = set(choose_subset('x1', targets, 10))
    assert len(before & set(choose_subset('x1', fewer, 10))) >= 9


def test_calls_sent_to_a_limited_target_delay_the_next(pick):
    """Its slots are free, but its turn for another call comes later."""
    limited = _view()
    limited.record_load(Load(20, 0, 0, 0.1, 10, 0), NOW)
    targets = [_target(1), _target(2)]
    other = _view()
    other.record_load(Load(20, 10, 0, 0.1), NOW)
    assert pick(targets, {1: limited, 2: other})['n1'] == 300
    for _ in range(2):
        limited.record_send(NOW)
    assert pick(targets, {1: limited, 2: other})['n2'] == 300


def _cold_view(cold_s=3.0):
    view = _view()
    view.record_load(Load(20, 0, 0, 0.1, 5, 0, cold_s), NOW)
    return view


def test_other_targets_are_used_before_a_cold_one(pick):
    targets = [_target(1), _target(2), _target(3, 'b')]
    busy = _view()
    busy.record_load(Load(20, 19, 0, 0.1), NOW)
    assert set(pick(targets[:2], {1: _cold_view(), 2: busy})) == {'n2'}
    assert set(pick([targets[0], targets[2]], {1: _cold_view()})) == {'n3'}


def test_a_cold_target_is_used_where_the_others_are_full(pick):
    full = _view()
    full.record_load(Load(20, 20, 60, 0.1), NOW)
    targets = [_target(1), _target(2)]
    assert set(pick(targets, {1: _cold_view(), 2: full})) == {'n1'}


def test_cold_targets_share_the_calls_if_there_are_no_others(pick):
    targets = [_target(1), _target(2), _target(3, 'b')]
    views = {number: _cold_view() for number in (1, 2, 3)}
    found = pick(targets, views)
    assert min(found['n1'], found['n2']) > 75


@pytest.mark.parametrize(
    ('later_s', 'is_cold'), [(0.5, True), (2.9, True), (3.1, False)]
)
def test_a_target_counts_as_cold_for_as_long_as_its_node_has_said(
    later_s, is_cold
):
    """Also when the rest of the report is outdated."""
    load = _cold_view().present_load(20, NOW + later_s)
    assert bool(load.cold_s) is is_cold


def test_a_call_leaves_a_domain_that_is_cold_if_there_is_another():
    targets = [_target(1), _target(2, 'b')]
    views = {target.address: TargetView() for target in targets}
    context = SelectionContext(NOW, is_domain_cold=True)
    rng = Random(1)
    assert pick_target(targets, views, HERE, context, rng).node == 'n2'
    assert pick_target(targets[:1], views, HERE, context, rng).node == 'n1'
