"""Tests of the order of work by urgency and by account, on a pool."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import EndKind, Mechanism, SchedulerSettings, StartRun, StopRun

from ...tests.pool import end_all_runs, ORDINARY, PATIENT, Pool, task, URGENT

A, B, C, D = 'a' * 16, 'b' * 16, 'c' * 16, 'd' * 16
# Accounts that have work, so that usage is divided among more than two.
BYSTANDERS = ('third', 'fourth', 'fifth')
LONG = 60.0


def pool_without(*mechanisms, workers=1, **fields):
    """Return a pool that does not learn run times: here runs end long before their expected time."""
    without = frozenset({*mechanisms, Mechanism.LEARNED_TIMES})
    return Pool(workers=workers, settings=SchedulerSettings(without=without, **fields))


def fill_by_large_account(pool, queue=ORDINARY):
    """Let one account hold the whole pool while others have work waiting."""
    pool.submit(D, task(8 * len(pool.profiles), work_s=LONG), account='large', queue=queue)
    pool.advance(1.0)
    for number, account in enumerate(BYSTANDERS):
        pool.submit(f'{number:016x}', task(1, accelerators=8, gang=True), account=account, queue=Queue(**LAST))
    pool.advance(1.0)


LAST = {'name': 'last', 'host': 'h', 'path_prefix': '/l/', 'service': 'svc', 'priority': 9}


def starts(effects):
    return [effect.key.job_id for effect in effects if isinstance(effect, StartRun)]


@pytest.mark.parametrize('without', [(), (Mechanism.ACCOUNT_SHARES,)])
def test_work_of_the_account_below_its_share_comes_first(without):
    """An account with 5 jobs waited 7 s behind one that submits 40% of all jobs."""
    pool = pool_without(*without)
    fill_by_large_account(pool)
    pool.submit(A, task(1, accelerators=8), account='large')
    pool.advance(0.1)
    pool.submit(B, task(1, accelerators=8), account='small')
    pool.advance(0.3)
    end_all_runs(pool, D)
    assert starts(pool.advance(0.3)) == [A if without else B]


@pytest.mark.parametrize('without', [(), (Mechanism.PRIORITY_ORDER,)])
def test_work_of_the_more_urgent_queue_comes_first(without):
    pool = pool_without(*without)
    pool.submit(D, task(8, work_s=LONG))
    pool.advance()
    pool.submit(A, task(1, accelerators=8), account='small', queue=PATIENT)
    pool.advance(0.1)
    pool.submit(B, task(1, accelerators=8), account='small', queue=ORDINARY)
    pool.advance(0.3)
    end_all_runs(pool, D)
    assert starts(pool.advance(0.3)) == [A if without else B]


def test_work_passed_over_too_long_comes_first():
    """Without a bound, the order by queues and accounts starves the least urgent work of a large account."""
    pool = pool_without(max_passed_over_s=3.0)
    pool.submit(D, task(8, work_s=LONG), account='large')
    pool.advance()
    pool.submit(A, task(1, accelerators=8), account='large', queue=PATIENT)
    for _ in range(12):
        pool.advance(0.25)
    pool.submit(B, task(1, accelerators=8), account='small', queue=ORDINARY)
    pool.advance(0.3)
    end_all_runs(pool, D)
    assert starts(pool.advance(0.3)) == [A]


def test_a_jump_of_the_wall_clock_promotes_nothing():
    """Work that waits for a moment came first when the clock was set ahead by an hour."""
    pool = pool_without()
    fill_by_large_account(pool)
    pool.submit(A, task(1, accelerators=8), account='large', queue=PATIENT)
    pool.advance(0.3)
    pool.submit(B, task(1, accelerators=8), account='small', queue=ORDINARY)
    pool.advance(0.3)
    end_all_runs(pool, D)
    effects = pool.scheduler.decide(pool.now._replace(wall_s=pool.now.wall_s + 3600.0))
    assert starts(effects) == [B]


def test_late_work_comes_after_work_that_can_be_in_time():
    """A second step that can't be in time delayed work that could."""
    pool = pool_without()
    pool.submit(A, task(1, accelerators=8), task(1, accelerators=8, after=(0,)))
    pool.advance()
    for _ in range(27):
        pool.advance(1.0)
    pool.submit(B, task(1, accelerators=8, work_s=LONG))
    end_all_runs(pool, A)
    assert starts(pool.advance(0.3)) == [B]


def test_urgent_work_beyond_guarantees_is_ordered_by_level():
    pool = pool_without()
    fill_by_large_account(pool, queue=URGENT)
    pool.submit(A, task(1, accelerators=8), account='large', queue=URGENT)
    pool.advance(0.1)
    pool.submit(B, task(1, accelerators=8), account='small', queue=URGENT)
    pool.advance(0.3)
    end_all_runs(pool, D)
    assert starts(pool.advance(0.3)) == [B]


def test_guaranteed_work_is_ordered_by_age_alone():
    """Work within a guarantee must start within seconds, however much its account has used."""
    pool = pool_without()
    pool.scheduler.set_guarantees({'large': 8, 'small': 8})
    fill_by_large_account(pool, queue=PATIENT)
    pool.submit(A, task(1, accelerators=8), account='large', queue=URGENT)
    pool.submit(B, task(1, accelerators=8), account='small', queue=URGENT)
    pool.advance(0.3)
    keys = {step.job.spec.job_id: step.sort_key.sort_key for step in steps_of(pool, A, B)}
    assert keys[A].standing == keys[B].standing == (0, 0, 0, False)


def steps_of(pool, *job_ids):
    return [pool.scheduler.job_by_id[job_id].step_by_key[0, 0] for job_id in job_ids]


@pytest.mark.parametrize('without', [(), (Mechanism.ACCOUNT_SHARES,)])
def test_runs_of_the_account_over_its_share_are_victims(without):
    """Accelerators were reclaimed from whoever had lost least work, not from those that borrow most."""
    pool = pool_without(*without, workers=4)
    pool.scheduler.set_guarantees({'owner': 8})
    pool.submit(A, task(3, accelerators=8, work_s=LONG), account='large')
    pool.advance()
    pool.advance(1.0)
    pool.submit(B, task(1, accelerators=8, work_s=LONG), account='small')
    pool.advance(0.0)
    for _ in range(8):
        pool.advance(0.25)
    pool.submit(C, task(1, accelerators=8, gang=True), account='owner', queue=URGENT)
    victims = {effect.key.job_id for effect in pool.advance(0.1) if isinstance(effect, StopRun)}
    assert victims == ({B} if without else {A})


def test_an_account_removed_while_its_work_waits_is_served():
    pool = pool_without()
    pool.scheduler.set_guarantees({'large': 4, 'small': 4})
    fill_by_large_account(pool)
    pool.submit(A, task(1, accelerators=8), account='small')
    pool.advance(0.3)
    pool.scheduler.set_guarantees({'large': 100})
    pool.advance(0.3)
    pool.scheduler.set_guarantees({})
    pool.advance(0.3)
    end_all_runs(pool, D)
    assert starts(pool.advance(0.3)) == [A]


def test_starts_and_reports_name_the_level_of_the_account():
    pool = pool_without()
    fill_by_large_account(pool)
    pool.submit(A, task(1, accelerators=8), account='large')
    for _ in range(8):
        pool.advance(0.25)
    reports = [note for note in pool.scheduler.take_notes() if note.step.job_id == A]
    assert (reports[0].account, reports[0].account_level) == ('large', 2)
    end_all_runs(pool, D)
    assert [effect.account for effect in pool.advance(0.3)] == ['large']


SUBMISSIONS = st.lists(
    st.tuples(
        st.sampled_from((URGENT, ORDINARY, PATIENT)),
        st.sampled_from(('a', 'b', 'c')),
        st.builds(
            task,
            count=st.integers(1, 10),
            accelerators=st.sampled_from((1, 4, 8)),
            work_s=st.floats(0.5, 9.0),
            gang=st.booleans(),
        ),
        st.floats(0.0, 1.5),
    ),
    max_size=6,
)


def play(submissions, without, workers, account=None):
    """Play submissions; each run ends after its expected time. Return all orders in order."""
    pool = Pool(workers=workers, settings=SchedulerSettings(without=frozenset(without)))
    orders = []
    begun_s = {}
    pending = [(queue, account or drawn, step, gap) for queue, drawn, step, gap in submissions]
    due_s = pool.now_s
    number = 0
    for _ in range(48):
        while pending and due_s <= pool.now_s:
            queue, owner, step, gap = pending.pop(0)
            pool.submit(f'{number:016x}', step, queue=queue, account=owner)
            number += 1
            due_s += gap
        pool.finish_stops()
        for effect in pool.advance(0.25):
            orders.append(effect[:4])
            begun_s.setdefault(effect[1:3], pool.now_s)
        for (_, key), run in sorted(pool.running.items()):
            step = pool.spec_by_id[key.job_id].steps[0]
            still_runs = any(each == key for _, each in pool.running)
            if still_runs and pool.now_s - begun_s[key, run] >= step.estimate_s:
                pool.end_task_or_gang(key, EndKind.DONE)
    return orders


@settings(max_examples=15)
@given(SUBMISSIONS)
def test_with_a_single_account_shares_change_nothing(submissions):
    other = (Mechanism.PRIORITY_ORDER,)
    with_shares = play(submissions, other, 2, account='a')
    assert with_shares == play(submissions, (*other, Mechanism.ACCOUNT_SHARES), 2, account='a')


@settings(max_examples=6)
@given(SUBMISSIONS)
def test_where_nothing_waits_neither_changes_anything(submissions):
    both = (Mechanism.PRIORITY_ORDER, Mechanism.ACCOUNT_SHARES)
    assert play(submissions, (), 60) == play(submissions, both, 60)
