"""Tests of the soak of calls: one seed passes, known faults are detected."""

import asyncio

import pytest
from msgspec.structs import replace

from bench.calls_soak import MAX_CRASHES, run_seed
from medlarhoist.core.header_names import DEFAULT_HEADER_NAMES
from medlarhoist.core.quarantine import Quarantine
from medlarhoist.core.rate_limit import RateLimiter
from medlarhoist.core.verdict import Verdict


def test_outcomes_match_records_under_random_faults():
    verdicts = asyncio.run(run_seed(1, 2.0))
    assert verdicts.is_passed, verdicts
    assert verdicts.whole > 0


def test_the_soak_detects_requests_that_run_twice(monkeypatch):
    """Nodes retry requests even if an earlier attempt may have run."""

    def allow(verdict: Verdict, *, idempotent: bool) -> bool:
        return True

    monkeypatch.setattr('medlarhoist.node.proxy.call_attempts.may_retry', allow)
    repeated = []
    for seed in range(1, 6):
        repeated.extend(asyncio.run(run_seed(seed, 1.0)).repeated)
        if repeated:
            return
    pytest.fail('no request ran twice')


def test_the_soak_detects_requests_without_a_known_key(monkeypatch):
    """Nodes take every account for one without keys."""
    monkeypatch.setattr(
        'medlarhoist.node.proxy.account_gate.has_accounts', lambda _: False
    )
    assert asyncio.run(run_seed(1, 1.0)).strangers


def test_the_soak_detects_requests_above_a_limit(monkeypatch):
    """Nodes do not read the limit of a target."""
    monkeypatch.setattr(RateLimiter, 'set_rate', lambda *ignored: None)
    for seed in range(1, 6):
        if asyncio.run(run_seed(seed, 2.0)).above_limit > 0:
            return
    pytest.fail('the limit was kept')


def test_the_soak_detects_requests_that_crash_targets(monkeypatch):
    """Nodes do not remember which requests were in progress."""
    monkeypatch.setattr(Quarantine, 'record_death', lambda *ignored: None)
    for seed in range(1, 6):
        if asyncio.run(run_seed(seed, 2.0)).crashes > MAX_CRASHES:
            return
    pytest.fail('no request crashed more targets than is allowed')


def test_the_soak_detects_calls_after_a_leave(monkeypatch):
    """Nodes do not read that a target leaves."""
    names = replace(DEFAULT_HEADER_NAMES, leaving=b'unread')
    monkeypatch.setattr('bench.calls_mesh.HEADER_NAMES', names)
    for seed in range(1, 6):
        if asyncio.run(run_seed(seed, 2.0)).after_leave:
            return
    pytest.fail('no call came after a leave')
