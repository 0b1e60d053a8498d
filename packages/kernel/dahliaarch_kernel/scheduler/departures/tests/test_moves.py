"""Tests of runs on leaving workers that are stopped when their tasks could start elsewhere."""

import pytest

from dahliaarch_kernel.scheduler import EndKind, Mechanism, SchedulerSettings, StartRun, StopRun
from dahliaarch_kernel.scheduler.events import RunsMoved

from ...tests.pool import end_all_runs, ORDINARY, PATIENT, Pool, task, URGENT

A, B, C, D = 'a' * 16, 'b' * 16, 'c' * 16, 'd' * 16
NOTICE_S = 5.5
WHOLE = task(1, accelerators=8, work_s=9.0)


def leave(pool, *worker_ids, leaves_in_s=NOTICE_S):
    for worker_id in worker_ids:
        profile = pool.profiles[worker_id]._replace(draining=True, leaves_in_s=leaves_in_s)
        pool.profiles[worker_id] = profile
        pool.scheduler.update_worker(profile, pool.now)
        pool.survey(worker_id, percent=2.0)


def workers_of(pool, job_id):
    return sorted(worker_id for worker_id, key in pool.running if key.job_id == job_id)


def stopped_jobs(pool):
    return {stop.key.job_id for stop in pool.stops}


def started(effects):
    return [effect for effect in effects if isinstance(effect, StartRun)]


def advance_until(pool, seconds):
    for _ in range(round(seconds / 0.25)):
        pool.advance(0.25)


@pytest.mark.parametrize('checkpoints', [False, True])
def test_a_run_goes_on_until_the_last_moment_if_none_fits(checkpoints):
    """It was stopped at the notice, its task found no capacity, and the time until the departure was lost."""
    pool = Pool(workers=2)
    pool.submit(A, WHOLE._replace(checkpoints=checkpoints))
    pool.submit(B, WHOLE)
    pool.advance()
    leave(pool, *workers_of(pool, A))
    advance_until(pool, NOTICE_S - 1.75)
    assert not pool.stops
    advance_until(pool, 0.5)
    assert stopped_jobs(pool) == {A}


def test_a_run_is_moved_when_capacity_comes_free():
    pool = Pool(workers=2)
    pool.submit(A, WHOLE)
    pool.submit(B, WHOLE)
    pool.advance()
    leave(pool, *workers_of(pool, A))
    pool.advance(0.25)
    assert not pool.stops
    end_all_runs(pool, B)
    pool.advance(0.25)
    assert stopped_jobs(pool) == {A}
    pool.finish_stops()
    assert [effect.key.job_id for effect in started(pool.advance(0.1))] == [A]


def test_capacity_elsewhere_is_kept_during_the_stop():
    """Work that arrived during the stop took the capacity, and the stopped task waited."""
    pool = Pool(workers=3)
    pool.submit(A, WHOLE)
    pool.submit(B, WHOLE)
    pool.advance()
    leave(pool, *workers_of(pool, A))
    pool.advance(0.25)
    assert stopped_jobs(pool) == {A}
    pool.submit(C, task(8), queue=PATIENT)
    assert not started(pool.advance(0.1))
    pool.finish_stops()
    assert {effect.key.job_id for effect in started(pool.advance(0.1))} == {A}


def test_the_rest_of_a_move_keeps_its_capacity():
    """The first moved task that restarted gave up the capacity of the others."""
    pool = Pool(workers=2)
    pool.submit(A, task(4, accelerators=2, work_s=9.0))
    pool.advance()
    leave(pool, workers_of(pool, A)[0])
    pool.advance(0.25)
    assert len(pool.stops) == 4
    first = pool.stops[0]
    pool.end(first.worker_id, first.key, first.run, EndKind.STOPPED)
    assert len(started(pool.advance(0.1))) == 1
    pool.submit(B, task(8), queue=PATIENT)
    assert not started(pool.advance(0.1))
    pool.finish_stops()
    assert {effect.key.job_id for effect in started(pool.advance(0.1))} == {A}
    assert len(workers_of(pool, A)) == 4


def test_a_moved_task_that_ends_gives_up_its_capacity():
    pool = Pool(workers=2)
    pool.submit(A, WHOLE)
    pool.advance()
    leave(pool, *workers_of(pool, A))
    pool.advance(0.25)
    end_all_runs(pool, A)
    pool.submit(B, WHOLE)
    assert {effect.key.job_id for effect in started(pool.advance(0.1))} == {B}


def test_a_gang_uses_the_places_of_members_that_stay():
    """Only one of three members is on a leaving worker: one further place is enough."""
    pool = Pool(workers=4)
    pool.submit(A, task(3, accelerators=8, work_s=9.0, gang=True))
    pool.advance()
    leave(pool, workers_of(pool, A)[0])
    pool.advance(0.25)
    assert len(pool.stops) == 3
    pool.finish_stops()
    assert len(started(pool.advance(0.1))) == 3


def test_a_gang_without_a_further_place_goes_on():
    pool = Pool(workers=3)
    pool.submit(A, task(3, accelerators=8, work_s=9.0, gang=True))
    pool.advance()
    leave(pool, workers_of(pool, A)[0])
    advance_until(pool, 2.0)
    assert not pool.stops


def test_moves_of_one_pass_share_the_free_capacity():
    """Two gangs could each move alone, but there is only capacity for one of them."""
    pool = Pool(workers=5)
    gang = task(2, accelerators=8, work_s=9.0, gang=True)
    pool.submit(A, gang)
    pool.advance()
    pool.submit(B, gang)
    pool.advance(0.1)
    leave(pool, workers_of(pool, A)[0], workers_of(pool, B)[0])
    pool.advance(0.25)
    assert stopped_jobs(pool) == {A}


def test_a_run_that_ends_in_time_is_left_alone():
    pool = Pool(workers=4)
    pool.submit(A, task(2, accelerators=8, work_s=4.0))
    pool.submit(B, task(1, accelerators=8, work_s=4.0, gang=True))
    pool.advance()
    leave(pool, *workers_of(pool, A), *workers_of(pool, B))
    advance_until(pool, 4.0)
    assert not pool.stops


def test_a_run_about_to_end_keeps_its_unsaved_work():
    """A run of 6 s was stopped for a worker that left 3 s later, though it might have ended before."""
    pool = Pool(workers=3)
    pool.submit(A, task(1, accelerators=8, work_s=8.0))
    pool.advance()
    advance_until(pool, 6.0)
    leave(pool, *workers_of(pool, A), leaves_in_s=3.0)
    pool.advance(0.1)
    assert not pool.stops


def test_a_run_that_has_just_started_is_moved():
    """A new run stayed with no better chance to end in time than the old one, and its restart came later."""
    pool = Pool(workers=3)
    pool.submit(A, task(1, accelerators=8, work_s=3.4))
    pool.advance()
    pool.advance(0.1)
    leave(pool, *workers_of(pool, A), leaves_in_s=3.0)
    pool.advance(0.1)
    assert stopped_jobs(pool) == {A}


def test_a_gang_that_ends_in_time_is_left_alone():
    """A gang with a member on a leaving worker was stopped though its end came first."""
    pool = Pool(workers=6)
    pool.submit(A, task(3, accelerators=8, work_s=4.0, gang=True))
    pool.advance()
    leave(pool, *workers_of(pool, A)[:2])
    advance_until(pool, 3.75)
    assert not pool.stops


def test_waiting_work_that_is_older_goes_first():
    pool = Pool(workers=3)
    pool.submit(A, task(2, accelerators=8, work_s=3.0))
    pool.advance()
    pool.submit(B, task(2, accelerators=8, work_s=9.0))
    pool.advance(0.25)
    pool.submit(C, task(1, accelerators=8, work_s=9.0))
    pool.advance(0.25)
    leave(pool, workers_of(pool, B)[0])
    end_all_runs(pool, A)
    pool.advance(0.25)
    assert not pool.stops
    assert len(workers_of(pool, B)) == 2


def test_guaranteed_work_is_not_kept_from_moved_capacity():
    """Ordinary work on its way to other workers must not delay the start of guaranteed work."""
    pool = Pool(workers=2)
    pool.scheduler.set_guarantees({'acc': 8})
    pool.submit(A, WHOLE)
    pool.advance()
    leave(pool, *workers_of(pool, A))
    pool.advance(0.25)
    assert stopped_jobs(pool) == {A}
    pool.submit(B, task(1, accelerators=8, work_s=1.0), queue=URGENT)
    assert [effect.key.job_id for effect in started(pool.advance(0.1))] == [B]


def test_capacity_reserved_for_guaranteed_work_is_not_used():
    pool = Pool(workers=3)
    pool.scheduler.set_guarantees({'acc': 16})
    pool.submit(A, WHOLE)
    pool.submit(B, task(8, accelerators=1, work_s=9.0, checkpoints=True), queue=PATIENT)
    pool.advance()
    pool.now_s += 1.0
    pool.submit(C, task(2, accelerators=8, gang=True), queue=URGENT)
    pool.advance(0.1)
    assert stopped_jobs(pool) == {B}
    leave(pool, *workers_of(pool, A))
    before = len(pool.stops)
    pool.advance(0.1)
    assert len(pool.stops) == before


def test_a_target_that_leaves_too_is_replaced():
    """The capacity is reserved on a worker that gives notice next: the task starts on a third one, once."""
    pool = Pool(workers=3)
    pool.submit(A, WHOLE)
    pool.advance()
    leave(pool, *workers_of(pool, A))
    pool.advance(0.25)
    target = next(iter(pool.scheduler._state.reservations)).count_by_worker
    leave(pool, *target)
    pool.advance(0.1)
    pool.finish_stops()
    again = started(pool.advance(0.1))
    assert len(again) == 1
    assert again[0].worker_id not in target
    advance_until(pool, 3.0)
    assert len(pool.stops) == 1


def test_a_move_waits_while_its_step_has_pending_tasks():
    pool = Pool(workers=2)
    pool.submit(A, task(3, accelerators=8, work_s=9.0))
    pool.advance()
    leave(pool, 'w0')
    advance_until(pool, 2.0)
    assert not pool.stops


def test_the_last_moment_is_not_missed_by_a_late_pass():
    """Passes are up to 0.25 s apart: a stop that waits for the last pass in time may come too late."""
    pool = Pool(workers=1)
    pool.submit(A, WHOLE)
    pool.advance()
    leave(pool, 'w0')
    pool.advance(NOTICE_S - 1.2 - 0.29)
    assert stopped_jobs(pool) == {A}


def test_no_stop_is_ordered_after_the_last_moment():
    pool = Pool(workers=2)
    pool.submit(A, WHOLE)
    pool.advance()
    leave(pool, *workers_of(pool, A), leaves_in_s=1.1)
    pool.advance(0.1)
    assert not pool.stops


def test_a_withdrawn_notice_ends_the_wait():
    pool = Pool(workers=1)
    pool.submit(A, WHOLE)
    pool.advance()
    leave(pool, 'w0')
    pool.advance(1.0)
    pool.scheduler.update_worker(pool.profiles['w0']._replace(draining=False, leaves_in_s=None), pool.now)
    advance_until(pool, 5.0)
    assert not pool.stops


def test_a_removed_job_on_a_leaving_worker_is_no_fault():
    pool = Pool(workers=3)
    pool.submit(A, WHOLE)
    pool.advance()
    leave(pool, *workers_of(pool, A))
    pool.advance(0.25)
    pool.scheduler.cancel(A, pool.now)
    pool.scheduler.forget_job(A)
    assert not started(pool.advance(0.25))
    assert not list(pool.scheduler._state.reservations)


@pytest.mark.parametrize('fields', [{'speculative': True}, {'lasting': True}])
def test_speculative_and_lasting_runs_are_stopped_at_once(fields):
    pool = Pool(workers=1)
    pool.submit(A, WHOLE._replace(**fields))
    pool.advance()
    leave(pool, 'w0')
    pool.advance(0.1)
    assert stopped_jobs(pool) == {A}


def test_urgent_runs_do_not_wait_for_free_capacity():
    """They may preempt: their restart would be later by the whole notice if they waited for capacity to come free."""
    pool = Pool(workers=2)
    pool.submit(A, WHOLE, queue=URGENT)
    pool.submit(B, WHOLE, queue=PATIENT)
    pool.advance()
    leave(pool, *workers_of(pool, A))
    pool.advance(0.1)
    assert stopped_jobs(pool) == {A}


def test_a_worker_that_reports_false_progress_delays_no_other():
    """Its run is left alone and is lost with it; other workers are assessed by their own reports."""
    pool = Pool(workers=3)
    pool.submit(A, WHOLE)
    pool.submit(B, WHOLE)
    pool.advance()
    false, honest = *workers_of(pool, A), *workers_of(pool, B)
    leave(pool, false, honest)
    pool.now_s += 0.5
    pool.survey(false, percent=100.0)
    pool.advance(0.1)
    assert stopped_jobs(pool) == {B}


def test_lasting_tasks_are_stopped_one_after_another():
    """Two of three workers leave at once: only one task may be unavailable at a time."""
    pool = Pool(workers=6)
    pool.submit(A, task(3, accelerators=8, work_s=9.0, lasting=True, max_unavailable=1))
    pool.advance()
    leave(pool, *workers_of(pool, A)[:2])
    pool.advance(0.1)
    assert len(pool.stops) == 1
    pool.finish_stops()
    pool.advance(0.1)
    pool.advance(0.1)
    assert len(pool.stops) == 2


def test_suspects_of_crashes_do_not_wait_for_capacity():
    pool = Pool(workers=2)
    pool.submit(A, WHOLE)
    pool.advance()
    pool.scheduler.job_by_id[A].step_by_key[0, 0].suspects.add(0)
    leave(pool, *workers_of(pool, A))
    pool.advance(0.1)
    assert pool.stops[0].reason == 'worker leaves: nothing saved, at once'
    assert not list(pool.scheduler._state.reservations)


def test_without_the_mechanism_runs_are_stopped_at_the_notice():
    pool = Pool(workers=1, settings=SchedulerSettings(without=frozenset((Mechanism.EARLY_MOVES,))))
    pool.submit(A, WHOLE)
    pool.advance()
    leave(pool, 'w0')
    pool.advance(0.1)
    assert [stop.reason for stop in pool.stops] == ['worker leaves']


def test_a_move_tells_its_case_and_its_work():
    pool = Pool(workers=2)
    pool.submit(A, WHOLE)
    pool.advance()
    worker = workers_of(pool, A)[0]
    leave(pool, worker)
    pool.advance(1.0)
    assert pool.stops[0].reason == 'worker leaves: nothing saved, capacity elsewhere'
    note = next(each for each in pool.scheduler.take_notes() if isinstance(each, RunsMoved))
    assert (note.worker_id, note.saved, note.timing, note.runs) == (worker, 'nothing saved', 'capacity elsewhere', 1)
    assert note.lost_core_s == pytest.approx(note.spared_core_s * 1.0 / (NOTICE_S - 1.2 - 1.0))


def test_many_workers_leave_within_one_second():
    """25 of 176 workers leave, as on the day that was played: every stopped gang restarts as soon as it has stopped."""
    pool = Pool(workers=176)
    for number in range(30):
        pool.submit(f'{number:016x}', task(5, accelerators=8, work_s=9.0, gang=True), queue=ORDINARY)
    pool.advance()
    assert len(pool.running) == 150
    for number in range(25):
        leave(pool, f'w{number * 5}')
        pool.advance(0.04)
    pool.advance(0.25)
    stops = [effect for effect in pool.stops if isinstance(effect, StopRun)]
    assert stops
    used = {worker_id for worker_id, _ in pool.running}
    pool.finish_stops()
    restarted = started(pool.advance(0.1))
    assert {effect.key for effect in restarted} == {stop.key for stop in stops}
    free_before = 176 - 25 - len({worker_id for worker_id in used if not pool.profiles[worker_id].draining})
    assert len({effect.worker_id for effect in restarted} - used) <= free_before
