"""Tests of the command-line tool against an API on loopback."""

import pytest

from medlarhoist.core.api_messages import DomainReport, StatusReport
from medlarhoist.ops.command_line import main
from medlarhoist.ops.exit_code import ExitCode
from medlarhoist.source.api_test import TOKEN, FakeLedger, run_with_api

MANIFEST = """
kind: service
name: seats
current: v1
---
kind: target-version
service: seats
label: v1
---
kind: target-version
service: seats
label: v2
---
kind: route
name: seats
prefix: /seats
service: seats
timeout: 2s
"""
COMPLETE = """kind: service
name: seats
---
kind: service
name: maps
---
kind: limits
idle_timeout: 15s
---
kind: route
name: all
host: shop.example
prefix: /
split:
  - {service: seats, weight: 90}
  - {service: maps, weight: 10}
idempotent: true
attempts: 2
objective: 400ms
priority: 1
"""
MOVE = """
kind: move
name: to-v2
service: seats
old: v1
new: v2
deadline: 60s
"""


DOMAIN = DomainReport(domain='a', nodes=3, active=2, lagging=('n3',))
STATUS = StatusReport(source='s1', leader='s1', version=4, domains=(DOMAIN,))


@pytest.fixture
def run(tmp_path, monkeypatch):
    """Run commands one after another against one ledger.

    Returns the exit codes.
    """
    monkeypatch.setenv('MEDLARHOIST_TOKEN', TOKEN)
    (tmp_path / 'shop.yaml').write_text(MANIFEST)
    (tmp_path / 'move.yaml').write_text(MOVE)
    monkeypatch.chdir(tmp_path)
    ledger = FakeLedger()

    def run_all(*lines):
        def client(address):
            servers = ['--server', address, '--timeout', '2']
            return [main([*line.split(), *servers]) for line in lines]

        return run_with_api(ledger, client, status=lambda: STATUS)

    run_all.ledger = ledger
    return run_all


def test_apply_then_get(run, capsys):
    assert run('apply -f shop.yaml', 'get route seats') == [0, 0]
    output = capsys.readouterr().out
    assert 'accepted: request ' in output
    assert 'route/seats base=1 prefix=/seats service=seats' in output


def test_json_is_printed_on_request(run, capsys):
    run('apply -f shop.yaml --output json')
    assert '"status":"accepted"' in capsys.readouterr().out


def test_a_move_is_shown(run, capsys):
    codes = run('apply -f shop.yaml', 'apply -f move.yaml', 'move to-v2')
    assert codes == [0, 0, 0]
    assert 'move/to-v2 running: seats v1 -> v2 at 0%' in capsys.readouterr().out


def test_deleting_a_move_rolls_it_back(run, capsys):
    codes = run(
        'apply -f shop.yaml',
        'apply -f move.yaml',
        'delete move to-v2',
        'watch --since 0 --until to-v2',
    )
    assert codes == [0, 0, 0, ExitCode.ROLLED_BACK]
    assert 'rolled-back 0%: an operator deleted' in capsys.readouterr().out


def test_a_domain_is_drained_and_taken_back(run, capsys):
    codes = run(
        'drain a', 'drain a', 'drain', 'drain a --end', 'drain a --end', 'drain'
    )
    assert codes == [0] * 6
    output, errors = capsys.readouterr()
    assert 'no domain is left' in errors
    assert output.count('domain-drain/a base=1') == 1
    assert 'domain a is not drained' in output
    assert not run.ledger.state.active.domain_drains


def test_a_domain_that_no_node_has_is_not_drained(run, capsys):
    assert run('drain aa') == [ExitCode.REFUSED]
    assert "known are ['a']" in capsys.readouterr().err
    assert not run.ledger.commands


def test_a_refused_change_is_explained(run, capsys):
    codes = run(
        'delete service seats --request-id request-1',
        'explain request-1',
        'explain request-2',
    )
    assert codes == [ExitCode.REFUSED, ExitCode.REFUSED, ExitCode.NOT_FOUND]
    assert 'service/seats: does not exist' in capsys.readouterr().err


def test_a_file_is_checked_against_the_configuration_in_force(run):
    codes = run(
        'check -f move.yaml', 'apply -f shop.yaml', 'check -f move.yaml'
    )
    assert codes == [ExitCode.REFUSED, 0, 0]
    assert main(['check', '-f', 'shop.yaml']) == 0


def test_a_faulty_file_names_its_line(run, tmp_path, capsys):
    (tmp_path / 'bad.yaml').write_text('kind: service\nname: x\nslot: 3\n')
    assert run('apply -f bad.yaml') == [ExitCode.REFUSED]
    assert 'bad.yaml:3: slot: ' in capsys.readouterr().err
    assert not run.ledger.commands


def test_a_request_without_reply_is_resent(run):
    run.ledger.loses_answers = 3
    assert run('apply -f shop.yaml') == [0]
    assert run.ledger.state.active.version == 1


def test_no_source_is_reachable(run):
    servers = ['--server', '127.0.0.1:1', '--timeout', '0.1']
    assert main(['get', *servers]) == ExitCode.UNREACHABLE
    assert main(['get']) == ExitCode.UNREACHABLE


def test_a_wrong_token_is_refused(run, monkeypatch):
    monkeypatch.setenv('MEDLARHOIST_TOKEN', 'other')
    assert run('get') == [ExitCode.UNAUTHORIZED]


def test_the_status_lists_lagging_nodes(run, capsys):
    assert run('status', 'status --output json') == [0, 0]
    output = capsys.readouterr().out
    assert 's1 leads, version 4 is in force' in output
    assert 'a: 2 of 3 nodes have it; behind: n3' in output
    assert '"lagging"' in output


def test_a_resend_of_a_relative_deadline_gets_the_first_outcome(run, capsys):
    codes = run(
        'apply -f shop.yaml',
        'apply -f move.yaml --request-id request-1',
        'apply -f move.yaml --request-id request-1',
    )
    assert codes == [0, 0, 0]
    lines = capsys.readouterr().out.splitlines()
    assert lines[-4:-2] == lines[-2:]


def test_replace_then_configuration(run, capsys, tmp_path):
    (tmp_path / 'whole.yaml').write_text(COMPLETE)
    first = 'replace -f whole.yaml --revision 3'
    assert run(first, 'configuration', 'get route') == [0, 0, 0]
    output = capsys.readouterr().out
    assert f'# revision 3\n{COMPLETE}' in output
    assert 'host=shop.example' in output
    assert 'attempts=2' in output
    second = 'replace -f whole.yaml --revision 5'
    assert run(second) == [ExitCode.CONFLICT]
