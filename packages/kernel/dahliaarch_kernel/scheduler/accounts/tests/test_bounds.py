"""Tests that the order by queues and accounts starves no work, and that no two steps block each other."""

from hypothesis import given, settings
from hypothesis import strategies as st

from dahliaarch_kernel.scheduler import EndKind, SchedulerSettings
from dahliaarch_kernel.scheduler.reservations import Reservation, Reservations
from dahliaarch_kernel.scheduler.standing import SortKey

from ...tests.pool import ORDINARY, PATIENT, Pool, task

GANG, OTHER = 'a' * 16, 'b' * 16
WORKERS = 3
MAX_PASSED_OVER_S = 6.0
MAX_WORK_S = 2.0
# Passes between the ends of runs and the starts of others, in seconds.
PASS_S = 0.25

STREAM = st.lists(
    st.tuples(st.floats(0.3, MAX_WORK_S), st.integers(1, 4), st.sampled_from((1, 2, 4)), st.booleans()),
    min_size=8,
    max_size=24,
)


def end_due_runs(pool, begun_s):
    for (_, key), run in sorted(pool.running.items()):
        since_s = begun_s.setdefault((key, run), pool.now_s)
        still_runs = any(each == key for _, each in pool.running)
        if still_runs and pool.now_s - since_s >= pool.spec_by_id[key.job_id].steps[0].estimate_s:
            pool.end_task_or_gang(key, EndKind.DONE)


def older_work_s(pool):
    """Return how long the whole pool takes for the work that waits now."""
    waiting = sum(
        len(step.pending) * step.spec.demand.accelerators * step.spec.estimate_s
        for job in pool.scheduler.job_by_id.values()
        for step in job.ready_steps()
    )
    return waiting / (8 * WORKERS)


@settings(max_examples=25)
@given(STREAM, st.integers(1, WORKERS), st.booleans())
def test_a_wide_gang_starts_within_the_bound_beside_a_stream(stream, width, is_large):
    """A stream of narrow, more urgent jobs kept room from a wide gang as long as it went on.

    Narrow jobs accepted before the gang may be passed over for too long as well, and then they stay before it.
    """
    pool = Pool(workers=WORKERS, settings=SchedulerSettings(max_passed_over_s=MAX_PASSED_OVER_S))
    begun_s = {}
    number = 0
    gang = task(width, accelerators=8, gang=True, work_s=8.0)
    gang_s = None
    waiting_limit_s = MAX_PASSED_OVER_S + MAX_WORK_S + 4 * PASS_S
    while gang_s is None or pool.now_s - gang_s <= waiting_limit_s:
        # There is always more narrow work than room.
        while sum(len(step.pending) for job in pool.scheduler.job_by_id.values() for step in job.ready_steps()) < 30:
            work_s, count, accelerators, is_gang = stream[number % len(stream)]
            number += 1
            step = task(count, accelerators=accelerators, work_s=work_s, gang=is_gang)
            pool.submit(f'{number:016x}', step, queue=ORDINARY, account='large')
        if gang_s is None and number > 40:
            gang_s = pool.now_s
            waiting_limit_s += older_work_s(pool)
            pool.submit(GANG, gang, queue=PATIENT, account='large' if is_large else 'small')
        pool.advance(PASS_S)
        end_due_runs(pool, begun_s)
        if any(key.job_id == GANG for _, key in pool.running):
            return
    raise AssertionError(f'a gang has waited for {pool.now_s - gang_s:.2f} s')


@settings(max_examples=20)
@given(st.lists(st.integers(0, 3), min_size=30, max_size=60), st.floats(0.05, 0.4))
def test_levels_that_change_at_each_pass_block_no_gang(levels, pass_s):
    """Reservations compared with the levels of different passes let two gangs block each other for ever."""
    pool = Pool(workers=2)
    shares = pool.scheduler._state.account_shares
    flips = iter(levels * 20)
    shares.level_of = lambda account: next(flips, 0)
    pool.submit('f' * 16, task(16, work_s=1.0))
    pool.advance()
    for job_id, account in ((GANG, 'x'), (OTHER, 'y')):
        pool.submit(job_id, task(2, accelerators=8, gang=True, work_s=4.0), queue=ORDINARY, account=account)
    for _ in range(4):
        pool.advance(pass_s)
    for index in range(16):
        pool.end_task_or_gang(pool.scheduler.job_by_id['f' * 16].step_by_key[0, 0].key(index), EndKind.DONE)
    for _ in range(6):
        pool.advance(pass_s)
    assert any(key.job_id in {GANG, OTHER} for _, key in pool.running)


def sort_key(job_id, level, begun_s=0.0):
    return SortKey(2, 1, level, False, 0.0, begun_s, (job_id, 0, 0))


def make_reservation(step, level, awaits_preemption=False):
    return Reservation(step, {'w': 1}, 0.0, sort_key(step, level), awaits_preemption=awaits_preemption)


def test_a_reservation_does_not_block_work_that_comes_first():
    """In a full pool, reservations of an account over its share kept out work of all others."""
    for blocks_only_later_steps in (False, True):
        reservations = Reservations()
        reservations.blocks_only_later_steps = blocks_only_later_steps
        reservations.add(make_reservation('a', 2))
        (reservation,) = reservations
        assert not reservations.blocks(reservation, 'b', sort_key('b', 1))
        assert reservations.blocks(reservation, 'b', sort_key('b', 3))


def test_a_reservation_follows_the_standing_of_its_step():
    reservations = Reservations()
    reservations.add(make_reservation('a', 0))
    version = reservations.version
    reservations.update_standing('a', sort_key('a', 0, begun_s=5.0))
    assert reservations.version == version
    reservations.update_standing('a', sort_key('a', 2))
    (reservation,) = reservations
    assert reservation.sort_key.level == 2
    assert reservations.version > version
    assert reservations.pop_freed_workers() == {'w'}


def test_only_the_last_reservation_that_follows_is_dropped():
    """All places for reservations were taken by gangs that come later, so the first one was starved."""
    reservations = Reservations()
    for step, level in (('a', 0), ('b', 3), ('c', 2)):
        reservations.add(make_reservation(step, level))
    reservations.add(make_reservation('d', 3, awaits_preemption=True))
    assert reservations.drop_last_after(sort_key('e', 1))
    assert [each.step for each in reservations] == ['a', 'c', 'd']
    assert not reservations.drop_last_after(sort_key('e', 2, begun_s=9.0))
    assert not reservations.drop_last_after(sort_key('e', 1)._replace(rank=1))
