"""Starts all waiting tasks at once from an owner on a slow link.

The scale is one eighth of a deployment with 176 workers and a link of 5 Mbit/s.

Failure: after the takeover of an idle pool no worker is reached, every started run lapses, and the pool does not
recover for as long as it is observed.

How it comes about: the first pass orders 1,400 starts at once, which a link of 5 Mbit/s transmits in 1.4 s. The first
attempt of each times out after 0.3 s, the second and third after 0.6 s, and these retries saturate the link with
requests that were already sent. Each start is then revoked by a stop, and the stops keep the link saturated.

Cause: a timeout that ignores the data queued before the request, and retries that saturate the link.
"""

import time

import anyio

from dahliaarch_kernel.codec import encode
from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec
from dahliaarch_node.metrics import Metrics
from dahliaarch_node.owner import PoolOwner
from dahliaarch_node.owner.settings import OwnerSettings
from dahliaarch_node.records import job_key, JobRecord, Member, OWNER_KEY
from dahliaarch_node.timing import StoreTiming
from dahliaarch_platform.http import HttpClient
from dahliaarch_platform.sessions import WorkerClient
from dahliaarch_platform.settings import Bounds, StoreSettings
from dahliaarch_platform.store import StoreClient
from dahliaarch_standins.platform import StoreStandIn, WorkerStandIn
from dahliaarch_standins.proxy import FaultProxy, SlowLink

SLOW_BYTES_PER_S = 75_000
WORKERS = 22
JOBS = 7
TASKS_PER_JOB = 24
# Payload of a task, about 300 bytes; the task runs for longer than the test.
PAYLOAD = '30' + ' ' * 300
QUEUE = Queue('q', 'h.example', '/q/', 'svc')
STEP = StepSpec(TASKS_PER_JOB, Resources(1_000, 1_000, 1), 30.0)


async def start_pool(tasks, store):
    """Start the workers behind a slow link; return their stand-ins and the address of the store behind it."""
    request_link, answer_link = SlowLink(SLOW_BYTES_PER_S), SlowLink(SLOW_BYTES_PER_S)
    workers = [WorkerStandIn(f'w{number:014d}', 'svc', f'r{number // 12}', store) for number in range(WORKERS)]
    for worker in workers:
        tasks.start_soon(worker.run)
        while not worker.address.port:
            await anyio.sleep(0.001)
        proxy = FaultProxy(worker.address, request_link=request_link, answer_link=answer_link)
        worker.published_address = await proxy.listen(tasks)
        worker.publish()
    store_proxy = FaultProxy(await store.listen(), request_link=request_link, answer_link=answer_link)
    return workers, await store_proxy.listen(tasks)


def test_all_waiting_tasks_are_started_once_over_a_slow_link():
    async def scenario():
        store = StoreStandIn()
        for number in range(JOBS):
            job_id = f'{number:016x}'
            spec = JobSpec(job_id, 'account', QUEUE.name, PAYLOAD, (STEP,), accepted_s=time.time())
            store.put(job_key(job_id), encode(JobRecord(spec, QUEUE)))
        async with anyio.create_task_group() as tasks:
            workers, address = await start_pool(tasks, store)
            client = StoreClient(StoreSettings(address), HttpClient(), lambda *_: None)
            epoch = store.put(OWNER_KEY, encode(Member('i', 'n', 'h', 1)))
            settings = OwnerSettings(epoch, Bounds(max_hold_s=6.0), StoreTiming())
            owner = PoolOwner(settings, client, WorkerClient(HttpClient()), list, Metrics())
            tasks.start_soon(owner.run)
            await anyio.sleep(10)
            assert sum(len(worker.running) for worker in workers) == JOBS * TASKS_PER_JOB
            assert sum(len(worker.starts) for worker in workers) < 1.1 * JOBS * TASKS_PER_JOB
            tasks.cancel_scope.cancel()
        for worker in workers:
            worker.server.close()
        store.server.close()

    anyio.run(scenario)
