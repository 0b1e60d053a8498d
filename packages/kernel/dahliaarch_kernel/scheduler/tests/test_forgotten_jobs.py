"""Tests that the memory of a job is freed once the scheduler forgets the job after its end."""

import gc
import weakref

from dahliaarch_kernel.scheduler import EndKind

from .pool import end_all_runs, Pool, task

A = 'a' * 16


def test_a_forgotten_job_is_freed_without_a_garbage_collection():
    # The garbage collector skips frozen objects, so a reference cycle through the job would never be freed.
    pool = Pool()
    pool.submit(A, task(2), task(1, after=(0,)))
    pool.advance()
    end_all_runs(pool, A, EndKind.DONE)
    pool.advance()
    end_all_runs(pool, A, EndKind.DONE)
    pool.save_progress()
    job = weakref.ref(pool.scheduler.job_by_id[A])
    assert job().has_ended
    gc.disable()
    try:
        pool.scheduler.forget_job(A)
        pool.advance(1.0)
        assert job() is None
    finally:
        gc.enable()
