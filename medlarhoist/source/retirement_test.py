"""Member slots that change hands: there is one group, with one log.

See conftest.py for the simulated machines.
"""

import pytest

from medlarhoist.consensus.log import last_index
from medlarhoist.source.conftest import REPLACEMENT_S, SEEDS

SCHEDULES = 60


def _replace(world, name):
    """Cut a machine off until a standby has its slot, then join it again."""
    machine = world.machines[name]
    machine.is_cut = True
    world.pass_time(REPLACEMENT_S)
    machine.is_cut = False
    world.pass_time(REPLACEMENT_S)


@pytest.mark.parametrize('count', [1, 2, 3])
@pytest.mark.parametrize('keeps_settings', [False, True])
def test_retired_founders_do_not_found_another_group(
    create_world, count, keeps_settings
):
    """Three of them formed a second group, with nothing in it."""
    world = create_world(1, 6, keeps_settings=keeps_settings)
    retired = [f'm{number}' for number in range(1, count + 1)]
    for name in retired:
        _replace(world, name)
    world.pass_time(REPLACEMENT_S)
    assert [world.machines[name].retirements for name in retired] == [1] * count
    strays = [
        name
        for name in retired
        if world.machines[name].replica is not None
        and world.machines[name].replica.may_found
    ]
    assert not strays
    world.check_end()


def test_a_full_disk_of_a_few_seconds_costs_no_slot(create_world):
    """A standby got the slot, and its former holder was wiped."""
    world = create_world(2, 4)
    for _ in range(2):
        for number in range(1, SEEDS + 1):
            machine = world.machines[f'm{number}']
            machine.is_full = True
            world.pass_time(4)
            machine.is_full = False
            world.pass_time(1.5)
    world.check_end()
    assert not any(one.retirements for one in world.machines.values())


def test_a_disk_that_stays_full_is_replaced(create_world):
    world = create_world(3, 4)
    machine = world.machines['m2']
    machine.is_full = True
    world.pass_time(30)
    assert machine.retirements == 1
    assert machine.replica is None
    world.check_end()


def test_a_standby_with_a_full_disk_gets_no_slot(create_world):
    world = create_world(4, 4)
    world.machines['m4'].is_full = True
    world.machines['m1'].is_cut = True
    world.pass_time(REPLACEMENT_S)
    world.machines['m1'].is_cut = False
    world.pass_time(2)
    world.check_end()
    assert not any(one.retirements for one in world.machines.values())


def _disturb(world):
    """Disturb a random machine for a random time."""
    random = world.random
    machine = random.choice(list(world.machines.values()))
    kind = random.choice(['cut', 'kill', 'full', 'full'])
    seconds = random.choice([0.3, 1.5, 4.0, 9.0, 14.0])
    if kind == 'cut':
        machine.is_cut = True
    elif kind == 'full':
        machine.is_full = True
    else:
        machine.kill()
    if random.randrange(10) < 7:
        world.pass_time(seconds)
        machine.heal()
        world.pass_time(random.choice([0.2, 2.0, 6.0]))


@pytest.mark.parametrize('seed', range(SCHEDULES))
def test_any_schedule_keeps_one_group(create_world, seed):
    """Cuts, restarts and full disks, alone and over each other."""
    world = create_world(seed, 4 + seed % 3, keeps_settings=bool(seed % 2))
    for _ in range(10):
        _disturb(world)
    world.check_end()
    assert last_index(world.leader().replica.log) >= max(world.committed)
