"""Test of a failure domain that loses most of its keepers as a version comes.

The other nodes of the domain are still in touch with the leader.
"""

import asyncio
import time

import pytest

from bench.distribution_fleet import Fleet, run_fleet, wait_until
from bench.domain_fleet import KEEPERS, converge
from medlarhoist.core.command import Activate
from medlarhoist.node.keeper import Keeper
from medlarhoist.node.keeper_loop import KeeperLoop
from medlarhoist.node.uplink import Uplink
from medlarhoist.node.uplink_sender import Sender

# Time in which a version that is confirmed must be in force.
APPLY_SECONDS = 2.0
NODES = 7
LONG_SECONDS = 3600
WORK = (
    (Keeper, '_serve_floor', lambda keeper: keeper._cfg.name),
    (KeeperLoop, '_query_peers', lambda loop: loop._cfg.name),
    (Sender, '_wait', lambda sender: sender._receiver._cfg.name),
    (Uplink, '_attach', lambda uplink: uplink._cfg.name),
)


@pytest.fixture(name='frozen')
def _frozen(monkeypatch):
    """Return a set of names; these nodes work no more, connections stay."""
    frozen = set()
    for owner, method, read_name in WORK:
        _freeze(monkeypatch, frozen, owner, method, read_name)
    activate = Keeper.activate
    monkeypatch.setattr(
        Keeper,
        'activate',
        lambda keeper, *args: (
            keeper._cfg.name in frozen or activate(keeper, *args)
        ),
    )
    return frozen


def _freeze(monkeypatch, frozen, owner, method, read_name):
    work = getattr(owner, method)

    async def work_unless_frozen(part, *args):
        if read_name(part) in frozen:
            await asyncio.sleep(LONG_SECONDS)
        return await work(part, *args)

    monkeypatch.setattr(owner, method, work_unless_frozen)


def test_a_version_is_in_force_in_time_where_most_keepers_freeze(frozen):
    """It was confirmed 2.5 to 3 s before the domain had other keepers."""

    async def scenario(fleet):
        await converge(fleet)
        failing = sorted(fleet.log.state.keepers['a'].members)[: KEEPERS - 1]

        def freeze_at_acceptance(command, outcome):
            if isinstance(command, Activate) and command.version == 2:
                frozen.update(failing)

        fleet.log.callbacks.insert(0, freeze_at_acceptance)
        await fleet.activate(2)
        await fleet.sources[0].distributor.in_force.wait_for(2)
        confirmed_at = time.monotonic()
        others = [fleet.nodes[name] for name in fleet.nodes.keys() - frozen]
        await wait_until(
            lambda: all(node.version == 2 for node in others), fleet.versions
        )
        assert time.monotonic() - confirmed_at < APPLY_SECONDS

    fleet = Fleet(sources=1, keepers=KEEPERS)
    for number in range(NODES):
        fleet.add_node('a', number)
    asyncio.run(run_fleet(fleet, scenario))
