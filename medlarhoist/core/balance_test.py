"""Tests of the choice of versions and targets."""

from collections import Counter
from random import Random

import pytest

from medlarhoist.core.admission import Load
from medlarhoist.core.balance import (
    Place,
    TargetView,
    Wish,
    pick_label,
    pick_target,
)
from medlarhoist.core.snapshot import Share
from medlarhoist.core.subset import choose_subset
from medlarhoist.core.target import Target, TargetPhase

HERE = Place('a', 'none')
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
    """Count the picks among targets, with views by number."""

    def count(targets, views, place=HERE, picks=300):
        known = {target.address: TargetView() for target in targets}
        for number, view in views.items():
            known[f'127.0.0.1:{number}'] = view
        draw = Random(1)
        found = Counter()
        for _ in range(picks):
            target = pick_target(targets, known, place, Wish(NOW), draw)
            found[target and target.node] += 1
        return found

    return count


def _view(**changes):
    view = TargetView()
    view.answers = 1
    for name, value in changes.items():
        setattr(view, name, value)
    return view


def test_own_domain_comes_first(pick):
    found = pick([_target(1), _target(2, 'b'), _target(3, 'b')], {})
    assert set(found) == {'n1'}


@pytest.mark.parametrize(
    'full',
    [{'full_until': NOW + 1}, {'outstanding': 20}],
)
def test_a_full_domain_spills(pick, full):
    targets = [_target(1), _target(2, 'b')]
    assert set(pick(targets, {1: _view(**full)})) == {'n2'}


def test_a_slow_own_target_loses_to_another_domain():
    targets = [_target(1), _target(2, 'b')]
    known = {target.address: TargetView() for target in targets}
    known['127.0.0.1:1'] = _view(latency_s=0.6)
    draw = Random(1)
    wish = Wish(NOW, left_s=0.5)
    assert pick_target(targets, known, HERE, wish, draw).node == 'n2'
    wish = Wish(NOW, left_s=2.0)
    assert pick_target(targets, known, HERE, wish, draw).node == 'n1'


def test_large_answers_stay_in_their_domain_while_the_queue_is_short():
    targets = [_target(1), _target(2, 'b')]
    known = {target.address: TargetView() for target in targets}
    draw = Random(1)
    own = known['127.0.0.1:1']
    own.record_load(Load(20, 20, 4, 0.1), NOW)
    large = Wish(NOW, left_s=0.4, answer_bytes=280_000)
    assert pick_target(targets, known, HERE, large, draw).node == 'n1'
    small = Wish(NOW, left_s=0.4, answer_bytes=400)
    assert pick_target(targets, known, HERE, small, draw).node == 'n2'
    own.record_load(Load(20, 20, 80, 0.1), NOW)
    assert pick_target(targets, known, HERE, large, draw).node == 'n2'


@pytest.mark.parametrize(
    'phase',
    [TargetPhase.WARMING, TargetPhase.DRAINING],
)
def test_only_ready_targets_are_picked(pick, phase):
    assert set(pick([_target(1, phase=phase)], {})) == {None}
    targets = [_target(1, phase=phase), _target(2, 'b')]
    assert set(pick(targets, {})) == {'n2'}


def test_a_slow_target_loses_each_comparison(pick):
    targets = [_target(number) for number in range(1, 4)]
    found = pick(targets, {1: _view(latency_s=0.2)})
    assert 'n1' not in found


def test_ejection_leaves_at_least_half(pick):
    targets = [_target(number) for number in range(1, 5)]
    views = {
        number: _view(ejected_until=NOW + number) for number in range(1, 5)
    }
    assert set(pick(targets, views)) == {'n1', 'n2'}


def test_a_node_that_was_not_reached_is_passed_over(pick):
    lost = TargetView()
    lost.miss(NOW - 0.5)
    targets = [_target(number) for number in range(1, 3)]
    views = {1: lost, 2: _view(latency_s=1.0)}
    assert set(pick(targets, views)) == {'n2'}
    lost.miss(NOW - 2)
    assert set(pick(targets, views)) == {'n1'}


def test_a_slow_target_is_tried_again_after_a_while(pick):
    targets = [_target(1), _target(2)]
    slow = _view(latency_s=0.4, used_at=NOW - 1)
    used = _view(latency_s=0.1, used_at=NOW)
    assert set(pick(targets, {1: slow, 2: used})) == {'n2'}
    slow.used_at = NOW - 10
    assert set(pick(targets, {1: slow, 2: used})) == {'n1'}


def test_failures_in_a_row_eject():
    view = TargetView()
    for _ in range(4):
        view.record_failure(NOW)
    assert view.ejected_until < NOW
    view.record_failure(NOW)
    assert view.ejected_until > NOW


def test_the_target_of_this_vm_is_always_weighed(pick):
    targets = [_target(number) for number in range(1, 9)]
    views = {number: _view(latency_s=0.01) for number in range(2, 9)}
    views[1] = _view(latency_s=0.005)
    place = Place('a', '127.0.0.1:1')
    assert set(pick(targets, views, place)) == {'n1'}


def test_the_share_is_the_part_of_calls_that_the_new_version_gets():
    share = Share(service='s', move='m', old='a', new='b', basis_points=500)
    draw = Random(1)

    def keep(service, label, points):
        return points

    found = Counter(pick_label('a', share, keep, draw) for _ in range(20_000))
    assert 850 <= found['b'] <= 1150
    clamped = pick_label('a', share, lambda service, label, points: 0, draw)
    assert (clamped, pick_label('c', None, keep, draw)) == ('a', 'c')


def test_subsets_spread_nodes_evenly():
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
