"""Tests of orders that start and end the drain of a failure domain.

Guards against an order that is acknowledged without being in force, that is
refused after it was accepted, and that a later copy or a clock step undoes.
"""

import asyncio

import pytest

from medlarhoist.core.command import Replace, Status
from medlarhoist.core.interfaces import OutcomeUnknown
from medlarhoist.core.resource import Service, TargetVersion
from medlarhoist.source.api_test import FakeLedger
from medlarhoist.source.api_write import create_write_access
from medlarhoist.source.domain_drain import set_drain
from medlarhoist.source.in_force_test import create_always_in_force

AT_MS = 1000
# Longer than the fake ledger takes to activate a version.
ACTIVATION_S = 0.1


@pytest.fixture(name='ledger')
def _ledger():
    return FakeLedger()


@pytest.fixture(name='run')
def _run(ledger):
    """Return a function that runs a coroutine function with `order`."""

    def run(scenario):
        async def main():
            writer = create_write_access(
                ledger, lambda: AT_MS, create_always_in_force()
            ).writer

            def order(domain, is_drained):
                return set_drain(
                    writer, ledger, 'op', domain, is_drained=is_drained
                )

            return await scenario(order)

        return asyncio.run(main())

    return run


def _drained(ledger):
    return {drain.name for drain in ledger.state.active.domain_drains}


def test_orders_state_how_the_domain_shall_be(run, ledger):
    """The clock stands still, as after a step back, and orders repeat."""
    orders = (True, True, False, False, True, True, False, True)

    async def scenario(order):
        seen = []
        for is_drained in orders:
            outcome = await order('a', is_drained)
            seen.append((outcome.status, _drained(ledger)))
        return seen

    expected = [
        (Status.ACCEPTED, {'a'} if is_drained else set())
        for is_drained in orders
    ]
    assert run(scenario) == expected


def test_a_repeated_order_makes_no_version(run, ledger):
    async def scenario(order):
        await order('a', True)
        version = ledger.state.active.version
        await asyncio.gather(*(order('a', True) for _ in range(8)))
        return version

    assert run(scenario) == ledger.state.active.version


@pytest.mark.parametrize('first', [True, False])
def test_two_operators_at_once_are_both_accepted(run, ledger, first):
    async def scenario(order):
        await order('a', not first)
        return await asyncio.gather(
            order('a', first),
            order('a', not first),
            order('b', True),
        )

    outcomes = run(scenario)
    assert {outcome.status for outcome in outcomes} == {Status.ACCEPTED}
    assert _drained(ledger) == ({'b'} if first else {'a', 'b'})


def test_an_order_whose_reply_is_lost_is_accepted_when_it_is_repeated(
    run, ledger
):
    ledger.replies_to_lose = 1

    async def scenario(order):
        with pytest.raises(OutcomeUnknown):
            await order('a', True)
        return await order('a', True)

    assert run(scenario).status is Status.ACCEPTED
    assert _drained(ledger) == {'a'}


def test_an_abandoned_order_may_be_repeated(run, ledger):
    """A node that can't compile a version is no fault of the order."""
    ledger.on_staged = 'abandon'

    async def scenario(order):
        abandoned = await order('a', True)
        ledger.on_staged = 'activate'
        return abandoned, await order('a', True)

    abandoned, accepted = run(scenario)
    assert abandoned.status is Status.PENDING
    assert accepted.status is Status.ACCEPTED
    assert _drained(ledger) == {'a'}


def test_a_complete_configuration_keeps_the_drains(run, ledger):
    async def scenario(order):
        await order('a', True)
        await ledger.propose(
            Replace(
                request_id='replaced',
                operator='op',
                revision=3,
                base=0,
                resources=(
                    TargetVersion(name='s/v1', service='s', label='v1'),
                    Service(name='s', current='v1'),
                ),
                document=b'{}',
                at_ms=AT_MS,
            )
        )
        await asyncio.sleep(ACTIVATION_S)

    run(scenario)
    assert [item.name for item in ledger.state.active.services] == ['s']
    assert _drained(ledger) == {'a'}


def test_a_name_that_no_domain_can_have_is_refused(run):
    async def scenario(order):
        return await order('a\n', True)

    assert run(scenario).status is Status.REFUSED
