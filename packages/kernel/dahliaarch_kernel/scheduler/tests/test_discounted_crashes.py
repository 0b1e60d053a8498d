"""Crashes of workers on which a run may not have been any more, or never was."""

import pytest

from dahliaarch_kernel.scheduler import StartRun
from dahliaarch_kernel.workload import TaskKey

from .pool import Pool, task

A = 'a' * 16
TASK = TaskKey(A, 0, 0, 0)
# Starts of a task that crashes workers which its users bear.
MAX_STARTS = 5
WORK_S = 4.0


def order_start(pool):
    """Decide until the task is ordered; return its start, which nobody has answered."""
    for _ in range(20):
        pool.now_s += 0.5
        starts = [effect for effect in pool.scheduler.decide(pool.now) if isinstance(effect, StartRun)]
        if starts:
            return starts[0]
        for worker_id in sorted(pool.profiles):
            pool.survey(worker_id)
        pool.keep_progress()
    return None


def crash_without_starting(pool):
    """Let a worker answer a survey without the run that it was sent, and crash."""
    start = order_start(pool)
    pool.now_s += 0.5
    pool.survey(start.worker_id)
    pool.crash(start.worker_id)


def crash_after_end(pool):
    """Let a worker fall silent, and crash when its run must have ended."""
    start = order_start(pool)
    pool.scheduler.run_started(start.worker_id, start.key, start.run, pool.now)
    pool.running[start.worker_id, start.key] = start.run
    pool.now_s += WORK_S / 2
    pool.survey(start.worker_id)
    pool.now_s += WORK_S
    pool.crash(start.worker_id)


def crash_under_task(pool):
    """Let a worker crash as soon as it has started the task."""
    start = order_start(pool)
    pool.scheduler.run_started(start.worker_id, start.key, start.run, pool.now)
    pool.scheduler.worker_silent(start.worker_id, pool.now)
    # Its next incarnation answers long after the run would have ended.
    pool.now_s += 2 * WORK_S
    pool.crash(start.worker_id)


def crash_before_answer(pool):
    """Let a worker crash as soon as it has started the task, before it could answer."""
    pool.crash(order_start(pool).worker_id)


def phase(pool):
    return pool.scheduler.job_by_id[A].phase


@pytest.mark.parametrize('crash', [crash_without_starting, crash_after_end])
def test_a_job_is_not_failed_for_crashes_at_which_its_task_may_not_have_run(crash):
    # Two such crashes and one under the task were three, and the job was shown as failed.
    pool = Pool()
    pool.submit(A, task(1, work_s=WORK_S))
    crash(pool)
    crash(pool)
    crash_under_task(pool)
    assert order_start(pool)
    assert phase(pool) != 'failed'


@pytest.mark.parametrize('crash', [crash_under_task, crash_before_answer])
def test_crashes_right_after_a_start_are_not_discounted(crash):
    pool = Pool()
    pool.submit(A, task(1, work_s=WORK_S))
    for _ in range(3):
        crash(pool)
    assert order_start(pool) is None
    assert phase(pool) == 'failed'


@pytest.mark.parametrize('crash', [crash_without_starting, crash_after_end])
def test_a_task_whose_crashes_are_all_uncertain_is_not_started_forever(crash):
    pool = Pool()
    pool.submit(A, task(1, work_s=WORK_S))
    for _ in range(MAX_STARTS):
        crash(pool)
    assert order_start(pool) is None
    assert phase(pool) == 'failed'
