"""Tests of a failure domain that was cut off, once it is reachable again."""

import asyncio

from bench.distribution_fleet import Fleet, run_fleet, wait_until

# Time in which a version that is accepted must be in force.
APPLY_SECONDS = 2.0
KEEPERS = (0, 2, 4)
# Ranks above the keepers, so that a former keeper retains it as a child.
CHILD = 3


def _create_fleet():
    fleet = Fleet(sources=1, keepers=len(KEEPERS))
    for number in KEEPERS:
        fleet.add_node('a', number)
    return fleet


async def _add_child(fleet):
    await fleet.wait_until_in_force(0)
    await wait_until(
        lambda: len(fleet.log.state.keepers['a'].members) == len(KEEPERS)
    )
    child = fleet.add_node('a', CHILD)
    await child.start()
    await fleet.activate(1)
    await fleet.wait_until_in_force(1)
    await wait_until(
        lambda: all(
            node.distribution.dump().uplink.parent
            for node in fleet.nodes.values()
        )
    )
    return child


def test_a_set_that_a_parent_has_asked_for_reaches_its_children():
    """The child becomes the only keeper while its domain is cut off."""

    async def scenario(fleet):
        child = await _add_child(fleet)
        for name in fleet.nodes:
            fleet.partition_from_sources(name)
        await wait_until(
            lambda: (
                set(fleet.log.state.keepers['a'].members) == {child.cfg.name}
            )
        )
        for node in fleet.nodes.values():
            node.channels.heal()
        await wait_until(
            lambda: child.distribution.dump().keeper.is_member,
            fleet.versions,
            APPLY_SECONDS,
        )

    asyncio.run(run_fleet(_create_fleet(), scenario))
