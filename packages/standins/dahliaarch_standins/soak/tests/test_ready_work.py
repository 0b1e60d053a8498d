"""Tests that the check of ready work reports jobs that wait despite idle capacity, and nothing else."""

import json
import time

import pytest

from dahliaarch_kernel.workload import Resources, StepSpec
from dahliaarch_standins.platform.workers import Ended, Started
from dahliaarch_standins.soak.contact import QUIET_PERIOD_S
from dahliaarch_standins.soak.ready_work import MAX_READY_WAIT_S, ReadyWorkCheck
from dahliaarch_standins.soak.violations import Submission

CALM_S = 100.0
BOUND_S = QUIET_PERIOD_S + MAX_READY_WAIT_S
STEP = StepSpec(2, Resources(4000, 16_000, 4))
PROMISE = 'a ready job does not wait beside idle capacity'


def job(job_id='a', *steps, statuses=(200,), **fields):
    return Submission(job_id, 'urgent', 2, statuses, steps=steps or (STEP,), **fields)


class Worker:
    """Worker with its active runs and its recorded starts and ends."""

    def __init__(self, *running):
        self.capacity = Resources(64_000, 262_144, 8)
        self.running = dict.fromkeys(running, 1)
        self.starts = []
        self.ends = []

    def ended(self, *tasks, how='done', at_s=0.0):
        self.ends.extend(Ended('w', task, 1, how, at_s) for task in tasks)


class Pool:
    """Pool of workers, two by default, with the check and the time of its last look."""

    def __init__(self, *submissions, workers=2):
        self.workers = [Worker() for _ in range(workers)]
        self.check = ReadyWorkCheck(submissions, self.workers, CALM_S)
        self.now_s = CALM_S

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.now_s += 0.1
            self.check.sample(self.now_s)

    def violations(self, *logs):
        return list(self.check.violations(logs))

    @property
    def has_violation(self):
        return [each.promise for each in self.violations()] == [PROMISE]


def test_a_ready_job_beside_idle_capacity_is_reported():
    pool = Pool(job())
    pool.advance(BOUND_S - 0.2)
    assert not pool.violations()
    pool.advance(0.5)
    assert pool.has_violation


def test_a_wait_is_reported_after_its_end():
    pool = Pool(job())
    pool.advance(BOUND_S + 0.3)
    pool.workers[0].running['a.0.0.0'] = 1
    pool.advance(1.0)
    assert pool.has_violation


@pytest.mark.parametrize(
    'submission',
    [job(statuses=(503, 504)), job(is_cancelled=True), job('b')],
    ids=['not accepted', 'cancelled', 'crashed twice'],
)
def test_a_job_that_need_not_run_is_not_reported(submission):
    pool = Pool(submission)
    pool.workers[0].ended('b.0.0.0', 'b.0.0.0', how='crashed')
    pool.advance(2 * BOUND_S)
    assert not pool.violations()


def test_a_job_that_is_running_or_done_is_not_reported():
    pool = Pool(job('a'), job('b'))
    pool.workers[0].running['a.0.0.0'] = 1
    pool.workers[1].ended('b.0.0.0', 'b.0.0.1')
    pool.advance(2 * BOUND_S)
    assert not pool.violations()


def test_a_run_between_two_checks_ends_a_wait():
    pool = Pool(job())
    pool.advance(BOUND_S - 1.0)
    pool.workers[0].starts.append(Started('w', 'a.0.0.0', 1, 0, pool.now_s + 0.05))
    pool.advance(2.0)
    assert not pool.violations()


@pytest.mark.parametrize(('done', 'has_violation'), [(['a.0.0.0'], False), (['a.0.0.0', 'a.0.0.1'], True)])
def test_a_step_is_ready_once_all_tasks_before_it_are_done(done, has_violation):
    wide = STEP._replace(demand=Resources(4000, 16_000, 9))
    pool = Pool(job('a', wide, STEP._replace(after=(0,))))
    pool.workers[0].ended(*done)
    pool.advance(2 * BOUND_S)
    assert pool.has_violation is has_violation


@pytest.mark.parametrize(('task_count', 'has_violation'), [(2, True), (3, False)])
def test_a_gang_is_reported_only_if_it_fits_twice(task_count, has_violation):
    pool = Pool(job('a', STEP._replace(task_count=task_count, gang=True)))
    pool.advance(2 * BOUND_S)
    assert pool.has_violation is has_violation


@pytest.mark.parametrize(('accelerators', 'has_violation'), [(1, True), (4, True), (5, False)])
def test_capacity_for_a_single_task_is_not_idle_capacity(accelerators, has_violation):
    pool = Pool(job('a', STEP._replace(demand=Resources(4000, 16_000, accelerators))), workers=1)
    pool.advance(2 * BOUND_S)
    assert pool.has_violation is has_violation


@pytest.mark.parametrize(('cores', 'has_violation'), [(60, True), (64, False)])
def test_capacity_is_not_idle_if_half_of_it_is_in_use(cores, has_violation):
    small = STEP._replace(demand=Resources(0, 16_000, 1))
    pool = Pool(job('a', small), job('b', StepSpec(1, Resources(1000 * cores, 0, 0))), workers=1)
    pool.workers[0].running['b.0.0.0'] = 1
    pool.advance(2 * BOUND_S)
    assert pool.has_violation is has_violation


def exit_daemon(pool):
    pool.check.record_disturbance(pool.now_s)


def delay_next_look(pool):
    pool.now_s += 1.0


@pytest.mark.parametrize('disturb', [exit_daemon, delay_next_look])
def test_a_disturbance_ends_a_wait(disturb):
    pool = Pool(job())
    pool.advance(BOUND_S - 0.5)
    disturb(pool)
    pool.advance(BOUND_S - 0.2)
    assert not pool.violations()
    pool.advance(0.6)
    assert pool.has_violation


def test_a_worker_crash_restarts_the_wait_of_the_job():
    pool = Pool(job(), workers=3)
    pool.advance(BOUND_S - 0.5)
    pool.workers[0].ended('a.0.0.0', how='crashed', at_s=pool.now_s)
    pool.advance(BOUND_S - 0.2)
    assert not pool.violations()
    pool.advance(0.6)
    assert pool.has_violation


@pytest.mark.parametrize(('workers', 'has_violation'), [(2, False), (3, True)])
def test_capacity_of_a_recently_crashed_worker_is_not_idle(workers, has_violation):
    pool = Pool(job(), workers=workers)
    pool.advance(QUIET_PERIOD_S - 0.5)
    pool.workers[0].ended('c.0.0.0', how='crashed', at_s=pool.now_s)
    pool.advance(MAX_READY_WAIT_S + 1.0)
    assert pool.has_violation is has_violation


def test_the_longest_waits_are_reported_with_the_total_count():
    pool = Pool(*(job(name) for name in 'abcdefgh'))
    pool.advance(BOUND_S + 0.5)
    pool.workers[0].running['a.0.0.0'] = 1
    pool.advance(1.0)
    violations = pool.violations()
    assert len(violations) == 5
    assert all('(one of 8)' in each.detail and not each.detail.startswith('a:') for each in violations)


def test_the_last_logged_wait_reason_of_the_job_is_reported(tmp_path):
    log = tmp_path / 'i0.log'
    now_s = time.time()
    wall_s = now_s - time.monotonic()
    rows = [('a', 'locality', 101.0), ('a', 'reserved', 102.0), ('b', 'refused', 103.0), ('a', 'advice', 300.0)]
    written = ({'at': at + wall_s, 'event': 'step_waiting', 'job': name, 'reason': why} for name, why, at in rows)
    log.write_text('a trace\n' + ''.join(json.dumps(row, separators=(',', ':')) + '\n' for row in written))
    pool = Pool(job())
    pool.advance(BOUND_S + 1.0)
    detail = pool.violations(log)[0].detail
    assert detail.startswith('a: nothing ran from ')
    assert '"reason": "reserved"' in detail
    assert pool.violations()[0].detail.endswith('no step_waiting line')
