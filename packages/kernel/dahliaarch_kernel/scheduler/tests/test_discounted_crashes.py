"""Tests of crashes of workers on which a run may have ended already, or may never have started."""

import pytest

from dahliaarch_kernel.scheduler import StartRun
from dahliaarch_kernel.workload import TaskKey

from .pool import Pool, task

A = 'a' * 16
TASK = TaskKey(A, 0, 0, 0)
# Maximum number of starts of a task that crashes workers.
MAX_STARTS = 5
WORK_S = 4.0


def order_start(pool):
    """Run scheduling passes until the task is started; return the unacknowledged start, or None after 20 passes."""
    for _ in range(20):
        pool.now_s += 0.5
        starts = [effect for effect in pool.scheduler.decide(pool.now) if isinstance(effect, StartRun)]
        if starts:
            return starts[0]
        for worker_id in sorted(pool.profiles):
            pool.survey(worker_id)
        pool.save_progress()
    return None


def crash_without_starting(pool):
    """Crash a worker after a survey that does not list the run ordered there."""
    start = order_start(pool)
    pool.now_s += 0.5
    pool.survey(start.worker_id)
    pool.crash(start.worker_id)


def crash_after_end(pool):
    """Crash a worker that was last surveyed while the task ran, after the expected end of the run."""
    start = order_start(pool)
    pool.scheduler.run_started(start.worker_id, start.key, start.run, pool.now)
    pool.running[start.worker_id, start.key] = start.run
    pool.now_s += WORK_S / 2
    pool.survey(start.worker_id)
    pool.now_s += WORK_S
    pool.crash(start.worker_id)


def crash_under_task(pool):
    """Crash a worker right after it has acknowledged the start of the task."""
    start = order_start(pool)
    pool.scheduler.run_started(start.worker_id, start.key, start.run, pool.now)
    pool.scheduler.worker_silent(start.worker_id, pool.now)
    # The next incarnation answers long after the expected end of the run.
    pool.now_s += 2 * WORK_S
    pool.crash(start.worker_id)


def crash_before_answer(pool):
    """Crash a worker right after the start of the task, before it could acknowledge it."""
    pool.crash(order_start(pool).worker_id)


def phase(pool):
    return pool.scheduler.job_by_id[A].phase


@pytest.mark.parametrize('crash', [crash_without_starting, crash_after_end])
def test_a_job_is_not_failed_for_crashes_elsewhere(crash):
    # Two such crashes used to count like the one under the task: three in all, and the job was shown as failed.
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
def test_a_task_with_uncertain_crashes_is_not_started_forever(crash):
    pool = Pool()
    pool.submit(A, task(1, work_s=WORK_S))
    for _ in range(MAX_STARTS):
        crash(pool)
    assert order_start(pool) is None
    assert phase(pool) == 'failed'
