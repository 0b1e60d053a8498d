"""Tests that workers that are warming up are used last, and not taken for slow ones."""

from .pool import end_all_runs, PATIENT, Pool, task

JOB = 'a' * 16
COLD_S = 8.0


def pool_with_cold_worker(workers=4):
    pool = Pool(workers)
    pool.scheduler.update_worker(pool.profiles['w0'], pool.now, COLD_S)
    return pool


def test_a_cold_worker_is_used_last_until_it_is_warm():
    pool = pool_with_cold_worker()
    pool.submit(JOB, task(3, accelerators=8))
    pool.advance()
    assert {worker for worker, _ in pool.running} == {'w1', 'w2', 'w3'}
    end_all_runs(pool, JOB)
    pool.advance(COLD_S)
    assert not pool.scheduler.worker_by_id['w0'].is_cold


def test_a_cold_worker_is_used_when_no_other_has_capacity():
    pool = pool_with_cold_worker()
    pool.submit(JOB, task(4, accelerators=8))
    pool.advance()
    assert len(pool.running) == 4


def test_a_repeated_report_does_not_keep_a_worker_cold():
    pool = pool_with_cold_worker()
    pool.advance(COLD_S - 1.0)
    pool.scheduler.update_worker(pool.profiles['w0'], pool.now, COLD_S)
    pool.advance(1.0)
    assert not pool.scheduler.worker_by_id['w0'].is_cold


def test_slow_progress_on_a_cold_worker_is_no_sign_of_a_slow_one():
    pool = pool_with_cold_worker(2)
    for number in range(8):
        pool.submit(f'{number:016x}', task(8, accelerators=2, work_s=4.0), queue=PATIENT)
        pool.advance(0.1)
        pool.advance(1.0)
        for worker_id, percent in (('w0', 5.0), ('w1', 25.0)):
            pool.survey(worker_id, percent)
        pool.advance(1.0)
        for worker_id, percent in (('w0', 10.0), ('w1', 50.0)):
            pool.survey(worker_id, percent)
        pool.advance()
        end_all_runs(pool, f'{number:016x}')
        pool.scheduler.update_worker(pool.profiles['w0'], pool.now, COLD_S + number)
    worker = pool.scheduler.worker_by_id['w0']
    assert worker.is_cold
    assert (worker.slowness, worker.slowdown) == (1.0, 1.0)
