"""Tests of the gate of calls with keys, without a network.

They guard against a withdrawn key that is served, and against calls that are
refused although their keys are known to be in force.
"""

import pytest
from loguru import logger

from medlarhoist.core.accounts import digest_key
from medlarhoist.core.compile import Compiled
from medlarhoist.core.confirmation import Confirmations, Contact
from medlarhoist.core.header_names import HeaderNames
from medlarhoist.core.resource import Account, Route
from medlarhoist.core.snapshot import Snapshot
from medlarhoist.node.proxy import account_gate
from medlarhoist.node.proxy.account_gate import AccountGate
from medlarhoist.node.proxy.attempt import Failure
from medlarhoist.node.proxy.running import MAX_LOST, RunningRequests

LEASE_S = 4.5
NAMED = Account(name='studio', key_digests=(digest_key(b'k-1'),))
KNOWN = ((b'authorization', b'Token k-1'),)
UNKNOWN = ((b'authorization', b'Token k-2'),)
COMPILED = Compiled(Snapshot(version=5, accounts=(NAMED,)), '')
ROUTE = Route(name='all', prefix='/', service='s')
FAR = 1e9


class _Gate:
    """A gate with a clock and contacts that a test sets."""

    def __init__(self, monkeypatch, lease_s):
        self.now = 100
        self.confirmations = Confirmations()
        self.running = RunningRequests()
        self.gate = AccountGate(
            HeaderNames(nesting='.'), self.running, self.confirmations, lease_s
        )
        monkeypatch.setattr(account_gate, 'boot_seconds', lambda: self.now)

    def confirm(self, version, at):
        contact = Contact(version=version, sent_ms=0, offset_ms=at * 1000)
        self.confirmations.record(contact)

    def admit(self, headers, route=ROUTE, parent_id=''):
        """Return the account, or the status of the refusal."""
        found = self.gate.admit(COMPILED, route, headers, parent_id)
        return found.status if isinstance(found, Failure) else found


@pytest.fixture(name='gate')
def _gate(monkeypatch):
    return _Gate(monkeypatch, LEASE_S)


def test_keys_are_served_while_the_version_is_confirmed(gate):
    gate.confirm(5, 99)
    assert gate.admit(KNOWN) is NAMED
    assert gate.admit(UNKNOWN) == 401
    gate.now = 103
    assert gate.admit(KNOWN) is NAMED
    # A newer version may have added the key.
    assert gate.admit(UNKNOWN) == 503
    gate.now = 104
    assert gate.admit(KNOWN) == 503
    gate.confirm(5, 103)
    assert gate.admit(KNOWN) is NAMED


def test_no_key_is_called_unknown_by_an_unconfirmed_node(gate):
    """A newer version may have added it."""
    assert gate.admit(UNKNOWN) == 503
    assert gate.admit(()) == 503
    assert (gate.gate.unconfirmed, gate.gate.unknown_keys) == (2, 0)


def test_a_contact_of_a_later_version_does_not_confirm_the_one_in_force(gate):
    gate.confirm(6, 100)
    assert gate.admit(KNOWN) == 503


def test_a_process_that_wakes_finds_its_lease_ended(gate):
    """What was sent to it meanwhile waits in its sockets."""
    gate.confirm(5, 100)
    gate.now += 30
    gate.confirm(5, 101)
    assert gate.admit(KNOWN) == 503


def test_a_refusal_says_that_it_did_not_run_and_when_to_return(gate):
    refusal = gate.gate.admit(COMPILED, ROUTE, KNOWN, '')
    assert refusal.verdict == 'did-not-run'
    assert refusal.return_s > 0


def test_calls_without_keys_need_no_confirmation(gate):
    anonymous = Route(name='open', prefix='/', service='s', anonymous=True)
    assert gate.admit((), anonymous) is None
    gate.running.add('a1', 'studio', FAR)
    assert gate.admit((), parent_id='a1') is None
    assert gate.admit(UNKNOWN, parent_id='a1') == 503


def test_without_a_limit_keys_are_served_for_ever(monkeypatch):
    gate = _Gate(monkeypatch, 0)
    gate.now = FAR
    assert gate.admit(KNOWN) is NAMED
    assert gate.admit(UNKNOWN) == 401


def test_the_log_says_once_that_calls_are_refused_and_names_no_key(gate):
    lines = []
    sink = logger.add(lambda line: lines.append(str(line)), format='{message}')
    for _ in range(3):
        gate.admit(KNOWN)
    gate.confirm(5, 100)
    gate.admit(KNOWN)
    logger.remove(sink)
    assert len(lines) == 2
    assert 'k-1' not in ''.join(lines)


def test_a_lost_request_may_make_calls_until_its_deadline(gate):
    gate.running.add('a1', 'studio', FAR)
    gate.running.end('a1', is_lost=True)
    assert 'a1' not in gate.running
    assert gate.running.find_account('a1') == 'studio'
    gate.running.add('a2', 'studio', 0)
    gate.running.end('a2', is_lost=True)
    assert gate.running.find_account('a2') is None
    gate.running.add('a3', 'studio', FAR)
    gate.running.end('a3', is_lost=False)
    assert gate.running.find_account('a3') is None


def test_few_lost_requests_are_kept(gate):
    for number in range(MAX_LOST + 1):
        gate.running.add(f'r{number}', '', FAR)
        gate.running.end(f'r{number}', is_lost=True)
    assert gate.running.find_account('r0') is None
    assert gate.running.find_account('r1') == ''
