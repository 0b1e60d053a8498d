"""Tests of workers that restart under the same name.

A worker crashed and restarted under its name before its entry lapsed. It numbered its
run ends from one again, but the owner processed only ends above the last number that it
had read, so a task that had ended was run again. All state in a worker's memory (end
numbers, accepted orders, the highest fence, its clock) therefore belongs to an
incarnation, not to a name, and only the worker's answers tell which incarnation answers.
"""

import time

import pytest

from dahliaarch_kernel.codec import encode
from dahliaarch_kernel.scheduler import EndKind
from dahliaarch_kernel.scheduler.events import ListedRun
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address
from dahliaarch_platform.store import Item

from ...records import ROSTER_PREFIX
from ..messages import WorkerUnlisted
from .restarting_workers import (
    entry_item,
    FIRST,
    job,
    phase_is,
    RestartingWorker,
    roster_item,
    run_actions,
    SECOND,
    start_count_is,
    TASK,
    THIRD,
    time_has_passed,
    tracks,
    tracks_one_run,
    worker_listed,
)
from .sessions import InMemorySessions
from .test_takeover import (
    INHERITED_JOB_ID,
    job_item,
    NEW_JOB_ID,
)


@pytest.mark.parametrize(('kind', 'phase'), [(EndKind.DONE, 'succeeded'), (EndKind.FAILED, 'running')])
def test_each_end_of_a_later_incarnation_is_processed_once(kind, phase):
    worker = RestartingWorker()
    owner = run_actions(
        worker,
        (lambda owner: owner.post(job(NEW_JOB_ID)), start_count_is(worker, 1)),
        (lambda owner: worker.end(EndKind.DONE), phase_is('succeeded', NEW_JOB_ID)),
        (lambda owner: worker.restart(SECOND), tracks(SECOND)),
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: True),
        (lambda owner: owner.post(job()), start_count_is(worker, 2)),
        (lambda owner: worker.end(kind), phase_is(phase)),
    )
    step = owner.scheduler.job_by_id[INHERITED_JOB_ID].step_by_key[0, 0]
    assert len(worker.starts) == 2
    assert (step.done, len(step.failed_runs_by_index)) in [({0}, 0), (set(), 0), (set(), 1)]


def test_only_listed_ends_are_acknowledged():
    worker = RestartingWorker()
    run_actions(
        worker,
        (lambda owner: owner.post(job()), start_count_is(worker, 1)),
        (lambda owner: worker.end(EndKind.DONE), phase_is('succeeded')),
        (lambda owner: None, lambda owner: (FIRST.worker_id, 1) in worker.acknowledged),
        (lambda owner: worker.restart(SECOND), tracks(SECOND)),
        (
            lambda owner: None,
            lambda owner: sum(incarnation == SECOND.worker_id for incarnation, _ in worker.acknowledged) > 5,
        ),
    )
    assert {number for incarnation, number in worker.acknowledged if incarnation == SECOND.worker_id} == {0}


def test_an_end_is_acknowledged_only_once():
    worker = RestartingWorker()
    run_actions(
        worker,
        (lambda owner: owner.post(job()), start_count_is(worker, 1)),
        (lambda owner: worker.end(EndKind.DONE), phase_is('succeeded')),
        (lambda owner: worker.acknowledged.clear(), lambda owner: len(worker.acknowledged) > 10),
    )
    assert [number for _, number in worker.acknowledged if number] in ([], [1])


@pytest.mark.parametrize(('unanswered', 'is_awaited'), [(1, True), (0, False)])
def test_a_task_with_an_unanswered_start_waits_for_the_successor(unanswered, is_awaited):
    """The next incarnation may carry out the first attempt, but the task was started on another worker.

    Only the second attempt had been acknowledged.
    """
    worker, idle = RestartingWorker(), RestartingWorker()
    worker.unanswered_start_count = unanswered
    idle.incarnation = WorkerIncarnation('x', 1_000)

    class TwoWorkers(InMemorySessions):
        def session(self, address, incarnation, fence):
            return (worker if incarnation.name == 'w' else idle).session(address, incarnation, fence)

    def restart(owner):
        (run,) = worker.running
        worker.restart(SECOND, (run,))
        worker.survey_delay_s = 0.6
        owner.post(worker_listed(idle.incarnation))

    run_actions(
        TwoWorkers(),
        (lambda owner: owner.post(job()), start_count_is(worker, 1)),
        (restart, tracks_one_run(SECOND) if is_awaited else start_count_is(idle, 1)),
        (lambda owner: None, time_has_passed(1.0)),
    )
    assert bool(idle.starts) is not is_awaited


def test_runs_of_an_earlier_incarnation_are_over_at_once():
    """The owner does not wait for the lease to expire, since no run survives its incarnation."""
    worker = RestartingWorker()
    owner = run_actions(
        worker,
        (lambda owner: owner.post(job()), start_count_is(worker, 1)),
        (lambda owner: worker.restart(SECOND), tracks(SECOND)),
        (lambda owner: owner.post(worker_listed(SECOND)), start_count_is(worker, 2)),
        within_s=2.0,
    )
    assert worker.starts == [(FIRST.worker_id, TASK), (SECOND.worker_id, TASK)]
    assert FIRST.worker_id not in owner.scheduler.worker_by_id


def test_an_incarnation_of_unknown_capacity_gets_no_starts():
    """The earlier incarnation has eight accelerators, the later one none."""
    worker = RestartingWorker()
    run_actions(
        worker,
        (lambda owner: worker.restart(SECOND), tracks(SECOND)),
        (lambda owner: owner.post(job()), lambda owner: INHERITED_JOB_ID in owner.scheduler.job_by_id),
        (lambda owner: owner.post(WorkerUnlisted('w')), lambda owner: len(worker.fences) > 8),
        (lambda owner: owner.post(worker_listed(SECOND, accelerators=0)), lambda owner: len(worker.fences) > 16),
    )
    assert not worker.starts


def test_a_late_entry_does_not_update_a_later_incarnation():
    worker = RestartingWorker()
    owner = run_actions(
        worker,
        (lambda owner: worker.restart(SECOND), tracks(SECOND)),
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: True),
        (lambda owner: owner.post(worker_listed(FIRST, accelerators=0)), lambda owner: len(worker.fences) > 8),
        (lambda owner: owner.post(job()), start_count_is(worker, 1)),
    )
    assert worker.starts == [(SECOND.worker_id, TASK)]
    assert list(owner.scheduler.worker_by_id) == [SECOND.worker_id]


def test_the_incarnation_that_answered_last_is_the_later_one():
    """The clock of the later incarnation was behind when it started."""
    worker = RestartingWorker()
    worker.incarnation = THIRD
    run_actions(
        worker,
        (lambda owner: worker.restart(FIRST), tracks(FIRST)),
        (lambda owner: owner.post(worker_listed(FIRST)), lambda owner: True),
        (lambda owner: owner.post(job()), start_count_is(worker, 1)),
        items=[entry_item(THIRD)],
    )
    assert worker.starts == [(FIRST.worker_id, TASK)]


def test_an_incarnation_that_never_answered_is_skipped():
    worker = RestartingWorker()
    owner = run_actions(
        worker,
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: True),
        (lambda owner: worker.restart(THIRD), tracks(THIRD)),
        (lambda owner: owner.post(job()), lambda owner: INHERITED_JOB_ID in owner.scheduler.job_by_id),
        (lambda owner: owner.post(worker_listed(THIRD)), start_count_is(worker, 1)),
    )
    assert worker.starts == [(THIRD.worker_id, TASK)]
    assert list(owner.scheduler.worker_by_id) == [THIRD.worker_id]


def test_a_pending_entry_is_used_after_its_predecessor():
    """The earlier incarnation fell silent and was given up; the changed entry is not written again."""
    worker = RestartingWorker()
    run_actions(
        worker,
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: True),
        (lambda owner: owner.scheduler.worker_by_id.pop(FIRST.worker_id), lambda owner: True),
        (lambda owner: worker.restart(SECOND), tracks(SECOND)),
        (lambda owner: owner.post(job()), start_count_is(worker, 1)),
    )
    assert worker.starts == [(SECOND.worker_id, TASK)]


def test_orders_to_a_later_incarnation_carry_a_higher_fence():
    """A later incarnation knows no earlier stops or fences, and would carry out orders to its predecessor."""
    worker = RestartingWorker()
    run_actions(worker, (lambda owner: worker.restart(SECOND), lambda owner: SECOND.worker_id in dict(worker.fences)))
    fence_by_incarnation = dict(worker.fences)
    assert fence_by_incarnation[SECOND.worker_id] > fence_by_incarnation[FIRST.worker_id]


@pytest.mark.parametrize('entries', [(), (entry_item(FIRST),), (entry_item(SECOND),)], ids=['none', 'earlier', 'later'])
def test_inherited_jobs_wait_for_the_survey_of_an_incarnation(entries):
    """The previous owner started a task on it, but the roster still names the earlier incarnation."""
    worker = RestartingWorker()
    worker.restart(SECOND, (ListedRun(TASK, 1, '', 10.0),))
    run_actions(
        worker,
        (lambda owner: None, tracks_one_run(SECOND)),
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: len(worker.fences) > 8),
        items=[job_item(INHERITED_JOB_ID, time.time()), roster_item(FIRST), *entries],
    )
    assert not worker.starts
    assert worker.running


def test_inherited_jobs_wait_for_the_survey_of_a_successor():
    """The worker counted as contacted once the earlier incarnation ended, and its task was started elsewhere too."""
    worker, idle = RestartingWorker(), RestartingWorker()
    worker.restart(SECOND, (ListedRun(TASK, 1, '', 10.0),))
    worker.survey_delay_s, worker.silent_until_s = 0.6, time.monotonic() + 0.8
    idle.incarnation = WorkerIncarnation('x', 1_000)

    class TwoWorkers(InMemorySessions):
        def session(self, address, incarnation, fence):
            return (worker if incarnation.name == 'w' else idle).session(address, incarnation, fence)

    run_actions(
        TwoWorkers(),
        (lambda owner: None, tracks_one_run(SECOND)),
        items=[job_item(INHERITED_JOB_ID, time.time()), roster_item(FIRST), entry_item(idle.incarnation)],
    )
    assert not idle.starts


def test_a_roster_without_incarnations_is_read():
    profile = worker_listed(WorkerIncarnation('w')).profile
    earlier = Item(f'{ROSTER_PREFIX}/0', encode([(profile, Address('127.0.0.1', 1))]), 1)
    worker = RestartingWorker()
    run_actions(worker, (lambda owner: owner.post(worker_listed(FIRST)), tracks(FIRST)), items=[earlier])
