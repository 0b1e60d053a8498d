"""Tests of the choice of workers of like pace for gangs."""

import pytest

from ... import Mechanism, SchedulerSettings
from ...placement import WorkerAllocation
from ...tests.pool import ORDINARY, PATIENT, Pool, task, URGENT
from ..choosing import choose_like_paced, NEUTRAL_FIT

JOB = 'a' * 16


def pool_with_slow_workers(slow, workers=8, settings=None):
    pool = Pool(workers, settings=settings)
    pool.advance()
    for worker_id, worker in pool.scheduler.worker_by_id.items():
        for _ in range(8):
            worker.pace.observe(0.6 if worker_id in slow else 0.0, 0.9)
    return pool


def chosen_workers(pool, queue, count, **fields):
    pool.submit(JOB, task(count, accelerators=8, gang=True, **fields), queue=queue)
    pool.advance(0.3)
    return {worker for worker, key in pool.running if key.job_id == JOB}


SLOW = {'w0', 'w2', 'w4', 'w6'}


@pytest.mark.parametrize('queue', [PATIENT, ORDINARY, URGENT])
def test_a_gang_that_fits_on_fast_workers_gets_them(queue):
    assert not chosen_workers(pool_with_slow_workers(SLOW), queue, 4) & SLOW


def test_a_gang_that_needs_slow_workers_leaves_fast_ones_free():
    """Guards against fast workers that are held at the pace of slow ones."""
    pool = pool_with_slow_workers(SLOW)
    chosen_workers(pool, URGENT, 3)
    pool.submit('b' * 16, task(4, accelerators=8, gang=True), queue=PATIENT)
    pool.advance(0.3)
    assert {worker for worker, key in pool.running if key.job_id == 'b' * 16} == SLOW


def test_a_gang_is_not_mixed_if_it_fits_on_faster_workers():
    """Guards against fast workers that are held at the pace of a slow one."""
    assert not chosen_workers(pool_with_slow_workers({'w0', 'w2'}), ORDINARY, 3) & {'w0', 'w2'}


def test_a_gang_that_fits_on_no_level_alone_still_starts():
    assert len(chosen_workers(pool_with_slow_workers(SLOW), PATIENT, 6)) == 6
    assert len(chosen_workers(pool_with_slow_workers(SLOW), URGENT, 6)) == 6


def test_a_rack_of_like_pace_is_preferred():
    slow = {f'w{number}' for number in (0, 1, 2, 3, 8, 9)}
    pool = pool_with_slow_workers(slow, 16)
    assert chosen_workers(pool, PATIENT, 6, same_rack=True) == {f'w{number}' for number in range(10, 16)}


def test_packing_is_kept_where_paces_are_alike():
    """Guards against gangs that break up whole workers although a fuller one of the same pace is free."""
    pool = pool_with_slow_workers(set())
    pool.submit('b' * 16, task(1, accelerators=4))
    pool.advance()
    (used,) = {worker for worker, _ in pool.running}
    pool.submit(JOB, task(2, accelerators=2, gang=True))
    pool.advance()
    assert {worker for worker, key in pool.running if key.job_id == JOB} == {used}


def test_cold_workers_stay_last_whatever_their_pace():
    pool = pool_with_slow_workers({'w0', 'w1'}, 4)
    pool.scheduler.update_worker(pool.profiles['w2'], pool.now, 8.0)
    assert 'w2' not in chosen_workers(pool, PATIENT, 2)


def test_paces_are_not_used_when_disabled():
    settings = SchedulerSettings(without=frozenset((Mechanism.GANG_PACES,)))
    assert chosen_workers(pool_with_slow_workers({'w0', 'w1'}, settings=settings), PATIENT, 2) == {'w0', 'w1'}


def test_order_is_kept_without_differences():
    workers = pool_with_slow_workers(set()).scheduler.worker_by_id.values()
    allocations = [WorkerAllocation(worker, 1) for worker in workers]
    assert choose_like_paced(allocations, 3) == (NEUTRAL_FIT, allocations)


def test_slowdowns_are_not_updated_at_each_pass():
    """Guards against passes that get slower by the estimates of all workers."""
    pool = pool_with_slow_workers(set())
    pool.advance(0.3)
    worker = pool.scheduler.worker_by_id['w0']
    worker.pace.observe(0.8, 0.9)
    pool.advance(0.1)
    assert worker.slowdown == 1.0
    pool.advance(0.2)
    assert worker.slowdown > 1.0
