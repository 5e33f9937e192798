"""Tests of the soak of calls: one seed passes, and a known fault is detected."""

import asyncio

import pytest

from bench.calls_soak import run_seed
from medlarhoist.core.verdict import Verdict


def test_outcomes_match_records_under_random_faults():
    verdicts = asyncio.run(run_seed(1, 2.0))
    assert verdicts.is_passed, verdicts
    assert verdicts.whole > 0


def test_the_soak_detects_requests_that_run_twice(monkeypatch):
    """Nodes retry requests even if an earlier attempt may have run."""

    def allow(verdict: Verdict, *, idempotent: bool) -> bool:
        return True

    monkeypatch.setattr('medlarhoist.node.proxy.entry.may_retry', allow)
    repeated = []
    for seed in range(1, 6):
        repeated.extend(asyncio.run(run_seed(seed, 1.0)).repeated)
        if repeated:
            return
    pytest.fail('no request ran twice')
