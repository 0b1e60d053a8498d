"""The owner notices a draining worker promptly while thousands of workers update their entries.

Guards against starting tasks on a worker that is about to leave: the owner learnt that a worker was draining more than
5 s after the store had acknowledged the update, and tasks that it started there meanwhile were lost with the worker.

Each worker writes its entry every 1.5 s. The owner paused for 0.4 s after each answer to its watch, however many
updates were pending, and the store returns at most 500 updates per answer. Above about 1,000 updates a second every
answer was full and the owner fell further behind, until the store had discarded the updates that came next.
"""

import anyio
import msgspec

from dahliaarch_node.owner.feeds import FeedContext, WorkersFeed
from dahliaarch_node.owner.messages import WorkerListed
from dahliaarch_node.timing import StoreTiming
from dahliaarch_platform.http import HttpClient
from dahliaarch_platform.settings import StoreSettings
from dahliaarch_platform.store import StoreClient, WORKERS_PREFIX
from dahliaarch_standins.platform import StoreStandIn

WORKER_COUNT = 3_600
HEARTBEAT_S = 1.5
# Interval between batches of entry writes, in seconds.
WRITE_INTERVAL_S = 0.05
# How long the owner watches the entries before a worker starts to drain, in seconds.
WATCH_BEFORE_DRAIN_S = 4.0
# A draining worker must receive no new tasks after 2 s; half of that is reserved for scheduling decisions.
NOTICE_TIMEOUT_S = 1.0


def encode_entry(state, seq):
    return msgspec.json.encode(
        {
            'Service': 'svc',
            'Addr': '127.0.0.1:1',
            'Zone': 'z',
            'Version': 'v1',
            'Slots': 8,
            'State': state,
            'Capacity': {'Cpu': 64_000, 'MemMb': 262_144, 'Gpu': 8},
            'Labels': ['a', 'r0'],
            'Seq': seq,
        }
    )


async def write_entries(store):
    """Write each entry except that of `w0` once per heartbeat interval, in batches."""
    seq = 0
    while True:
        for _ in range(int(WORKER_COUNT * WRITE_INTERVAL_S / HEARTBEAT_S)):
            seq += 1
            number = seq % WORKER_COUNT
            if number:
                store.put(f'{WORKERS_PREFIX}w{number}', encode_entry('ready', seq))
        await anyio.sleep(WRITE_INTERVAL_S)


def test_a_draining_worker_is_noticed_however_many_others_write():
    draining_ids = []

    def post(message):
        if isinstance(message, WorkerListed) and message.profile.draining:
            draining_ids.append(message.profile.worker_id)

    async def scenario():
        store = StoreStandIn()
        address = await store.listen()
        client = StoreClient(StoreSettings(address), HttpClient(), lambda *_: None)
        feed = WorkersFeed(FeedContext(client, StoreTiming(), post))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(feed.run, 0)
            tasks.start_soon(write_entries, store)
            await anyio.sleep(WATCH_BEFORE_DRAIN_S)
            store.put(f'{WORKERS_PREFIX}w0', encode_entry('draining', 1))
            with anyio.move_on_after(NOTICE_TIMEOUT_S):
                while not draining_ids:
                    await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
        store.server.close()

    anyio.run(scenario)
    assert draining_ids == ['w0']
