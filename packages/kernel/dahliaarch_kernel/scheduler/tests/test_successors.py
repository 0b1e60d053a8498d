"""Tests of unacknowledged starts on workers that restart.

The next incarnation of a worker may execute such a start before it has answered its first survey. The task was
started on another worker as soon as the previous incarnation was over, 0.4 s before the next one listed its runs, so
that two runs existed.
"""

import pytest

from dahliaarch_kernel.scheduler import EndKind, StartRun
from dahliaarch_kernel.scheduler.events import ListedRun

from .pool import Pool, task

A = 'a' * 16
LATE_S = 20.0


def replace_with_unacknowledged_start(pool):
    """Return an unacknowledged start on an incarnation that has since been replaced."""
    pool.submit(A, task())
    (start,) = pool.advance()
    pool.scheduler.worker_by_id[start.worker_id].run_by_key[start.key].is_confirmed = False
    replace_incarnation(pool, start.worker_id)
    del pool.running[start.worker_id, start.key]
    return start


def replace_incarnation(pool, worker_id):
    former = pool.scheduler.worker_by_id[worker_id].profile
    pool.scheduler.worker_replaced(worker_id, f'{worker_id}+', pool.now_s + LATE_S)
    pool.scheduler.worker_over(worker_id, pool.now)
    pool.scheduler.expect_worker(former._replace(worker_id=f'{worker_id}+'), pool.now)
    pool.save_progress()


def starts_after(pool, after_s):
    pool.advance(after_s)
    return [effect for effect in pool.advance(0.3) if isinstance(effect, StartRun)] or pool.starts[1:]


def test_a_task_starts_if_the_next_survey_lists_no_run():
    pool = Pool(workers=2)
    start = replace_with_unacknowledged_start(pool)
    assert not starts_after(pool, 5.0)
    pool.add_worker(f'{start.worker_id}+', 'r0')
    assert [each.key for each in starts_after(pool, 0.0)] == [start.key]


def test_the_run_continues_where_the_next_survey_lists_it():
    pool = Pool(workers=2)
    start = replace_with_unacknowledged_start(pool)
    successor = f'{start.worker_id}+'
    pool.add_worker(successor, 'r0')
    listed = ListedRun(start.key, start.run, '', 10.0)
    pool.scheduler.worker_surveyed(successor, (listed,), pool.now_s, pool.now)
    assert not starts_after(pool, 1.0)
    assert start.key in pool.scheduler.worker_by_id[successor].run_by_key


@pytest.mark.parametrize(('after_s', 'count'), [(LATE_S - 1.0, 0), (LATE_S, 1)])
def test_the_task_waits_no_longer_than_a_start_may_be_delayed(after_s, count):
    pool = Pool(workers=2)
    replace_with_unacknowledged_start(pool)
    assert len(starts_after(pool, after_s)) == count


def test_the_task_waits_for_the_latest_of_several_incarnations():
    pool = Pool(workers=2)
    start = replace_with_unacknowledged_start(pool)
    replace_incarnation(pool, f'{start.worker_id}+')
    assert not starts_after(pool, 0.0)
    pool.add_worker(f'{start.worker_id}++', 'r0')
    assert len(starts_after(pool, 0.0)) == 1


def test_a_task_starts_once_the_last_incarnation_is_over():
    pool = Pool(workers=2)
    start = replace_with_unacknowledged_start(pool)
    pool.scheduler.worker_over(f'{start.worker_id}+', pool.now)
    assert len(starts_after(pool, 0.0)) == 1


def test_an_acknowledged_start_ends_with_its_incarnation():
    pool = Pool(workers=2)
    pool.submit(A, task())
    (start,) = pool.advance()
    replace_incarnation(pool, start.worker_id)
    del pool.running[start.worker_id, start.key]
    assert len(starts_after(pool, 0.0)) == 1


def start_with_unanswered_first_attempt(pool, sent_ago_s):
    """Return a start whose first attempt, sent `sent_ago_s` ago, got no reply, and whose second did."""
    pool.submit(A, task())
    (start,) = pool.advance()
    worker = pool.scheduler.worker_by_id[start.worker_id]
    worker.late_order_s = LATE_S
    worker.unanswered_starts[start.key] = pool.now_s - sent_ago_s
    return start


def test_a_task_waits_for_an_attempt_before_an_acknowledged_one():
    """The run ended with its incarnation and the task ran elsewhere when the next one executed the first attempt."""
    pool = Pool(workers=2)
    start = start_with_unanswered_first_attempt(pool, 1.0)
    replace_incarnation(pool, start.worker_id)
    del pool.running[start.worker_id, start.key]
    assert not starts_after(pool, 1.0)
    pool.add_worker(f'{start.worker_id}+', 'r0')
    assert len(starts_after(pool, 0.0)) == 1


def test_a_task_waits_for_an_unanswered_attempt_that_was_stopped():
    """The next incarnation does not know of the stop that the previous one acknowledged."""
    pool = Pool(workers=1)
    start = start_with_unanswered_first_attempt(pool, 1.0)
    pool.end(start.worker_id, start.key, start.run, EndKind.STOPPED)
    replace_incarnation(pool, start.worker_id)
    pool.add_worker('w1', 'r0')
    assert not starts_after(pool, 1.0)
    pool.add_worker(f'{start.worker_id}+', 'r0')
    assert len(starts_after(pool, 0.0)) == 1


@pytest.mark.parametrize(('sent_ago_s', 'count'), [(LATE_S - 2.0, 0), (LATE_S, 1)])
def test_a_task_waits_no_longer_than_an_attempt_may_be_delayed(sent_ago_s, count):
    pool = Pool(workers=2)
    start = start_with_unanswered_first_attempt(pool, sent_ago_s)
    replace_incarnation(pool, start.worker_id)
    del pool.running[start.worker_id, start.key]
    assert len(starts_after(pool, 0.0)) == count


def test_no_other_task_waits_for_an_attempt_of_a_done_task():
    pool = Pool(workers=1)
    pool.submit(A, task(2, accelerators=8))
    (start,) = pool.advance()
    worker = pool.scheduler.worker_by_id[start.worker_id]
    worker.late_order_s = LATE_S
    worker.unanswered_starts[start.key] = pool.now_s
    pool.end(start.worker_id, start.key, start.run, EndKind.DONE)
    replace_incarnation(pool, start.worker_id)
    pool.add_worker('w1', 'r0')
    assert len(starts_after(pool, 0.0)) == 1


def give_up_with_unacknowledged_start(pool, is_listed):
    """Return an unacknowledged start on an incarnation given up as unreachable; the next one may already run."""
    pool.submit(A, task())
    (start,) = pool.advance()
    worker = pool.scheduler.worker_by_id[start.worker_id]
    worker.run_by_key[start.key].is_confirmed = False
    worker.late_order_s = LATE_S
    worker.unanswered_starts[start.key] = pool.now_s
    if not is_listed:
        pool.scheduler.unlist_worker(start.worker_id)
    pool.scheduler.worker_silent(start.worker_id, pool.now)
    pool.silent.add(start.worker_id)
    del pool.running[start.worker_id, start.key]
    return start


@pytest.mark.parametrize('is_listed', [False, True])
@pytest.mark.parametrize(('after_s', 'count'), [(LATE_S - 1.0, 0), (LATE_S, 1)])
def test_its_task_waits_for_an_incarnation_given_up_in_silence(is_listed, after_s, count):
    """The next incarnation completed the task before its first survey, and the task ran again 1.4 s later."""
    pool = Pool(workers=2)
    give_up_with_unacknowledged_start(pool, is_listed)
    assert not pool.advance(0.1)
    assert len(starts_after(pool, after_s)) == count


def test_a_task_waits_for_a_successor_given_up_without_a_survey():
    pool = Pool(workers=2)
    start = replace_with_unacknowledged_start(pool)
    successor = f'{start.worker_id}+'
    pool.scheduler.worker_by_id[successor].late_order_s = LATE_S
    pool.scheduler.worker_silent(successor, pool.now)
    assert not starts_after(pool, LATE_S - 1.0)
    assert len(starts_after(pool, 1.0)) == 1


def test_a_task_starts_once_the_successor_has_listed_its_runs():
    pool = Pool(workers=2)
    start = give_up_with_unacknowledged_start(pool, is_listed=False)
    assert not pool.advance(0.1)
    pool.add_worker(f'{start.worker_id}+', 'r0')
    pool.scheduler.worker_over(start.worker_id, pool.now)
    pool.save_progress()
    assert len(starts_after(pool, 0.0)) == 1


def test_a_task_starts_once_its_incarnation_has_listed_its_runs():
    """The incarnation was only unreachable and still knows of the stop."""
    pool = Pool(workers=2)
    start = give_up_with_unacknowledged_start(pool, is_listed=False)
    assert not pool.advance(0.1)
    pool.silent.clear()
    pool.add_worker(start.worker_id, 'r0')
    assert len(starts_after(pool, 0.0)) == 1


def test_a_task_starts_at_once_if_successors_have_other_names():
    pool = Pool(workers=2)
    start = give_up_with_unacknowledged_start(pool, is_listed=False)
    pool.scheduler.worker_by_id[start.worker_id].late_order_s = 0.0
    pool.advance(0.1)
    assert len(starts_after(pool, 0.0)) == 1


def set_may_hide_ends(pool, worker_id):
    """Mark a worker as one that may never list the ends of its runs."""
    pool.scheduler.worker_by_id[worker_id].may_hide_ends = True


def test_a_late_start_is_stopped_where_its_end_may_be_hidden():
    """The end of the run was never listed, and the task ran again."""
    pool = Pool(workers=2)
    start = replace_with_unacknowledged_start(pool)
    successor = f'{start.worker_id}+'
    pool.add_worker(successor, 'r0')
    set_may_hide_ends(pool, successor)
    pool.scheduler.worker_surveyed(successor, (ListedRun(start.key, start.run, '', 10.0),), pool.now_s, pool.now)
    pool.running[successor, start.key] = start.run
    pool.advance()
    assert [(stop.worker_id, stop.run) for stop in pool.stops] == [(successor, start.run)]


@pytest.mark.parametrize(
    ('step', 'count'),
    [(task(8), 4), (task(2, gang=True), 0), (task(1, lasting=True), 0)],
    ids=['tasks', 'gang', 'lasting'],
)
def test_an_incarnation_that_may_hide_ends_gets_few_starts(step, count):
    pool = Pool(workers=1)
    set_may_hide_ends(pool, 'w0')
    pool.submit(A, step)
    assert len(pool.advance()) == count
    assert not pool.advance(0.3)


def test_probes_respect_the_limit_per_worker():
    # An incarnation that may hide ends got as many probes of one step as of any others, beyond its limit per worker.
    pool = Pool(workers=1)
    set_may_hide_ends(pool, 'w0')
    pool.submit(A, task(8, max_per_worker=1))
    (start,) = pool.advance()
    assert not pool.advance(0.3)
    pool.end('w0', start.key, start.run, EndKind.STOPPED)
    assert len(pool.advance(0.3)) == 1


def test_an_incarnation_that_has_listed_an_end_gets_work():
    pool = Pool(workers=1)
    set_may_hide_ends(pool, 'w0')
    pool.submit(A, task(8))
    for start in pool.advance():
        pool.end('w0', start.key, start.run, EndKind.STOPPED)
    pool.scheduler.worker_surveyed('w0', (), pool.now_s, pool.now, lists_ends=True)
    assert len(pool.advance(0.01)) == 8


def test_workers_that_may_hide_ends_are_used_last():
    pool = Pool(workers=2)
    set_may_hide_ends(pool, 'w0')
    pool.submit(A, task(3))
    assert [start.worker_id for start in pool.advance()] == ['w1'] * 3
