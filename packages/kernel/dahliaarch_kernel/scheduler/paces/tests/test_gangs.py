"""Tests of paces that are learned from gangs."""

import heapq
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ... import EndKind, Mechanism, SchedulerSettings
from ...tests.pool import ORDINARY, PATIENT, Pool, task
from ...variables import is_slow
from ..gangs import Belief, slowest_probabilities

WORK_S = 4.0
SLOW = 2.18


def run_gang(pool, job_id, factor_of, count=3, work_s=WORK_S, **fields):
    pool.submit(job_id, task(count, accelerators=8, work_s=WORK_S, gang=True, **fields), queue=PATIENT)
    pool.advance(0.3)
    workers = {worker for worker, key in pool.running if key.job_id == job_id}
    pool.now_s += work_s * factor_of(workers)
    pool.end_task_or_gang(next(key for _, key in sorted(pool.running) if key.job_id == job_id), EndKind.DONE)
    pool.advance(0.01)


def log_ratios(pool):
    return {worker_id: worker.pace.log_ratio for worker_id, worker in pool.scheduler.worker_by_id.items()}


def play_random_gangs(seed, workers, slow_share, spread, until_s=90.0):
    """Run gangs of drawn lengths at the same time; return the pool and its slow workers."""
    draw = random.Random(seed)
    pool = Pool(workers=workers)
    slow = set(draw.sample(sorted(pool.profiles), round(workers * slow_share)))
    begun_s = pool.now_s
    ends = []
    number = ordered = 0
    while pool.now_s - begun_s < until_s:
        while sum(len(job.spec.steps) for job in pool.scheduler._state.active_jobs()) < workers // 2:
            number += 1
            width = draw.choice((1, 2, 2, 3, 4))
            job_id = f'{number:016x}'
            pool.submit(job_id, task(width, accelerators=8, work_s=WORK_S, gang=True), queue=ORDINARY)
        pool.advance()
        begun = sorted({effect.key.job_id for effect in pool.starts[ordered:]})
        ordered = len(pool.starts)
        for job_id in begun:
            members = {worker for worker, key in pool.running if key.job_id == job_id}
            factor = SLOW if members & slow else 1.0
            heapq.heappush(ends, (pool.now_s + WORK_S * factor * draw.lognormvariate(0.0, spread), job_id))
        pool.now_s, job_id = heapq.heappop(ends)
        pool.end_task_or_gang(next(key for _, key in sorted(pool.running) if key.job_id == job_id), EndKind.DONE)
    return pool, slow


def marked(pool):
    return {worker_id for worker_id, worker in pool.scheduler.worker_by_id.items() if is_slow(worker)}


@settings(max_examples=8, deadline=None)
@given(st.integers(0, 10_000), st.sampled_from((0.125, 0.25)), st.floats(0.05, 0.25))
def test_slow_workers_are_marked_and_sound_ones_rarely(seed, slow_share, spread):
    """Guards against blaming the peers of slow workers, and against learning nothing from gangs."""
    pool, slow = play_random_gangs(seed, 24, slow_share, spread)
    assert len(marked(pool) & slow) >= 0.6 * len(slow)
    assert len(marked(pool) - slow) <= 0.3 * (24 - len(slow))


@settings(max_examples=8, deadline=None)
@given(st.integers(0, 10_000), st.floats(0.1, 1.0))
def test_varying_run_times_do_not_mark_sound_workers(seed, spread):
    """Guards against taking long gangs for slow workers."""
    pool, _ = play_random_gangs(seed, 24, 0.0, spread, until_s=60.0)
    assert len(marked(pool)) <= 3


def test_the_member_known_to_be_fast_is_not_blamed():
    fast, unknown = Belief(-0.3, 0.01), Belief(0.0, 0.06)
    blamed = slowest_probabilities([fast, fast, unknown], 0.5, 0.04)
    assert blamed[2] > 0.9
    assert sum(blamed) == pytest.approx(1.0)


def test_a_gang_over_racks_is_no_evidence():
    """Guards against taking the slowness of a spread gang for that of its workers."""
    pool = Pool(workers=0, settings=SchedulerSettings(far_after_share=0.0))
    for number in range(4):
        pool.add_worker(f'w{number}', f'r{number}')
    run_gang(pool, 'a' * 16, lambda _: 2.0, same_rack=True)
    assert set(log_ratios(pool).values()) == {0.0}


def test_a_gang_away_from_its_data_is_no_evidence():
    pool = Pool(workers=4, settings=SchedulerSettings(far_after_share=0.0))
    run_gang(pool, 'a' * 16, lambda _: 2.0, data_rack='elsewhere')
    assert set(log_ratios(pool).values()) == {0.0}


def test_a_gang_on_cold_workers_is_no_evidence():
    pool = Pool(workers=3)
    pool.scheduler.update_worker(pool.profiles['w0'], pool.now, 8.0)
    run_gang(pool, 'a' * 16, lambda _: 2.0)
    assert set(log_ratios(pool).values()) == {0.0}


def test_a_gang_counts_once():
    """Guards against counting progress reports and the ends of all members as separate gangs."""
    pool = Pool(workers=3)
    pool.submit('a' * 16, task(3, accelerators=8, work_s=WORK_S, gang=True))
    pool.advance()
    pool.now_s += WORK_S
    for worker_id in pool.profiles:
        pool.survey(worker_id, 50.0)
    weights = [worker.pace.weight for worker in pool.scheduler.worker_by_id.values()]
    assert sum(weights) > 0
    for worker_id in pool.profiles:
        pool.survey(worker_id, 75.0)
    pool.end_task_or_gang(pool.starts[0].key, EndKind.DONE)
    assert [worker.pace.weight for worker in pool.scheduler.worker_by_id.values()] == weights


def test_a_false_percentage_of_one_member_has_no_effect():
    """Guards against a worker that reports hardly any progress, by which its gang would seem slow."""
    pool = Pool(workers=3)
    pool.submit('a' * 16, task(3, accelerators=8, work_s=WORK_S, gang=True))
    pool.advance()
    pool.now_s += WORK_S / 2
    for worker_id, percent in (('w0', 20.0), ('w1', 50.0), ('w2', 50.0)):
        pool.survey(worker_id, percent)
    # The median of the reports that suffice is 50% after half of the expected time.
    assert all(abs(each) < 0.05 for each in log_ratios(pool).values())


@pytest.mark.parametrize(('sound_runs', 'interval_s'), [(8, 2.0), (1, 70.0)])
def test_a_worker_that_was_slow_for_seconds_recovers(sound_runs, interval_s):
    """Guards against a reputation that lasts where new runs are rare."""
    pool = Pool(workers=2)
    worker = pool.scheduler.worker_by_id['w0']
    pool.advance()
    for _ in range(4):
        worker.pace.observe(0.8, 0.9)
    pool.advance(0.3)
    assert is_slow(worker)
    for _ in range(sound_runs):
        pool.advance(interval_s)
        worker.pace.observe(0.0, 0.9)
    pool.advance(0.3)
    assert not is_slow(worker)


def test_a_clock_that_jumps_back_keeps_evidence():
    pool = Pool(workers=2)
    pool.advance()
    worker = pool.scheduler.worker_by_id['w0']
    worker.pace.observe(0.8, 0.9)
    weight = worker.pace.weight
    pool.advance(-50.0)
    assert worker.pace.weight == weight


@pytest.mark.parametrize('mechanism', [Mechanism.GANG_PACES, Mechanism.WORKER_PACES])
def test_nothing_is_learned_from_gangs_when_disabled(mechanism):
    pool = Pool(workers=3, settings=SchedulerSettings(without=frozenset((mechanism,))))
    run_gang(pool, 'a' * 16, lambda _: 2.0)
    assert {worker.pace.weight for worker in pool.scheduler.worker_by_id.values()} == {0.0}


def test_slowdowns_are_not_updated_at_each_pass():
    """Guards against passes that get slower by the estimates of all workers."""
    pool = Pool(workers=8)
    pool.advance(0.3)
    worker = pool.scheduler.worker_by_id['w0']
    worker.pace.observe(0.8, 0.9)
    pool.advance(0.1)
    assert worker.slowdown == 1.0
    pool.advance(0.2)
    assert worker.slowdown > 1.0
