"""Tests of single scheduling decisions."""

import pytest

from dahliaarch_kernel.scheduler import EndKind, Mechanism, SchedulerSettings, StartRun, StopRun

from .pool import end_all_runs, ORDINARY, PATIENT, Pool, task, train_worker_paces, URGENT

A, B, C = 'a' * 16, 'b' * 16, 'c' * 16


def test_a_job_of_two_steps_runs_in_order_and_succeeds():
    pool = Pool()
    pool.submit(A, task(2), task(3, after=(0,)))
    assert len(pool.advance()) == 2
    end_all_runs(pool, A)
    assert len(pool.advance()) == 3
    end_all_runs(pool, A)
    assert pool.scheduler.job_by_id[A].phase == 'succeeded'


def test_the_end_of_a_job_is_shown_only_after_it_is_saved():
    pool = Pool()
    pool.submit(A, task())
    pool.advance()
    end_all_runs(pool, A)
    job = pool.scheduler.job_by_id[A]
    assert job.shown_phase == 'running'
    kept = pool.scheduler.take_dirty_jobs()
    for job_id in kept:
        pool.scheduler.mark_saved(job_id)
    assert job.shown_phase == 'succeeded'


def test_a_failed_task_is_retried_elsewhere_up_to_max_attempts():
    pool = Pool()
    pool.submit(A, task(), queue=ORDINARY)
    workers = []
    for _ in range(ORDINARY.max_attempts):
        pool.advance(0.1)
        worker, key = next(iter(pool.running))
        workers.append(worker)
        pool.end_task_or_gang(key, EndKind.FAILED)
    assert len(set(workers)) == ORDINARY.max_attempts
    assert pool.scheduler.job_by_id[A].phase == 'failed'
    assert not pool.advance(0.1)


def test_the_same_failure_reported_again_counts_once():
    pool = Pool()
    pool.submit(A, task())
    effect = pool.advance()[0]
    for _ in range(ORDINARY.max_attempts):
        pool.end(effect.worker_id, effect.key, effect.run, EndKind.FAILED)
    assert not pool.scheduler.job_by_id[A].has_ended


def test_a_worker_that_fails_all_it_runs_is_used_last():
    pool = Pool(workers=2)
    for number in range(2):
        pool.submit(f'{number:016x}', task(2))
    pool.advance()
    for worker, key in sorted(pool.running):
        if worker == 'w0':
            pool.end_task_or_gang(key, EndKind.FAILED)
    effects = pool.advance(0.1)
    assert effects
    assert all(effect.worker_id == 'w1' for effect in effects if isinstance(effect, StartRun))


def test_a_run_that_is_stalled_is_moved_to_another_worker():
    pool = Pool(workers=2)
    pool.submit(A, task(work_s=6.0))
    effect = pool.advance()[0]
    for _ in range(10):
        pool.advance(1.0)
        pool.survey(effect.worker_id, percent=5.0)
    pool.advance()
    assert [stop.reason for stop in pool.stops] == ['stalled']
    pool.finish_stops()
    again = pool.advance(0.1)[0]
    assert again.worker_id != effect.worker_id


def test_all_members_of_a_gang_move_from_a_leaving_worker():
    pool = Pool(workers=4)
    pool.submit(A, task(2, accelerators=8, gang=True, work_s=9.0, checkpoints=True))
    leaving = pool.advance()[0].worker_id
    pool.add_worker(leaving, 'r0', draining=True, leaves_in_s=4.0)
    pool.survey(leaving, percent=5.0)
    pool.advance(0.5)
    assert len(pool.stops) == 2
    pool.finish_stops()
    started = [effect.worker_id for effect in pool.advance(0.1)]
    assert len(started) == 2
    assert leaving not in started


def test_runs_of_a_previous_owner_are_adopted():
    pool = Pool(workers=2)
    pool.submit(A, task(3))
    pool.advance()
    successor = Pool(workers=2, epoch=9)
    successor.running = dict(pool.running)
    successor.submit(A, task(3))
    for worker in ('w0', 'w1'):
        successor.survey(worker)
    assert not successor.advance()
    assert successor.scheduler.job_by_id[A].phase == 'running'


def test_run_numbers_increase_across_owners():
    first, second = Pool(epoch=7), Pool(epoch=8)
    numbers = []
    for pool in (first, second):
        pool.submit(A, task(2))
        numbers.append([effect.run for effect in pool.advance()])
    assert max(numbers[0]) < min(numbers[1])


def test_progress_survives_a_takeover():
    pool = Pool()
    pool.submit(A, task(2), task(1, after=(0,)))
    pool.advance()
    _, key = sorted(pool.running)[0]
    pool.end_task_or_gang(key, EndKind.DONE)
    _, other = sorted(pool.running)[0]
    pool.end_task_or_gang(other, EndKind.FAILED)
    kept = pool.scheduler.job_by_id[A].progress()
    successor = Pool(epoch=9)
    spec = pool.spec_by_id[A]
    successor.spec_by_id[A] = spec
    successor.done = set(pool.done)
    successor.scheduler.add_job(spec, ORDINARY, successor.now, progress=kept)
    assert [effect.key for effect in successor.advance()] == [other]
    state = successor.scheduler.job_by_id[A].step_by_key[0, 0]
    assert len(state.failed_runs_by_index[other.task_index]) == 1


def test_occurrences_start_at_their_due_times():
    pool = Pool()
    due_s = pool.now.wall_s + 2.0
    pool.submit(A, task(), repeats=2, first_due_s=due_s, interval_s=1.0)
    assert not pool.advance(1.0)
    assert [effect.key.occurrence for effect in pool.advance(1.0)] == [0]
    assert [effect.key.occurrence for effect in pool.advance(1.0)] == [1]


def test_lasting_tasks_are_restarted_after_any_kind_of_end():
    pool = Pool()
    pool.submit(A, task(lasting=True))
    for kind in (EndKind.FAILED, EndKind.FAILED, EndKind.FAILED, EndKind.DONE):
        pool.advance(0.1)
        _, key = next(iter(pool.running))
        pool.end_task_or_gang(key, kind)
        pool.done.clear()
        pool.failed_runs.clear()
    assert pool.advance(1.0)


@pytest.mark.parametrize('listed', [True, False])
def test_runs_on_a_silent_worker_count_until_its_lease_has_ended(listed):
    pool = Pool(workers=2)
    pool.submit(A, task())
    effect = pool.advance()[0]
    worker = pool.scheduler.worker_by_id[effect.worker_id]
    worker.lease.record_clock(50.0, pool.now_s)
    worker.lease.record_sent(worker.lease.end_of(6.0, pool.now_s))
    pool.scheduler.worker_silent(effect.worker_id, pool.now)
    if not listed:
        pool.scheduler.unlist_worker(effect.worker_id)
    assert not pool.advance(6.1)
    pool.running.clear()
    again = pool.advance(0.2)
    assert [each.worker_id for each in again if isinstance(each, StartRun)] != [effect.worker_id]
    assert len(again) == 1


def test_a_gang_is_not_moved_for_a_late_start_and_wrong_estimate():
    pool = Pool(workers=2)
    pool.submit(A, task(2, accelerators=8, gang=True, work_s=1.4), queue=URGENT)
    pool.advance()
    pool.advance(1.6)
    for worker in ('w0', 'w1'):
        pool.survey(worker, percent=20.0)
    pool.advance()
    assert not pool.stops


def test_a_worker_with_stalled_runs_gets_no_starts():
    pool = Pool(workers=2)
    pool.submit(A, task(work_s=6.0))
    stalled_worker = pool.advance()[0].worker_id
    pool.advance(1.6)
    pool.survey(stalled_worker, percent=50.0)
    pool.advance(0.8)
    pool.survey(stalled_worker, percent=50.0)
    pool.advance()
    assert not pool.stops
    pool.submit(B, task())
    assert pool.advance()[0].worker_id != stalled_worker


def test_workers_that_take_longer_for_like_tasks_are_slow():
    pool = Pool(workers=6)
    train_worker_paces(pool, {'w1', 'w4'})
    known = {worker_id for worker_id, worker in pool.scheduler.worker_by_id.items() if worker.slowdown > 1.15}
    assert known == {'w1', 'w4'}


def test_urgent_work_goes_to_fast_workers_first():
    pool = Pool(workers=6)
    train_worker_paces(pool, {'w0', 'w1'})
    pool.submit(A, task(4, accelerators=8, gang=True), queue=URGENT)
    assert {effect.worker_id for effect in pool.advance(0.1)} == {'w2', 'w3', 'w4', 'w5'}


def test_a_waiting_step_starts_once_another_run_ends():
    pool = Pool(workers=1)
    pool.submit(A, task(1, accelerators=8), queue=PATIENT)
    pool.submit(B, task(1, accelerators=8), queue=PATIENT)
    pool.advance()
    pool.advance(0.01)
    end_all_runs(pool, A)
    assert [effect.key.job_id for effect in pool.advance(0.01)] == [B]


def test_a_stopped_unanswered_start_blocks_its_task():
    """A survey without the run does not show that it ended: the start may still be executed late."""
    pool = Pool(workers=2)
    pool.submit(A, task(2, accelerators=8, gang=True))
    refused, unacknowledged = pool.scheduler.decide(pool.now)
    pool.end(refused.worker_id, refused.key, refused.run, EndKind.REFUSED)
    assert [type(effect) for effect in pool.advance(0.1)] == [StopRun]
    pool.now_s += 0.5
    pool.survey(unacknowledged.worker_id)
    assert not pool.advance(0.5)
    pool.end(unacknowledged.worker_id, unacknowledged.key, unacknowledged.run, EndKind.STOPPED)
    assert len(pool.advance(0.5)) == 2


def test_a_task_stopped_before_the_reply_waits_for_its_end():
    """Guards against two simultaneous runs of one task under one owner.

    An urgent gang preempted the run 26 ms after its start was sent, and the first attempts of the start and of the
    stop were lost. A survey requested after the start did not list the run. It was marked as stopping and no longer
    as starting, so this counted as its end, and the task was started on another worker 110 ms after the stop. A retry
    of the start, executed 0.6 s after the first attempt, added a second run for 0.15 s, until a survey listed the
    retried one and it was stopped. The log has `stop_ordered` with "makes room for ...", `run_ordered` on another
    worker without a `run_ended` before it, and `stop_ordered` with "task runs elsewhere". This affected 39 of 96 trials
    with lost orders, and none since a run's absence from a survey ends only confirmed runs.
    """
    pool = Pool(workers=2)
    pool.submit(A, task(1, accelerators=8), queue=PATIENT)
    (start,) = pool.scheduler.decide(pool.now)
    pool.submit(B, task(2, accelerators=8, gang=True), queue=URGENT)
    assert StopRun in {type(effect) for effect in pool.advance(0.026)}
    pool.now_s += 0.1
    pool.survey(start.worker_id)
    pool.add_worker('w2', 'r0')
    assert not [effect for effect in pool.advance(0.01) if effect.key.job_id == A]
    pool.end(start.worker_id, start.key, start.run, EndKind.STOPPED)
    assert A in {effect.key.job_id for effect in pool.advance(0.5)}


def test_a_gang_whose_estimate_is_far_off_is_not_moved():
    """The gang was moved repeatedly between workers although only its estimate was wrong."""
    pool = Pool(workers=8)
    pool.submit(A, task(2, accelerators=8, gang=True, work_s=0.4), queue=URGENT)
    for _ in range(3):
        pool.advance(0.1)
        for _ in range(6):
            pool.now_s += 1.0
            for worker, _ in tuple(pool.running):
                pool.survey(worker, percent=min(99.0, 100 * (pool.now_s - 1000.0) / 40))
            pool.advance()
        pool.finish_stops()
    assert not pool.stops


@pytest.mark.parametrize(
    ('later_queue', 'without'), [(PATIENT, frozenset()), (ORDINARY, frozenset({Mechanism.PRIORITY_ORDER}))]
)
def test_of_equal_urgency_what_came_first_starts_first(later_queue, without):
    """Wide steps waited for all small steps that arrived later, and ended too late to be of use."""
    pool = Pool(workers=1, settings=SchedulerSettings(without=without))
    pool.submit('f' * 16, task(1, accelerators=8, work_s=1.0))
    first = pool.advance()[0]
    pool.submit(A, task(8, accelerators=1, work_s=30.0), queue=PATIENT)
    pool.now_s += 0.1
    pool.submit(B, task(8, accelerators=1, work_s=0.5), queue=later_queue)
    pool.advance(0.1)
    pool.end_task_or_gang(first.key, EndKind.DONE)
    assert {effect.key.job_id for effect in pool.advance(0.1)} == {A}


def test_cancelled_jobs_do_not_grow_the_cache_of_failed_searches():
    pool = Pool(workers=1)
    pool.submit(A, task(1, accelerators=8, work_s=500.0), queue=URGENT)
    pool.advance()
    for number in range(40):
        job_id = f'{number + 700:016x}'
        pool.submit(job_id, task(1, max_per_worker=1), queue=URGENT)
        pool.advance(0.3)
        pool.scheduler.cancel(job_id, pool.now)
    pool.advance(0.3)
    failed_searches = pool.scheduler._state.failed_searches
    assert len(failed_searches._failed_placements) + len(failed_searches._failed_victim_searches) < 5
