"""Tests of calls beyond the limit of their account.

They guard against such a call that runs, and against nested calls and calls
of others that are refused with it.
"""

from msgspec.structs import replace

from bench.calls_mesh import Mesh, format_request_head
from bench.calls_static import compile_sample
from medlarhoist.core.accounts import digest_key
from medlarhoist.core.compile import Compiled
from medlarhoist.core.resource import Account

KEY = 'Authorization: Token k-1'
OTHER_KEY = 'Authorization: Token k-2'
SHOP = Account(name='shop', key_digests=(digest_key(b'k-1'),), rate=2)
OTHER = Account(name='other', key_digests=(digest_key(b'k-2'),))


def _compile():
    snapshot = compile_sample().snapshot
    return Compiled(replace(snapshot, accounts=(OTHER, SHOP)), '')


def _refuse_shop(account):
    return 1.25 if account.name == 'shop' else 0


def test_a_call_beyond_the_limit_is_refused_and_told_when_to_return(run_mesh):
    async def scenario(mesh: Mesh):
        node = await mesh.add()
        node.use_account_limits(_refuse_shop)
        refused = await mesh.get(lines=(KEY,))
        other = await mesh.get(lines=(OTHER_KEY,))
        return refused, other, mesh.records[0]

    refused, other, record = run_mesh(scenario, _compile())
    assert (refused.status, other.status) == (429, 200)
    assert refused.headers['retry-after'] == '1.250'
    assert sum(record.ran.values()) == 1


def test_a_call_beyond_the_limit_is_refused_before_its_body(run_mesh):
    async def scenario(mesh: Mesh):
        node = await mesh.add()
        node.use_account_limits(_refuse_shop)
        lines = (KEY, 'Content-Length: 100000')
        return await mesh.send(format_request_head('POST', '/', 'r', lines))

    assert run_mesh(scenario, _compile()).status == 429
