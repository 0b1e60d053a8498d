"""Ends of runs are observed as what they show: a run time, or that a run lasted at least so long."""

import pytest

from dahliaarch_kernel.scheduler import Mechanism, SchedulerSettings, StartRun
from dahliaarch_kernel.scheduler.events import EndKind
from dahliaarch_kernel.scheduler.tests.pool import Pool, task

A, B = 'a' * 16, 'b' * 16


@pytest.fixture(name='pool')
def make_pool():
    return Pool()


def observed(pool, monkeypatch):
    """Return a list to which the observations are appended as pairs of ratio, weight and completeness."""
    found = []
    monkeypatch.setattr(
        pool.scheduler._state.times,
        'observe_ratio',
        lambda queue, account, ratio, weight, *, is_complete: found.append((round(ratio, 2), weight, is_complete)),
    )
    return found


def test_a_success_is_observed_as_a_run_time(pool, monkeypatch):
    found = observed(pool, monkeypatch)
    pool.submit(A, task(2, work_s=4.0))
    pool.advance()
    pool.now_s += 6.0
    for (worker, key), run in tuple(pool.running.items()):
        pool.end(worker, key, run, EndKind.DONE)
    assert found == [(1.5, 0.5, True), (1.5, 0.5, True)]


@pytest.mark.parametrize('kind', [EndKind.DONE, EndKind.FAILED])
def test_the_members_of_a_gang_are_observed_once(pool, monkeypatch, kind):
    """All members end with the first: counted by member, a wide gang would replace what was observed before."""
    found = observed(pool, monkeypatch)
    pool.submit(A, task(4, accelerators=8, gang=True, work_s=4.0))
    pool.advance()
    pool.now_s += 6.0
    pool.end_task_or_gang(next(key for _, key in pool.running), kind)
    assert found == [(1.5, 1.0, kind is EndKind.DONE)]


def test_a_failed_run_is_observed_as_interrupted(pool, monkeypatch):
    found = observed(pool, monkeypatch)
    pool.submit(A, task(work_s=4.0))
    pool.advance()
    pool.now_s += 3.0
    pool.end_task_or_gang(next(key for _, key in pool.running), EndKind.FAILED)
    assert found == [(0.75, 1.0, False)]


def test_a_stopped_run_lasted_until_it_was_last_seen(pool, monkeypatch):
    found = observed(pool, monkeypatch)
    pool.submit(A, task(work_s=4.0))
    pool.advance()
    worker = next(worker for worker, _ in pool.running)
    pool.now_s += 2.0
    pool.survey(worker, percent=40.0)
    pool.scheduler.cancel(A, pool.now)
    pool.advance()
    pool.now_s += 1.0
    pool.finish_stops()
    assert found == [(0.5, 1.0, False)]


def test_a_run_lost_with_a_silent_worker_is_observed(pool, monkeypatch):
    """Without lost runs the tail is too short: long runs are lost more often than short ones."""
    found = observed(pool, monkeypatch)
    pool.submit(A, task(work_s=4.0))
    pool.advance()
    worker = next(worker for worker, _ in pool.running)
    pool.now_s += 2.0
    pool.survey(worker, percent=40.0)
    pool.silent.add(worker)
    pool.running.clear()
    pool.scheduler.worker_silent(worker, pool.now)
    pool.advance(30.0)
    assert found == [(0.5, 1.0, False)]


def test_runs_from_a_checkpoint_are_not_observed(pool, monkeypatch):
    found = observed(pool, monkeypatch)
    pool.submit(A, task(work_s=4.0, checkpoints=True))
    pool.advance()
    (worker, key), run = next(iter(pool.running.items()))
    pool.now_s += 1.0
    pool.end(worker, key, run, EndKind.STOPPED, 'c1')
    found.clear()
    pool.advance(0.1)
    pool.now_s += 1.0
    pool.end_task_or_gang(key, EndKind.DONE)
    assert not found
    assert pool.starts[-1].checkpoint == 'c1'
    assert pool.starts[-1].p50_s == 0.0


def test_refused_runs_are_not_observed(pool, monkeypatch):
    found = observed(pool, monkeypatch)
    pool.submit(A, task(work_s=4.0))
    pool.advance()
    pool.now_s += 0.5
    (worker, key), run = next(iter(pool.running.items()))
    pool.end(worker, key, run, EndKind.REFUSED)
    assert not found


def test_orders_carry_the_predicted_quantiles(pool):
    pool.submit(A, task(work_s=4.0))
    (start,) = [effect for effect in pool.advance() if isinstance(effect, StartRun)]
    assert start.p50_s == pytest.approx(4.2, rel=0.06)
    assert start.p90_s == pytest.approx(7.2, rel=0.06)


def reservation_after_overdue_runs(settings):
    """Return how far ahead capacity is reserved for a gang while all workers run tasks beyond their expected times."""
    pool = Pool(workers=2, settings=settings)
    pool.submit(A, task(2, accelerators=8, work_s=4.0))
    pool.advance()
    pool.submit(B, task(2, accelerators=8, gang=True, work_s=4.0))
    pool.advance(8.0)
    (reservation,) = pool.scheduler._state.reservations
    return reservation.ready_s - pool.now_s


def test_reservations_expect_overdue_runs_to_last():
    """A reservation that starts at once keeps short work from capacity that stays taken for seconds."""
    without = SchedulerSettings(without=frozenset((Mechanism.RUN_TIME_QUANTILES,)))
    assert reservation_after_overdue_runs(without) == pytest.approx(0.1)
    assert reservation_after_overdue_runs(SchedulerSettings()) > 1.0
