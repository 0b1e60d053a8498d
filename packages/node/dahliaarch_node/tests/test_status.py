"""Tests of the status page."""

from types import SimpleNamespace

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import Moment, Scheduler, SchedulerSettings
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
