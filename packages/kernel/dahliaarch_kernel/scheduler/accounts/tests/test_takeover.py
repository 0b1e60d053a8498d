"""Tests of the usage that a new owner derives from the jobs in the store."""

import pytest

from dahliaarch_kernel.scheduler import EndKind, JobProgress, Mechanism, SchedulerSettings, StartRun, StepProgress

from ...tests.pool import end_all_runs, Pool, task

A, B, C, D = 'a' * 16, 'b' * 16, 'c' * 16, 'd' * 16
LARGE = task(8, accelerators=8, work_s=4.0)


def take_over(pool, wall_jump_s=0.0, without=()):
    """Return the pool of a new owner, which reads what the previous one saved and does not learn run times."""
    settings = SchedulerSettings(without=frozenset({*without, Mechanism.LEARNED_TIMES}))
    new = Pool(workers=1, epoch=pool.epoch + 1, settings=settings)
    new.now_s = pool.now_s
    now = new.now._replace(wall_s=new.now.wall_s + wall_jump_s)
    for job in pool.scheduler.job_by_id.values():
        new.spec_by_id[job.spec.job_id] = job.spec
        new.scheduler.add_job(job.spec, job.queue, now, progress=job.progress())
    return new


def finish_work_of_large_account(pool):
    pool.submit(D, LARGE, account='large')
    for _ in range(8):
        pool.advance(0.25)
        for _, key in sorted(pool.running):
            pool.end_task_or_gang(key, EndKind.DONE)
    assert pool.scheduler.job_by_id[D].has_ended


def starts_of_both_accounts(pool):
    """Return whose work starts first, when the work of the large account came first."""
    pool.submit(C, task(1, accelerators=8, work_s=60.0), account='other')
    pool.advance(0.3)
    pool.submit(A, task(1, accelerators=8), account='large')
    pool.advance(0.1)
    pool.submit(B, task(1, accelerators=8), account='small')
    pool.advance(0.3)
    end_all_runs(pool, C)
    return [effect.key.job_id for effect in pool.advance(0.3) if isinstance(effect, StartRun)]


def test_a_new_owner_does_not_grant_the_burst_again():
    """Each change of the owner let the account that had used most come first once more."""
    pool = Pool(workers=1)
    finish_work_of_large_account(pool)
    new = take_over(pool)
    assert starts_of_both_accounts(new) == [B]


def test_usage_of_long_ago_does_not_count():
    pool = Pool(workers=1)
    finish_work_of_large_account(pool)
    pool.now_s += 100.0
    assert starts_of_both_accounts(take_over(pool)) == [A]


def test_without_shares_nothing_is_derived():
    pool = Pool(workers=1)
    finish_work_of_large_account(pool)
    assert starts_of_both_accounts(take_over(pool, without=(Mechanism.ACCOUNT_SHARES,))) == [A]


@pytest.mark.parametrize('wall_jump_s', [-3600.0, 3600.0])
def test_a_clock_of_another_time_does_no_harm(wall_jump_s):
    """The owner before may have had another clock: ages would be negative, or run times negative."""
    pool = Pool(workers=1)
    finish_work_of_large_account(pool)
    new = take_over(pool, wall_jump_s)
    assert len(starts_of_both_accounts(new)) == 1
    assert all(0 <= ratio <= 3 for ratio in new.scheduler.account_shares.ratio_by_account.values())


def test_an_absurd_estimate_counts_for_no_longer_than_its_job():
    """A submitter's estimate of a year counted as a year of usage."""
    pool = Pool(workers=1)
    pool.submit(D, task(1, accelerators=8, work_s=3e7), account='large')
    pool.now_s += 4.0
    done = JobProgress('running', (StepProgress(0, 0, all_done=True),))
    job = pool.scheduler.job_by_id[D]
    new = Pool(workers=1, epoch=8)
    new.scheduler.add_job(job.spec, job.queue, pool.now, progress=done)
    (past,) = new.scheduler.account_shares._inherited
    assert past.task_seconds == pytest.approx(4.0)
    assert 0 <= past.age_s <= 4.0


def test_unfinished_jobs_count_with_their_done_tasks():
    pool = Pool(workers=1)
    pool.submit(D, LARGE, account='large')
    for _ in range(16):
        pool.advance(0.25)
    end_all_runs(pool, D)
    new = take_over(pool)
    (past,) = new.scheduler.account_shares._inherited
    assert (past.account, past.demand.accelerators) == ('large', 8)
    assert past.task_seconds == pytest.approx(4.0)


def test_a_successor_of_a_successor_derives_the_same():
    """Two owners in turn: what is derived comes from the store alone, so nothing is counted twice."""
    pool = Pool(workers=1)
    finish_work_of_large_account(pool)
    first = take_over(pool)
    second = take_over(first)
    assert second.scheduler.account_shares._inherited == first.scheduler.account_shares._inherited
