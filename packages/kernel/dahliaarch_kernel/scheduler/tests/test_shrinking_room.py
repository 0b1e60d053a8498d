"""Tests of workers whose capacity shrinks below what their runs use, and grows again."""

from dahliaarch_kernel.scheduler import StartRun
from dahliaarch_kernel.workload import Resources

from .pool import PATIENT, Pool, task, URGENT, WORKER

A, B, C = 'a' * 16, 'b' * 16, 'c' * 16
SHRUNK = Resources(64_000, 262_144, 2)
CPU_ONLY = task(1, accelerators=0)


def resize(pool, capacity):
    pool.profiles['w0'] = pool.profiles['w0']._replace(capacity=capacity)
    pool.scheduler.update_worker(pool.profiles['w0'], pool.now)


def test_a_worker_over_its_capacity_gets_no_starts():
    """Not even a task that needs none of the exhausted resource: the worker would exceed its capacity at the start."""
    pool = Pool(workers=1)
    pool.submit(A, task(6))
    pool.advance()
    resize(pool, SHRUNK)
    pool.submit(B, CPU_ONLY)
    assert not pool.advance(0.1)


def test_no_run_is_preempted_where_work_could_not_start():
    """The runs use six accelerators of two: one was preempted for a CPU-only task, which still could not start."""
    pool = Pool(workers=1)
    pool.submit(A, task(6), queue=PATIENT)
    pool.advance()
    resize(pool, SHRUNK)
    pool.submit(B, CPU_ONLY._replace(demand=Resources(44_000, 16_000, 0)), queue=URGENT)
    pool.advance(0.1)
    stopped = len(pool.stops)
    pool.finish_stops()
    started = [effect for effect in pool.advance(0.1) if isinstance(effect, StartRun) and effect.key.job_id == B]
    assert started or not stopped


def test_runs_that_are_being_stopped_still_use_capacity():
    pool = Pool(workers=1)
    pool.submit(A, task(8), queue=PATIENT)
    pool.advance()
    pool.submit(B, task(2), queue=URGENT)
    pool.advance(0.1)
    assert pool.stops
    resize(pool, Resources(64_000, 262_144, 7))
    assert not [effect for effect in pool.advance(0.1) if isinstance(effect, StartRun)]


def test_capacity_that_grows_again_is_used_at_once():
    pool = Pool(workers=1)
    resize(pool, SHRUNK)
    pool.submit(A, task(4))
    assert len(pool.advance(0.3)) == 2
    resize(pool, WORKER)
    assert len(pool.advance(0.01)) == 2


def disable_capacity_check(pool):
    pool.scheduler.set_services_without_capacity_check({'svc'})
    pool.scheduler.workers_synced(pool.now)


def test_a_worker_without_capacity_check_needs_a_current_entry():
    """Its capacity may have shrunk since its entry was last synced, and it executes every start that it receives."""
    pool = Pool(workers=1)
    disable_capacity_check(pool)
    pool.now_s += 5.0
    pool.submit(A, task(1))
    assert not pool.advance()
    pool.scheduler.workers_synced(pool.now)
    assert pool.advance(0.01)


def test_a_worker_that_checks_capacity_needs_no_synced_entry():
    pool = Pool(workers=1)
    pool.scheduler.set_services_without_capacity_check(set())
    pool.scheduler.workers_synced(pool.now)
    pool.now_s += 60.0
    pool.submit(A, task(1))
    assert pool.advance()
