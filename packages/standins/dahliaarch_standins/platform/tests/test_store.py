"""Tests of the stand-in for the store."""

import base64

import anyio
import msgspec

from dahliaarch_platform.http import HttpClient
from dahliaarch_standins.platform import StoreStandIn


async def commit(store, body):
    reply = await HttpClient().call(await store.listen(), 'POST', '/kv-txn', msgspec.json.encode(body), timeout_s=2.0)
    store.server.close()
    return msgspec.json.decode(reply.body)


def test_all_changes_of_a_transaction_share_its_revision():
    """Each removal had a revision of its own, so that the next write of a key written with it failed once."""
    store = StoreStandIn()
    store.put('a', b'')
    store.put('b', b'')
    write = {'Key': 'c', 'Value': base64.b64encode(b'x').decode(), 'Lease': 0}
    answer = anyio.run(commit, store, {'Writes': [write], 'Remove': ['a', 'b']})
    assert answer['Revision'] == store.revision == 3
    assert store._item_by_key['c']['Revision'] == 3
