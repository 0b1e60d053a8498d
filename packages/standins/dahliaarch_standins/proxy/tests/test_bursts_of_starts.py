"""An owner on a slow link starts all that has waited: one eighth of 176 workers over one eighth of 5 Mbit/s.

What happens: after a takeover of an idle pool no worker is contacted, all that was started lapses, and so it
stays for as long as it is watched.

The sequence: the first pass orders 1,400 starts at once, which a link of 5 Mbit/s carries in 1.4 s. The first
try of each waits 0.3 s for its answer, the second and third 0.6 s; they filled the link with what was sent already.
Each start was then taken back by a stop, and these filled the link for good.

The cause: a wait that knows nothing of what is sent before, and repeats that fill the link.
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
TASKS_OF_A_JOB = 24
# Bytes of what a task is told; it runs for longer than is played.
PAYLOAD = '30' + ' ' * 300
QUEUE = Queue('q', 'h.example', '/q/', 'svc')
STEP = StepSpec(TASKS_OF_A_JOB, Resources(1_000, 1_000, 1), 30.0)


async def start_pool(tasks, store):
    """Start the workers, reached over a slow link; return their stand-ins and the store's address."""
    requests_over, answers_over = SlowLink(SLOW_BYTES_PER_S), SlowLink(SLOW_BYTES_PER_S)
    workers = [WorkerStandIn(f'w{number:014d}', 'svc', f'r{number // 12}', store) for number in range(WORKERS)]
    for worker in workers:
        tasks.start_soon(worker.run)
        while not worker.address.port:
            await anyio.sleep(0.001)
        proxy = FaultProxy(worker.address, requests_over=requests_over, answers_over=answers_over)
        worker.published_address = await proxy.listen(tasks)
        worker.publish()
    near_store = FaultProxy(await store.listen(), requests_over=requests_over, answers_over=answers_over)
    return workers, await near_store.listen(tasks)


def test_all_that_has_waited_is_started_once_over_a_slow_link():
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
            assert sum(len(worker.running) for worker in workers) == JOBS * TASKS_OF_A_JOB
            assert sum(len(worker.starts) for worker in workers) < 1.1 * JOBS * TASKS_OF_A_JOB
            tasks.cancel_scope.cancel()
        for worker in workers:
            worker.server.close()
        store.server.close()

    anyio.run(scenario)
