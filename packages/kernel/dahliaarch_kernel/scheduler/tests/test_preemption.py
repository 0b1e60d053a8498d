"""Tests of preemption and of reservations of capacity for waiting work."""

from dahliaarch_kernel.scheduler import StartRun, StopRun

from .pool import end_all_runs, ORDINARY, PATIENT, Pool, task, train_worker_paces, URGENT

A, B, C = 'a' * 16, 'b' * 16, 'c' * 16


def test_guaranteed_work_preempts_and_starts_on_freed_capacity():
    pool = Pool(workers=2)
    pool.scheduler.set_guarantees({'acc': 16})
    pool.submit(A, task(16, checkpoints=True), queue=PATIENT)
    pool.advance()
    pool.submit(B, task(2, accelerators=8, gang=True, same_rack=True), queue=URGENT)
    assert {type(effect) for effect in pool.advance()} == {StopRun}
    pool.finish_stops()
    started = [effect for effect in pool.advance(0.1) if isinstance(effect, StartRun)]
    assert [effect.key.job_id for effect in started] == [B, B]


def test_guaranteed_work_preempts_as_soon_as_victims_exist():
    """Capacity remained reserved for seconds while no run was preempted."""
    pool = Pool(workers=2)
    pool.scheduler.set_guarantees({'acc': 8, 'other': 8})
    pool.submit(A, task(2, accelerators=8, gang=True, work_s=9.0), queue=URGENT, account='other')
    pool.advance()
    pool.submit(B, task(1, accelerators=8, gang=True), queue=URGENT)
    pool.advance()
    pool.advance(1.0)
    end_all_runs(pool, A)
    pool.submit(C, task(16, work_s=9.0), queue=PATIENT)
    started = [effect.key.job_id for effect in pool.advance(0.1) if isinstance(effect, StartRun)]
    assert B in started


def test_the_cheapest_victims_are_runs_with_checkpoints():
    pool = Pool(workers=2)
    pool.submit(A, task(1, accelerators=8), queue=PATIENT)
    pool.submit(B, task(1, accelerators=8, checkpoints=True), queue=PATIENT)
    pool.advance()
    pool.advance(3.0)
    pool.submit(C, task(1, accelerators=8), queue=URGENT)
    stopped = [effect.key.job_id for effect in pool.advance() if isinstance(effect, StopRun)]
    assert stopped == [B]


def test_a_wide_gang_is_not_starved_by_small_jobs():
    pool = Pool(workers=2)
    for number in range(16):
        pool.submit(f'{number:016x}', task(1, work_s=2.0 + number / 4), queue=PATIENT)
    pool.advance()
    pool.submit(A, task(2, accelerators=8, gang=True, work_s=3.0), queue=ORDINARY)
    pool.advance(1.0)
    for number in range(16):
        end_all_runs(pool, f'{number:016x}')
        pool.submit(f'{number + 100:016x}', task(1, work_s=6.0), queue=PATIENT)
        pool.advance(0.25)
    assert any(key.job_id == A for _, key in pool.running)


def test_a_holder_is_tried_though_its_reservation_blocked_others():
    """The cached failed search of a smaller gang with the same search key blocked both gangs forever."""
    pool = Pool(workers=3)
    wide = {'accelerators': 8, 'gang': True, 'work_s': 6.0}
    pool.submit(A, task(2, accelerators=8, work_s=4.0), queue=PATIENT)
    pool.advance()
    pool.submit(B, task(3, **wide), queue=ORDINARY)
    pool.advance(1.0)
    pool.submit(C, task(2, **wide), queue=ORDINARY)
    pool.advance(1.0)
    end_all_runs(pool, A)
    for _ in range(3):
        pool.advance(0.3)
    assert any(key.job_id == B for _, key in pool.running)


def test_two_urgent_gangs_do_not_reserve_the_same_room():
    """Each gang was blocked by the other's reservation, and both waited until the reservations were stale."""
    pool = Pool(workers=4)
    pool.submit(A, task(4, accelerators=8, checkpoints=True), queue=PATIENT)
    pool.advance()
    pool.submit(B, task(2, accelerators=8, gang=True), queue=URGENT)
    pool.advance()
    pool.submit(C, task(2, accelerators=8, gang=True), queue=URGENT)
    pool.advance(0.1)
    pool.finish_stops()
    started = {effect.key.job_id for effect in pool.advance(0.1) if isinstance(effect, StartRun)}
    assert started == {B, C}


def test_guaranteed_work_preempts_patient_work_first():
    pool = Pool(workers=2)
    pool.scheduler.set_guarantees({'acc': 8})
    pool.submit(A, task(1, accelerators=8), queue=PATIENT)
    pool.advance()
    pool.advance(1.5)
    pool.submit(B, task(1, accelerators=8), queue=URGENT, account='other')
    pool.advance()
    pool.advance(0.2)
    pool.submit(C, task(1, accelerators=8), queue=URGENT)
    stopped = [effect.key.job_id for effect in pool.advance() if isinstance(effect, StopRun)]
    assert stopped == [A]


def test_urgent_work_preempts_on_fast_workers_first():
    """Preemption on slow workers made urgent work late: it waited for the stops and then ran longer."""
    pool = Pool(workers=6)
    train_worker_paces(pool, {'w0', 'w1'})
    pool.submit(A, task(6, accelerators=8), queue=PATIENT)
    pool.advance(0.3)
    pool.submit(B, task(2, accelerators=8, gang=True), queue=URGENT)
    stopped = {effect.worker_id for effect in pool.advance(0.3) if isinstance(effect, StopRun)}
    assert len(stopped) == 2
    assert not stopped & {'w0', 'w1'}


def test_urgent_work_uses_capacity_reserved_for_a_waiting_gang():
    """It preempted other work instead, while accelerators reserved for the gang were idle."""
    pool = Pool(workers=2)
    pool.submit(A, task(1, accelerators=8, work_s=9.0), queue=ORDINARY)
    pool.advance()
    pool.submit(B, task(2, accelerators=8, gang=True), queue=ORDINARY)
    pool.advance(1.0)
    assert list(pool.scheduler._state.reservations)
    pool.submit(C, task(1, accelerators=8, work_s=30.0), queue=URGENT)
    effects = pool.advance(0.1)
    assert [(type(effect), effect.key.job_id) for effect in effects] == [(StartRun, C)]
