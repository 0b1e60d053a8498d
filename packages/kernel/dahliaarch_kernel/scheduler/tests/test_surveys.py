"""Tests of how the scheduler processes the runs that a worker lists in a survey."""

from dahliaarch_kernel.scheduler.events import LossCause

from .pool import Pool, task

A = 'a' * 16


def test_a_run_without_an_end_that_is_not_listed_is_lost():
    pool = Pool(workers=1)
    pool.submit(A, task())
    pool.advance()
    pool.survey('w0')
    pool.now_s += 1.0
    pool.running.clear()
    pool.survey('w0')
    (note,) = pool.scheduler.take_notes()
    assert (note.worker_id, note.cause) == ('w0', LossCause.NOT_LISTED)
