"""Tests of crashes of workers on which a suspect ran isolated."""

import pytest

from .pool import Pool, task, URGENT

SUSPECT, EARLIER, JUST_BEFORE = 'a' * 16, 'b' * 16, 'c' * 16


@pytest.fixture
def pool():
    """Return a pool of one worker on which a suspect has started right after another task, beside an earlier run."""
    pool = Pool(workers=1)
    pool.submit(SUSPECT, task(work_s=20.0))
    pool.advance()
    pool.crash('w0')
    pool.save_progress()
    pool.submit(EARLIER, task(work_s=60.0), queue=URGENT)
    pool.advance(0.1)
    pool.submit(JUST_BEFORE, task(work_s=60.0), queue=URGENT)
    pool.advance(2.5)
    assert [start.key.job_id for start in pool.starts] == [SUSPECT, EARLIER, JUST_BEFORE, SUSPECT]
    return pool


def crashes_of(pool, job_id):
    (step,) = pool.scheduler.job_by_id[job_id].step_by_key.values()
    return step.crashes_by_index.get(0, [])


def test_a_crash_counts_against_a_task_that_had_just_started(pool):
    # The crash counted against the suspect only, so that a task that crashes workers started six times.
    pool.crash('w0+')
    assert len(crashes_of(pool, JUST_BEFORE)) == 1
    assert not any(crash.is_conclusive for crash in crashes_of(pool, JUST_BEFORE))
    assert not crashes_of(pool, SUSPECT)[-1].is_conclusive


def test_a_crash_does_not_count_against_an_earlier_task(pool):
    pool.crash('w0+')
    assert not crashes_of(pool, EARLIER)
