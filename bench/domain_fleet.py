"""Domain fleet: waits until the failure domains of a fleet have joined."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from bench.distribution_fleet import Fleet, run_fleet, wait_until

DOMAINS: Final = 'abc'
KEEPERS: Final = 3


async def converge(fleet: Fleet) -> None:
    """Wait until domain `a` has its keepers and all nodes have version 1.

    Args:
        fleet: a running fleet in which no version was accepted yet.
    """
    await fleet.wait_until_in_force(0)
    await wait_until(
        lambda: len(fleet.log.state.keepers['a'].members) == KEEPERS
    )
    await fleet.activate(1)
    await fleet.wait_until_in_force(1)


def run_domains(
    nodes_per_domain: int,
    scenario: Callable[[Fleet], Awaitable[None]],
) -> None:
    """Run a scenario once each domain has its keepers, and all know them.

    A node that has just started does not know the keepers of other domains.

    Args:
        nodes_per_domain: number of nodes, at least KEEPERS.
        scenario: coroutine function, called with the running fleet.
    """
    fleet = Fleet(sources=1, keepers=KEEPERS)
    for domain in DOMAINS:
        for number in range(nodes_per_domain):
            fleet.add_node(domain, number)

    async def main(running: Fleet) -> None:  # noqa: WPS430
        await running.wait_until_in_force(0)
        await wait_until(lambda: _has_keepers(running))
        await scenario(running)

    asyncio.run(run_fleet(fleet, main))


def _has_keepers(fleet: Fleet) -> bool:
    keepers = fleet.log.state.keepers
    are_complete = all(
        len(keepers[domain].members) == KEEPERS for domain in DOMAINS
    )
    return are_complete and all(
        set(node.distribution.directory.sets) == set(DOMAINS)
        for node in fleet.nodes.values()
    )
