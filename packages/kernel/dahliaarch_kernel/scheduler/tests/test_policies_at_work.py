"""Tests that the policy programs of operators affect scheduling decisions."""

import pytest

from dahliaarch_kernel.policies import Policy, PolicySettings
from dahliaarch_kernel.scheduler import Mechanism, Scheduler, SchedulerSettings, StartRun, StopRun

from .pool import ORDINARY, PATIENT, Pool, task, URGENT

A, B, C = 'a' * 16, 'b' * 16, 'c' * 16


def make_pool(settings, workers=1, without=frozenset()):
    failures = []
    pool = Pool(workers=0, settings=SchedulerSettings(without=without))
    pool.scheduler = Scheduler(pool.settings, pool.epoch, Policy(settings, lambda name, error: failures.append(name)))
    for number in range(workers):
        pool.add_worker(f'w{number}', 'r0')
    return pool, failures


@pytest.mark.parametrize(
    ('first_queue', 'without'), [(PATIENT, frozenset()), (ORDINARY, frozenset({Mechanism.PRIORITY_ORDER}))]
)
def test_a_priority_program_determines_the_order_of_starts(first_queue, without):
    """Queues come before programs, so the program orders work of one queue, or all work without that mechanism."""
    pool, _ = make_pool(PolicySettings('mine', priority='members'), without=without)
    pool.submit(A, task(1, accelerators=8), queue=first_queue)
    pool.submit(B, task(3, accelerators=8), queue=PATIENT)
    assert [effect.key.job_id for effect in pool.advance()] == [B]


def test_a_filter_program_excludes_workers():
    pool, _ = make_pool(PolicySettings('mine', placement_filter='free < slots'))
    pool.submit(A, task())
    assert not pool.advance()


def test_a_score_program_chooses_among_workers():
    pool, _ = make_pool(PolicySettings('mine', placement_score='0.0 - free'), workers=2)
    pool.submit(A, task())
    first = pool.advance()[0].worker_id
    pool.submit(B, task())
    assert pool.advance()[0].worker_id != first


def test_a_reclaim_program_chooses_victims():
    pool, _ = make_pool(PolicySettings('mine', reclaim='checkpointable ? 100.0 : 0.0'), workers=2)
    pool.submit(A, task(1, accelerators=8), queue=PATIENT)
    pool.submit(B, task(1, accelerators=8, checkpoints=True), queue=PATIENT)
    pool.advance()
    pool.submit(C, task(1, accelerators=8), queue=URGENT)
    assert [effect.key.job_id for effect in pool.advance(2.0) if isinstance(effect, StopRun)] == [A]


def test_the_built_in_policy_applies_when_a_program_fails():
    pool, failures = make_pool(PolicySettings('mine', priority='slots == 2.0 ? double("x") : 1.0'))
    pool.submit(A, task(accelerators=2))
    assert [type(effect) for effect in pool.advance()] == [StartRun]
    assert failures == ['priority']
