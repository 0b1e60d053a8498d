"""Tests of workers that are slow or stalled for some seconds.

Runs were moved although they would have ended in time without a move, often because
the estimate of a job was wrong or because another member of their gang ran on the slow
worker, and healthy workers got no starts for seconds. The stopped runs were repeated
and took capacity from other jobs, which cost 0.017 of net worth.
"""

from dahliaarch_kernel.scheduler import EndKind, Mechanism, SchedulerSettings

from ..variables import is_suspect
from .pool import ORDINARY, PATIENT, Pool, task, URGENT

A, B = 'a' * 16, 'b' * 16


def run_jobs_that_take(pool, queue, work_s, estimate_s, jobs=12, accelerators=1):
    """Run jobs that each take `work_s`, independent of their estimates."""
    for number in range(jobs):
        job_id = f'{number + 300:016x}'
        pool.submit(job_id, task(1, accelerators=accelerators, work_s=estimate_s(number)), queue=queue)
        pool.advance(0.01)
        pool.now_s += work_s
        for _, key in tuple(pool.running):
            pool.end_task_or_gang(key, EndKind.DONE)
    pool.advance(0.01)


def survey_after(pool, percent_by_worker, seconds):
    """Advance the clock and survey each worker with the given progress of its runs."""
    pool.advance(seconds)
    for worker, percent in percent_by_worker.items():
        pool.survey(worker, percent=percent)
    return pool.advance()


def test_a_stalled_run_is_not_moved_when_its_job_has_time():
    pool = Pool(workers=2)
    run_jobs_that_take(pool, ORDINARY, 8.0, lambda number: 8.0)
    pool.submit(A, task(work_s=8.0))
    worker = pool.advance(0.01)[0].worker_id
    for percent in (12.0, 25.0, 25.0, 25.0, 25.0, 25.0, 25.0, 37.0):
        survey_after(pool, {worker: percent}, 1.0)
    assert not pool.stops


def test_a_stalled_urgent_run_is_moved_if_only_that_is_in_time():
    pool = Pool(workers=2)
    run_jobs_that_take(pool, URGENT, 4.0, lambda number: 4.0)
    pool.submit(A, task(work_s=4.0), queue=URGENT)
    worker = pool.advance(0.01)[0].worker_id
    survey_after(pool, {worker: 0.0}, 0.9)
    assert [stop.reason for stop in pool.stops] == ['stalled']
    pool.finish_stops()
    assert pool.advance(0.3)[0].worker_id != worker


def test_an_urgent_run_is_not_moved_if_that_ends_late():
    """After a move it would still end late, and the progress made so far would be lost."""
    pool = Pool(workers=2)
    run_jobs_that_take(pool, URGENT, 2.0, lambda number: 2.0)
    pool.submit(A, task(work_s=2.0), queue=URGENT)
    worker = pool.advance(0.01)[0].worker_id
    for percent in (50.0, 50.0, 50.0):
        survey_after(pool, {worker: percent}, 1.0)
    assert not pool.stops


def test_a_slow_gang_member_makes_no_other_worker_a_suspect():
    pool = Pool(workers=3)
    run_jobs_that_take(pool, ORDINARY, 8.0, lambda number: 8.0)
    pool.submit(A, task(2, accelerators=8, gang=True, work_s=8.0))
    workers = {effect.worker_id for effect in pool.advance(0.01)}
    for percent in (1.0, 3.0, 4.0):
        survey_after(pool, dict.fromkeys(workers, percent), 1.0)
    states = [pool.scheduler.worker_by_id[worker] for worker in workers]
    assert not any(is_suspect(state) for state in states)


def test_a_worker_is_avoided_once_its_own_runs_are_slow():
    pool = Pool(workers=2)
    run_jobs_that_take(pool, PATIENT, 8.0, lambda number: 8.0)
    pool.submit(A, task(2, work_s=8.0), queue=PATIENT)
    slow = pool.advance(0.01)[0].worker_id
    survey_after(pool, {slow: 1.0}, 1.0)
    pool.submit(B, task())
    assert {effect.worker_id for effect in pool.advance(0.01)} == ({'w0', 'w1'} - {slow})


def test_unreliable_estimates_make_no_worker_a_suspect():
    """Estimates of 0.3 to 12 s for tasks of 3 s made workers appear ten times too slow."""
    pool = Pool(workers=1)
    run_jobs_that_take(pool, URGENT, 3.0, lambda number: (0.3, 1.0, 3.0, 12.0)[number % 4], jobs=24)
    pool.submit(A, task(work_s=0.3), queue=URGENT)
    pool.advance(0.01)
    for percent in (30.0, 63.0):
        survey_after(pool, {'w0': percent}, 1.0)
    assert not pool.stops
    assert not is_suspect(pool.scheduler.worker_by_id['w0'])


def test_stalled_runs_are_not_moved_without_the_mechanism():
    without = frozenset((Mechanism.MOVES_OF_STALLED,))
    pool = Pool(workers=2, settings=SchedulerSettings(without=without))
    pool.submit(A, task(work_s=6.0))
    worker = pool.advance()[0].worker_id
    for _ in range(12):
        survey_after(pool, {worker: 5.0}, 1.0)
    assert not pool.stops
