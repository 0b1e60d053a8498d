"""Takes over a pool with thousands of jobs, over a slow link and from a store that refuses calls.

Failures: a takeover never completes, the owner never learns of some jobs, and the work of healthy workers is lost.

How they come about:

- The new owner lists the records page by page. When the store refused one page, or its answer was lost, all pages were
  read again. With a third of the calls refused, twenty pages in a row succeed once in 5,000 attempts.
- The records then passed through a queue of 10,000 messages that was not read meanwhile, and the excess was dropped. A
  watch does not deliver a listed job again.
- While the pages were transferred (3.4 MB take 5.7 s on a link of 5 Mbit/s), the leases of the workers, which had 3 s
  left, were not renewed, and all their runs lapsed.

Cause: a retry that starts from the beginning, and limits (the length of a queue, a lease) that ignore the size of the
data being read.
"""

from contextlib import asynccontextmanager

import anyio

from dahliaarch_kernel.codec import encode
from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec, TaskKey
from dahliaarch_node.metrics import Metrics
from dahliaarch_node.owner import PoolOwner
from dahliaarch_node.owner.settings import OwnerSettings
from dahliaarch_node.records import cancel_key, job_key, JobRecord, Member, OWNER_KEY
from dahliaarch_node.timing import StoreTiming
from dahliaarch_platform.http import HttpClient
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.sessions import WorkerClient
from dahliaarch_platform.settings import Bounds, StoreSettings
from dahliaarch_platform.store import StoreClient
from dahliaarch_platform.workers import StartOrder
from dahliaarch_standins.platform import StoreStandIn, WorkerStandIn
from dahliaarch_standins.proxy import FaultProxy, SlowLink

# A link of 5 Mbit/s.
SLOW_BYTES_PER_S = 600_000
# Ten thousand jobs fill twenty pages.
MANY_JOBS = 10_000
QUEUE = Queue('q', 'h.example', '/q/', 'svc')
STEP = StepSpec(1, Resources(1_000, 1_000, 1), 1.0)


def put_jobs(store, count, payload='30'):
    for number in range(count):
        job_id = f'{number:016x}'
        spec = JobSpec(job_id, 'account', QUEUE.name, payload, (STEP,), accepted_s=1.0)
        store.put(job_key(job_id), encode(JobRecord(spec, QUEUE)))


@asynccontextmanager
async def owner_taking_over(store, *, hold_s=6.0, answer_link=None):
    """Run an owner that takes over the records of a store."""
    address = await store.listen()
    async with anyio.create_task_group() as tasks:
        proxy = FaultProxy(address, answer_link=answer_link)
        client = StoreClient(StoreSettings(await proxy.listen(tasks)), HttpClient(), lambda *_: None)
        epoch = store.put(OWNER_KEY, encode(Member('i', 'n', 'h', 1)))
        settings = OwnerSettings(epoch, Bounds(max_hold_s=hold_s), StoreTiming())
        owner = PoolOwner(settings, client, WorkerClient(HttpClient()), list, Metrics())
        tasks.start_soon(owner.run)
        yield owner
        tasks.cancel_scope.cancel()
    store.server.close()


async def wait_until_ready(owner, within_s):
    with anyio.fail_after(within_s):
        while not owner.is_ready:
            await anyio.sleep(0.02)


def test_a_takeover_completes_beside_refused_store_calls():
    async def scenario():
        store = StoreStandIn()
        put_jobs(store, MANY_JOBS)
        store.faults.refused_share = 0.35
        async with owner_taking_over(store) as owner:
            await wait_until_ready(owner, within_s=20)
            assert len(owner.scheduler.job_by_id) == MANY_JOBS

    anyio.run(scenario)


def test_every_job_is_known_after_a_takeover_of_many_jobs():
    async def scenario():
        store = StoreStandIn()
        put_jobs(store, MANY_JOBS + 50)
        # Cancellations are listed last.
        store.put(cancel_key(f'{7:016x}'), b'')
        async with owner_taking_over(store) as owner:
            await wait_until_ready(owner, within_s=20)
            assert len(owner.scheduler.job_by_id) == MANY_JOBS + 50
            assert owner.scheduler.job_by_id[f'{7:016x}'].has_ended

    anyio.run(scenario)


def test_runs_survive_a_takeover_longer_than_their_leases():
    async def scenario():
        store = StoreStandIn()
        put_jobs(store, 2_000, payload='30' + ' ' * 1_000)
        worker = WorkerStandIn('w0', 'svc', 'r0', store)
        key = TaskKey(f'{1:016x}', 0, 0, 0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(worker.run)
            while not worker.address.port:
                await anyio.sleep(0.01)
            async with owner_taking_over(store, hold_s=3.0, answer_link=SlowLink(SLOW_BYTES_PER_S)) as owner:
                # A run started by the previous owner, and the end of the lease as that owner last renewed it.
                lease_until_s = anyio.current_time() + 3.0
                order = StartOrder(key, 1, '30', lease_until_s)
                await (
                    WorkerClient(HttpClient())
                    .session(worker.address, WorkerIncarnation('w0'), 0)
                    .start(order, timeout_s=1.0)
                )
                await wait_until_ready(owner, within_s=20)
                assert not worker.ends
                assert set(worker.running.values()) == {1}
            tasks.cancel_scope.cancel()
        worker.server.close()

    anyio.run(scenario)
