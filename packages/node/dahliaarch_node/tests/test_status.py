"""Tests of the status page."""

from types import SimpleNamespace

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import Moment, Scheduler, SchedulerSettings, WorkerProfile
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec

from ..status import build_status

QUEUE = Queue('ordinary', 'h', '/o/', 'svc', priority=1)
JOB = 'a' * 16


def pool_status(scheduler):
    ownership = SimpleNamespace(owner=None)
    return build_status(
        ownership,
        SimpleNamespace(version=1),
        SimpleNamespace(count_by_call={}),
        SimpleNamespace(scheduler=scheduler),
    )


def test_steps_that_wait_are_shown_by_reason():
    scheduler = Scheduler(SchedulerSettings(), 7)
    step = StepSpec(2, Resources(4000, 16_000, 1), 1.0)
    scheduler.add_job(JobSpec(JOB, 'acc', 'ordinary', 'payload', (step,)), QUEUE, Moment(1000.0, 0.0))
    assert pool_status(scheduler)['waiting_steps'] == []
    for tick in range(10):
        scheduler.decide(Moment(1000.0 + 0.25 * tick, 0.25 * tick))
    assert pool_status(scheduler)['waiting_steps'] == [{'reason': 'no capacity', 'steps': 1}]


def test_accounts_are_shown_with_their_overuse():
    scheduler = Scheduler(SchedulerSettings(), 7)
    now = Moment(1000.0, 1_700_000_000.0)
    profile = WorkerProfile('w0', 'svc', 'east', Resources(64_000, 262_144, 8), ('a', 'r0'))
    scheduler.update_worker(profile, now)
    scheduler.worker_surveyed('w0', (), now.steady_s, now)
    step = StepSpec(1, Resources(4000, 16_000, 8), 60.0)
    for number, account in enumerate(('acc', 'other')):
        scheduler.add_job(JobSpec(f'{number:016x}', account, 'ordinary', 'payload', (step,)), QUEUE, now)
    scheduler.decide(now)
    scheduler.decide(Moment(1000.5, 1_700_000_000.5))
    assert pool_status(scheduler)['accounts'] == [
        {'account': 'acc', 'accelerators': 8, 'overuse_ratio': 2.0, 'overuse_level': 1},
        {'account': 'other', 'accelerators': 0, 'overuse_ratio': 0.0, 'overuse_level': 0},
    ]


def test_evacuated_failure_domains_are_shown_with_their_runs():
    scheduler = Scheduler(SchedulerSettings(), 7)
    now = Moment(1000.0, 1_700_000_000.0)
    profile = WorkerProfile('w0', 'svc', 'east', Resources(64_000, 262_144, 8), ('a', 'r0'))
    scheduler.update_worker(profile, now)
    scheduler.worker_surveyed('w0', (), now.steady_s, now)
    step = StepSpec(2, Resources(4000, 16_000, 1), 1.0)
    scheduler.add_job(JobSpec(JOB, 'acc', 'ordinary', 'payload', (step,)), QUEUE, now)
    for effect in scheduler.decide(now):
        scheduler.run_started(effect.worker_id, effect.key, effect.run, now)
    scheduler.evacuations.replace({'east', 'unknown'}, now)
    status = pool_status(scheduler)
    since = '2023-11-14T22:13:20+00:00'
    assert status['evacuations'] == [
        {'domain': 'east', 'since': since, 'workers': 1, 'runs': 2},
        {'domain': 'unknown', 'since': since, 'workers': 0, 'runs': 0},
    ]
    assert status['workers'][0]['state'] == 'evacuated'
