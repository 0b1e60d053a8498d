"""Tests of the metrics and log lines on starts that wait for a slot and on unconfirmed runs."""

from types import SimpleNamespace

import anyio
import pytest

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import Moment, Scheduler, SchedulerSettings, StartRun, WorkerProfile
from dahliaarch_kernel.scheduler.ranks import RANK_ORDINARY, RANK_URGENT
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec, TaskKey
from dahliaarch_node.metrics import Metrics

from .. import start_turns
from ..link_settings import StartLimits
from ..load_gauges import LoadGauges
from ..start_turns import StartLimiter

KEY = TaskKey('a' * 16, 0, 0, 0)


class LimiterHarness:
    """A start limiter of one worker with a global limit of one start per class, and a manual clock."""

    def __init__(self):
        self.now_s = 100.0
        self.metrics = Metrics()
        self.limits = StartLimits(anyio.Semaphore(1), anyio.Semaphore(1))
        context = SimpleNamespace(metrics=self.metrics, start_limits=self.limits, clock=lambda: self.now_s)
        self.queue = StartLimiter(SimpleNamespace(worker_id='w', context=context))

    def metric_value(self, name, **labels):
        return self.metrics.registry.get_sample_value(f'dahliaarch_{name}', labels)

    async def use_slot(self, rank):
        async with self.queue.slot(StartRun('w', KEY, 1, '', rank, 1.0, '')):
            pass

    async def run_starts(self, waited_s, starts=3, rank=RANK_ORDINARY):
        """Let starts wait behind another one while the clock advances; return how many waited."""
        limit = self.limits.urgent if rank == RANK_URGENT else self.limits.other
        queue = 'urgent' if rank == RANK_URGENT else 'other'
        await limit.acquire()
        async with anyio.create_task_group() as tasks:
            for _ in range(starts):
                tasks.start_soon(self.use_slot, rank)
            await anyio.wait_all_tasks_blocked()
            waiting = self.metric_value('waiting_starts', queue=queue)
            self.now_s += waited_s
            limit.release()
        return waiting


@pytest.fixture
def log_lines(monkeypatch):
    events = []
    monkeypatch.setattr(start_turns, 'log_event', lambda event, **fields: events.append((event, fields)))
    return events


@pytest.mark.parametrize(('rank', 'queue'), [(RANK_URGENT, 'urgent'), (RANK_ORDINARY, 'other')])
def test_waits_for_a_slot_are_counted(rank, queue, log_lines):
    harness = LimiterHarness()
    assert anyio.run(harness.run_starts, 0.4, 3, rank) == 3
    assert harness.metric_value('waiting_starts', queue=queue) == 0
    assert harness.metric_value('start_turn_seconds_count', queue=queue) == 3
    assert harness.metric_value('start_turn_seconds_sum', queue=queue) == pytest.approx(1.2)
    assert not log_lines


def test_long_waits_for_a_slot_are_logged_once_a_second(log_lines):
    harness = LimiterHarness()

    async def run():
        await harness.run_starts(1.5)
        await harness.run_starts(1.2)

    anyio.run(run)
    assert [(event, fields['waited_s'], fields['late_starts']) for event, fields in log_lines] == [
        ('start_turn_late', 1.5, 1),
        ('start_turn_late', 1.2, 3),
    ]


def test_a_start_that_is_cancelled_while_it_waits_holds_no_slot():
    harness = LimiterHarness()

    async def run():
        await harness.limits.other.acquire()
        with anyio.move_on_after(0.05):
            await harness.use_slot(RANK_ORDINARY)
        harness.limits.other.release()
        return harness.limits.other.value

    assert anyio.run(run) == 1
    assert harness.metric_value('waiting_starts', queue='other') == 0


def test_slow_workers_are_counted_until_the_owner_is_deposed():
    """Guards against a count that a former owner goes on exporting."""
    now = Moment(1000.0, 0.0)
    scheduler = Scheduler(SchedulerSettings(), 7)
    for name in ('w0', 'w1', 'w2'):
        scheduler.update_worker(WorkerProfile(name, 'svc', 'z', Resources(64_000, 262_144, 8), ('a', 'r0')), now)
    for _ in range(8):
        scheduler.worker_by_id['w0'].pace.observe(0.5)
    scheduler.decide(now)
    harness = LimiterHarness()
    with LoadGauges(scheduler, harness.metrics) as gauges:
        gauges.update(1000.0)
        assert harness.metric_value('slow_workers') == 1
    assert harness.metric_value('slow_workers') == 0


def test_unconfirmed_runs_are_shown_until_confirmed():
    now = Moment(1000.0, 0.0)
    scheduler = Scheduler(SchedulerSettings(), 7)
    scheduler.update_worker(WorkerProfile('w', 'svc', 'z', Resources(64_000, 262_144, 8), ('a', 'r0')), now)
    scheduler.worker_surveyed('w', (), now.steady_s, now)
    step = StepSpec(2, Resources(4000, 16_000, 1), 1.0)
    scheduler.add_job(JobSpec('a' * 16, 'acc', 'q', 'payload', (step,)), Queue('q', 'h', '/o/', 'svc'), now)
    starts = scheduler.decide(now)
    assert len(starts) == 2

    harness = LimiterHarness()
    gauges = LoadGauges(scheduler, harness.metrics)
    with gauges:
        gauges.update(1001.5)
        assert harness.metric_value('unconfirmed_runs') == 2
        assert harness.metric_value('oldest_unconfirmed_run_seconds') == 1.5
        scheduler.run_started('w', starts[0].key, starts[0].run, now)
        gauges.update(1001.6)
        assert harness.metric_value('unconfirmed_runs') == 2
        gauges.update(1002.0)
        assert harness.metric_value('unconfirmed_runs') == 1
        assert harness.metric_value('active_jobs') == 1
    assert harness.metric_value('unconfirmed_runs') == 0
    assert harness.metric_value('active_jobs') == 0
