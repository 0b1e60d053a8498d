"""Tests that unanswered starts delay neither starts on other workers nor their own tasks for long."""

import anyio
import pytest

from dahliaarch_kernel.scheduler import EndKind, Lease, StartRun
from dahliaarch_kernel.scheduler.events import ListedRun, RunEnd
from dahliaarch_kernel.scheduler.ranks import RANK_ORDINARY
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_node.metrics import Metrics
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address
from dahliaarch_platform.workers import ListedEnd, OrderReply, OrderStatus, Survey, WorkerUnansweredError

from ..link_settings import LinkContext, LinkSettings, StartLimits
from ..links import WorkerLink
from ..messages import RunRuledOut, StartAcknowledged, WorkerSurveyed
from .sessions import InMemorySessions

START_LIMIT = 32
# Accelerators per worker, each of which gets one task.
ACCELERATORS = 8
# Time within which a ready task must start if the pool has capacity for it, in seconds.
MAX_STALL_S = 3.0
# Part of that time reserved for a start on another worker, in seconds.
RETRY_START_S = 0.5
# Number of workers that leave starts unanswered; the pool that this models has 176 workers.
UNRESPONSIVE_WORKERS = 22
JOB_ID = 'a' * 16


class Worker(InMemorySessions):
    """A worker that answers surveys, and orders if configured; it executes delayed starts within their lease."""

    def __init__(self, *, answers_starts=False, answers_stops=False, start_delay_s=None, work_s=60.0):
        self.answers_starts = answers_starts
        self.answers_stops = answers_stops
        self.start_delay_s = start_delay_s
        self.work_s = work_s
        self.ended = []
        self.highest = 0
        self.running = {}
        self.stopped = set()
        self.tasks = None

    async def survey(self, *_, wait_s, acknowledged, **options):
        await anyio.sleep(0.001)
        with anyio.move_on_after(wait_s):
            while len(self.ended) <= acknowledged:
                await anyio.sleep(0.01)
        running = tuple(ListedRun(key, run, '', 0.0) for key, run in self.running.items())
        ended = tuple(ListedEnd(number, end) for number, end in enumerate(self.ended, 1) if number > acknowledged)
        return Survey(anyio.current_time(), running, ended)

    async def start(self, address, worker_id, order, *, fence, timeout_s):
        if self.answers_starts:
            await anyio.sleep(0.002)
            self.running[order.key] = order.run
            return OrderReply(OrderStatus.DONE, anyio.current_time())
        if self.start_delay_s is not None:
            self.tasks.start_soon(self._start_delayed, order)
        await anyio.sleep(timeout_s)
        raise WorkerUnansweredError('silent')

    async def _start_delayed(self, order):
        await anyio.sleep(self.start_delay_s)
        is_stopped = (order.key, order.run) in self.stopped
        if anyio.current_time() >= order.lease_until_s or is_stopped or order.run <= self.highest:
            return
        self.highest = order.run
        self.running[order.key] = order.run
        await anyio.sleep(self.work_s)
        if self.running.pop(order.key, None):
            self.ended.append(RunEnd('w0', order.key, order.run, EndKind.DONE))

    async def stop(self, address, worker_id, key, run, fence, *, timeout_s):
        if not self.answers_stops:
            await anyio.sleep(timeout_s)
            raise WorkerUnansweredError('silent')
        self.stopped.add((key, run))
        if self.running.pop(key, None):
            self.ended.append(RunEnd('w0', key, run, EndKind.STOPPED))
        return OrderReply(OrderStatus.DONE, anyio.current_time())


def make_start(worker_id, number):
    key = TaskKey(JOB_ID, 0, 0, number)
    return StartRun(worker_id, key, number + 1, '', RANK_ORDINARY, 1.0, '')


class Pool:
    """Links to workers and the times of the messages that they post."""

    def __init__(self, workers):
        self.workers = workers
        self.posted_at_s = {}
        self._limits = StartLimits(anyio.Semaphore(START_LIMIT), anyio.Semaphore(START_LIMIT))
        self.links = [self._link(number, worker) for number, worker in enumerate(workers)]

    def run_in(self, tasks):
        for worker, link in zip(self.workers, self.links, strict=True):
            worker.tasks = tasks
            tasks.start_soon(link.run)

    async def wait_posted(self, message, timeout_s):
        """Return when a message was posted, or None after the timeout."""
        with anyio.move_on_after(timeout_s):
            while message not in self.posted_at_s:
                await anyio.sleep(0.005)
        return self.posted_at_s.get(message)

    def _post(self, message):
        if isinstance(message, WorkerSurveyed):
            self.links[int(message.worker_id[1:])].acknowledge(message.last_end)
        if isinstance(message, RunRuledOut | StartAcknowledged):
            self.posted_at_s.setdefault(message, anyio.current_time())

    def _link(self, number, worker):
        settings = LinkSettings(lease_s=6.0)
        context = LinkContext(
            worker, 1, settings, Metrics(), self._post, lambda: None, anyio.current_time, self._limits
        )
        return WorkerLink(WorkerIncarnation(f'w{number}'), Address('h', 1), Lease(), context)


def run_scenario(workers, scenario):
    async def run():
        pool = Pool(workers)
        async with anyio.create_task_group() as tasks:
            pool.run_in(tasks)
            await anyio.sleep(0.1)
            await scenario(pool)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_starts_do_not_wait_for_slots_of_unresponsive_workers():
    workers = [Worker(answers_stops=True) for _ in range(UNRESPONSIVE_WORKERS)]
    workers.append(Worker(answers_starts=True))

    async def scenario(pool):
        begun_s = anyio.current_time()
        for number, link in enumerate(pool.links):
            for index in range(ACCELERATORS):
                link.start(make_start(f'w{number}', number * ACCELERATORS + index), '')
        last = make_start(f'w{UNRESPONSIVE_WORKERS}', UNRESPONSIVE_WORKERS * ACCELERATORS + ACCELERATORS - 1)
        posted_s = await pool.wait_posted(StartAcknowledged(last.worker_id, last.key, last.run), 10.0)
        assert posted_s is not None
        assert posted_s - begun_s < 1.0

    run_scenario(workers, scenario)


def test_starts_behind_unanswered_ones_are_ruled_out_in_time():
    """Their tasks could run on other workers meanwhile."""

    async def scenario(pool):
        begun_s = anyio.current_time()
        starts = [make_start('w0', index) for index in range(3 * ACCELERATORS)]
        for start in starts:
            pool.links[0].start(start, '')
        for start in starts:
            ruled_out = RunRuledOut('w0', start.key, start.run)
            posted_s = await pool.wait_posted(ruled_out, MAX_STALL_S)
            assert posted_s is not None
            assert posted_s - begun_s < MAX_STALL_S - RETRY_START_S

    run_scenario([Worker(answers_stops=True)], scenario)


@pytest.mark.parametrize('answers_stops', [True, False])
def test_an_unanswered_start_is_given_up_once_it_can_not_begin(answers_stops):
    """If stops were not answered either, it blocked its task and occupied capacity forever."""

    async def scenario(pool):
        begun_s, start = anyio.current_time(), make_start('w0', 0)
        pool.links[0].start(start, '')
        posted_s = await pool.wait_posted(RunRuledOut('w0', start.key, start.run, EndKind.REFUSED), 2 * MAX_STALL_S)
        assert posted_s is not None
        assert posted_s - begun_s < MAX_STALL_S - RETRY_START_S

    run_scenario([Worker(answers_stops=answers_stops)], scenario)


@pytest.mark.parametrize('start_delay_s', [0.5, 1.4, 1.9, 2.5])
def test_a_run_that_started_late_is_not_given_up(start_delay_s):
    """Only an acknowledged stop or the end of its lease rules out that a delayed start still takes effect."""
    worker = Worker(start_delay_s=start_delay_s)

    async def scenario(pool):
        start = make_start('w0', 0)
        pool.links[0].start(start, '')
        await anyio.sleep(4.0)
        has_started = start.key in worker.running
        is_given_up = any(isinstance(message, RunRuledOut) for message in pool.posted_at_s)
        assert has_started is not is_given_up

    run_scenario([worker], scenario)


@pytest.mark.parametrize('answers_stops', [True, False])
@pytest.mark.parametrize('start_delay_s', [0.0, 0.4])
def test_a_run_with_a_listed_end_is_not_stopped_or_given_up(answers_stops, start_delay_s):
    """Its start got no answer, but the survey shows its outcome."""
    worker = Worker(answers_stops=answers_stops, start_delay_s=start_delay_s, work_s=0.05)

    async def scenario(pool):
        pool.links[0].start(make_start('w0', 0), '')
        await anyio.sleep(4.0)
        assert not worker.stopped
        assert not any(isinstance(message, RunRuledOut) for message in pool.posted_at_s)

    run_scenario([worker], scenario)
