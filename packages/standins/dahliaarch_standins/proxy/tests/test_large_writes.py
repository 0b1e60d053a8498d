"""The owner persists large values over a slow link: the progress of a job of many tasks, and the list of its workers.

Guards against a write that never completes, so that no run's end is acknowledged or shown and the link to the store is
saturated. The timeout of a write started with its first byte and did not depend on its size. A link of 5 Mbit/s
transfers the progress of 20,000 tasks (533 KB as sent) in 0.9 s, but the timeout was 0.6 s; a link of 1 Mbit/s
transfers the list of 1,400 workers (196 KB) in 1.6 s. Each write was abandoned before it was sent completely and was
retried from its first byte, without end.

Also guards against rewriting the whole list whenever one worker is added, removed or starts to drain: ten changes a
second caused 2 MB/s of writes.
"""

import anyio

from dahliaarch_kernel.codec import encode
from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import EndKind, Moment, Scheduler, SchedulerSettings, WorkerProfile
from dahliaarch_kernel.scheduler.events import RunEnd
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec, TaskKey
from dahliaarch_node.owner.barred_jobs import BarredJobs
from dahliaarch_node.owner.held_starts import HeldStarts
from dahliaarch_node.owner.recorder import Recorder
from dahliaarch_node.owner.takeover import read_workers
from dahliaarch_node.records import Member, OWNER_KEY, RosterEntry
from dahliaarch_node.timing import StoreTiming
from dahliaarch_platform.http import HttpClient
from dahliaarch_platform.settings import Address, StoreSettings
from dahliaarch_platform.store import StoreClient
from dahliaarch_standins.platform import StoreStandIn
from dahliaarch_standins.proxy import FaultProxy, SlowLink

TIMING = StoreTiming()
JOB = 'a' * 16
TASK_COUNT = 20_000
WORKER_COUNT = 1_400
# Timeout for a flush to be acknowledged by the store, in seconds.
FLUSH_TIMEOUT_S = 10.0


def roster_entry(number, *, draining=False):
    capacity = Resources(128_000, 262_144, 8)
    labels = ('large-accelerated', f'northern-hall-r{number // 12}')
    profile = WorkerProfile(f'{number:016x}', 'pricing', 'northern-hall', capacity, labels, draining)
    return RosterEntry(profile, Address('10.0.0.1', 8_000))


class RecorderHarness:
    """Runs a recorder whose writes to the store pass through a link of limited bandwidth."""

    def __init__(self, bytes_per_s):
        self.link = SlowLink(bytes_per_s)
        self.scheduler = None
        self.flush_count = 0
        self._store = StoreStandIn()

    async def start(self, tasks):
        address = await self._store.listen()
        self._epoch = self._store.put(OWNER_KEY, encode(Member('i', 'n', 'h', 1)))
        proxy = FaultProxy(address, request_link=self.link)
        self.client = StoreClient(StoreSettings(await proxy.listen(tasks)), HttpClient(), lambda *_: None)
        self.start_recorder(tasks)

    def start_recorder(self, tasks):
        self.scheduler = Scheduler(SchedulerSettings(), self._epoch)
        self.recorder = Recorder(
            self.client,
            TIMING,
            self.scheduler,
            self._epoch,
            held_starts=HeldStarts(lambda held: None),
            barred=BarredJobs(),
            processed_ends=dict,
            on_persisted=self._count_flush,
            on_end_persisted=lambda job_id: None,
            on_evacuated=lambda requests: None,
            on_deposed=lambda: None,
        )
        tasks.start_soon(self.recorder.run)

    async def flush_and_wait(self):
        before = self.flush_count
        self.recorder.flush_requested.set()
        with anyio.fail_after(FLUSH_TIMEOUT_S):
            while self.flush_count == before:
                await anyio.sleep(0.02)

    async def persisted_workers(self):
        return (await read_workers(self.client, TIMING)).roster

    def _count_flush(self, processed_ends):
        self.flush_count += 1


def run_scenario(bytes_per_s, scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            harness = RecorderHarness(bytes_per_s)
            await harness.start(tasks)
            await scenario(harness, tasks)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_the_progress_of_many_tasks_is_persisted_over_5_mbit_s():
    async def scenario(harness, tasks):
        spec = JobSpec(JOB, '', 'q', '', (StepSpec(TASK_COUNT, Resources(1, 1, 1)),))
        harness.scheduler.add_job(spec, Queue('q', 'h', '/', 'svc'), Moment(0.0, 0.0))
        for index in range(TASK_COUNT):
            stopped = RunEnd('w', TaskKey(JOB, 0, 0, index), index + 1, EndKind.STOPPED, f'{index:016x}')
            harness.scheduler.run_ended(stopped, Moment(1.0, 1.0))
        await harness.flush_and_wait()

    run_scenario(600_000, scenario)


def test_the_list_of_1400_workers_is_persisted_over_1_mbit_s():
    async def scenario(harness, tasks):
        harness.recorder.roster = [roster_entry(number) for number in range(WORKER_COUNT)]
        await harness.flush_and_wait()
        assert len(await harness.persisted_workers()) == WORKER_COUNT

    run_scenario(125_000, scenario)


def test_only_changed_workers_are_persisted():
    async def scenario(harness, tasks):
        harness.recorder.roster = [roster_entry(number) for number in range(WORKER_COUNT)]
        await harness.flush_and_wait()
        before = harness.link.transferred_bytes
        harness.recorder.roster = [roster_entry(number, draining=number == 700) for number in range(WORKER_COUNT)]
        await harness.flush_and_wait()
        assert harness.link.transferred_bytes - before < 20_000
        draining_by_worker = {
            entry.profile.worker_id: entry.profile.draining for entry in await harness.persisted_workers()
        }
        assert [worker_id for worker_id, draining in draining_by_worker.items() if draining] == [f'{700:016x}']

    run_scenario(10_000_000, scenario)


def test_workers_known_only_to_a_previous_owner_are_removed():
    async def scenario(harness, tasks):
        harness.recorder.roster = [roster_entry(number) for number in range(WORKER_COUNT)]
        await harness.flush_and_wait()
        harness.start_recorder(tasks)
        harness.recorder.revision_by_key = (await read_workers(harness.client, TIMING)).revision_by_key
        harness.recorder.roster = [roster_entry(0)]
        await harness.flush_and_wait()
        assert await harness.persisted_workers() == (roster_entry(0),)

    run_scenario(10_000_000, scenario)
