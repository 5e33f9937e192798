"""Tests that one seed of the soak of calls holds, and that it can fail."""

import asyncio

import pytest

from bench.calls_soak import run_seed
from medlarhoist.core.verdict import Verdict


def test_calls_hold_under_random_faults():
    found = asyncio.run(run_seed(1, 2.0))
    assert found.is_good, found
    assert found.whole > 0


def test_the_soak_notices_requests_that_run_twice(monkeypatch):
    """Retries after a request may have run are switched on."""

    def allow(verdict: Verdict, *, idempotent: bool) -> bool:
        return True

    monkeypatch.setattr('medlarhoist.node.proxy.entry.may_retry', allow)
    repeated = []
    for seed in range(1, 6):
        repeated.extend(asyncio.run(run_seed(seed, 1.0)).repeated)
        if repeated:
            return
    pytest.fail('no request ran twice')
