"""Tests of how the scheduler processes the runs that a worker lists in a survey."""

from dahliaarch_kernel.scheduler import EndKind, StartRun
from dahliaarch_kernel.scheduler.events import LossCause
from dahliaarch_kernel.workload import TaskKey

from .pool import Pool, task, URGENT, WORKER

A = 'a' * 16
B = 'b' * 16


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


def test_a_run_that_a_full_list_of_ends_leaves_out_is_not_lost():
    # It had ended done, and started again while its end waited behind 500 others.
    pool = Pool(workers=2)
    pool.submit(A, task())
    (start,) = pool.advance()
    pool.survey(start.worker_id)
    pool.now_s += 1.0
    pool.running.clear()
    pool.survey(start.worker_id, is_complete=False)
    assert not pool.scheduler.take_notes()
    assert not [effect for effect in pool.scheduler.decide(pool.now) if isinstance(effect, StartRun)]
    pool.end(start.worker_id, start.key, start.run, EndKind.DONE)
    pool.survey(start.worker_id)
    assert pool.scheduler.job_by_id[A].has_succeeded()


def test_a_run_of_an_ended_job_holds_its_capacity_until_it_is_gone():
    # A new owner started tasks beside runs of a cancelled job that were still being stopped, over the capacity.
    pool = Pool(workers=1)
    pool.submit(A, task(1, accelerators=8))
    pool.scheduler.cancel(A, pool.now)
    key = TaskKey(A, 0, 0, 0)
    pool.running['w0', key] = 5
    pool.survey('w0')
    pool.submit(B, task(1, accelerators=8))
    (stop,) = pool.advance()
    assert (stop.worker_id, stop.key, stop.run) == ('w0', key, 5)
    pool.end('w0', key, 5, EndKind.STOPPED)
    pool.survey('w0')
    assert [start.key.job_id for start in pool.advance()] == [B]


def test_a_run_of_a_task_that_runs_elsewhere_counts_against_the_limit_per_worker():
    # A run that was being stopped since its task runs elsewhere was not counted, and another task of the step
    # started beside it.
    pool = Pool(workers=2)
    pool.submit(A, task(2, accelerators=8, max_per_worker=1))
    pool.submit(B, task(1, accelerators=8), queue=URGENT)
    starts = pool.advance()
    urgent = next(start for start in starts if start.key.job_id == B)
    running = next(start for start in starts if start.key.job_id == A)
    pool.running[urgent.worker_id, running.key] = running.run + 1
    pool.scheduler.update_worker(pool.profiles[urgent.worker_id]._replace(capacity=WORKER.times(2)), pool.now)
    pool.survey(urgent.worker_id)
    assert not [effect for effect in pool.scheduler.decide(pool.now) if isinstance(effect, StartRun)]
    del pool.running[urgent.worker_id, running.key]
    pool.survey(urgent.worker_id)
    assert len([effect for effect in pool.scheduler.decide(pool.now) if isinstance(effect, StartRun)]) == 1
