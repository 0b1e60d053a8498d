"""Tests that an incarnation that may hold back the ends of its runs is probed before it gets work.

A late acknowledgement to the previous incarnation makes it discard ends that no owner has read.
"""

import time

import pytest

from dahliaarch_kernel.scheduler import EndKind
from dahliaarch_kernel.workload import Resources, StepSpec
from dahliaarch_platform.workers import (
    WorkerUnansweredError,
    WorkerUnreachableError,
)

from .. import registry
from .restarting_workers import (
    entry_item,
    FIRST,
    job,
    keeps_running,
    phase_is,
    RestartingWorker,
    roster_item,
    run_actions,
    SECOND,
    start_count_is,
    TASK,
    time_has_passed,
    tracks,
    worker_listed,
)
from .test_takeover import (
    decode_job_record,
    INHERITED_JOB_ID,
    job_item,
    NEW_JOB_ID,
)


@pytest.mark.parametrize(
    ('failure', 'is_unacknowledged'),
    [(WorkerUnansweredError('no answer'), True), (WorkerUnreachableError('unreachable'), False), (None, False)],
)
def test_a_lost_acknowledgement_makes_the_successor_probed(failure, is_unacknowledged):
    """A probe is needed after an unanswered acknowledgement, but not after one that was never sent."""
    worker = RestartingWorker()
    worker.acknowledgement_error = failure
    run_actions(
        worker,
        (lambda owner: owner.post(job(NEW_JOB_ID)), start_count_is(worker, 1)),
        (lambda owner: worker.end(EndKind.DONE), lambda owner: any(number for _, number in worker.acknowledged)),
        (lambda owner: worker.restart(SECOND), tracks(SECOND)),
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: True),
        (lambda owner: owner.post(job()), keeps_running(worker)),
    )
    assert len(worker.starts) == (3 if is_unacknowledged else 2)
    assert len(worker.stopped) == is_unacknowledged


def test_a_pending_acknowledgement_makes_the_successor_probed():
    """The other call closed the link, and the pending acknowledgement was not counted as unanswered."""
    worker = RestartingWorker()
    worker.acknowledgement_delay_s = 60.0

    def restart(owner):
        worker.restart(SECOND)
        owner.post(job())

    def recover(owner):
        worker.acknowledgement_delay_s = 0.0
        owner.post(worker_listed(SECOND))

    run_actions(
        worker,
        (lambda owner: owner.post(job(NEW_JOB_ID)), start_count_is(worker, 1)),
        (lambda owner: worker.end(EndKind.DONE), lambda owner: any(number for _, number in worker.acknowledged)),
        (restart, tracks(SECOND)),
        (recover, keeps_running(worker)),
    )
    assert worker.stopped == [TASK]


@pytest.mark.parametrize(('late_s', 'is_unacknowledged'), [(5.0, True), (0.3, False)])
def test_an_expired_acknowledgement_needs_no_probe(late_s, is_unacknowledged, monkeypatch):
    monkeypatch.setattr(registry, '_MAX_ORDER_DELAY_S', late_s)
    worker = RestartingWorker()
    worker.acknowledgement_error = WorkerUnansweredError('no answer')
    run_actions(
        worker,
        (lambda owner: owner.post(job(NEW_JOB_ID)), start_count_is(worker, 1)),
        (lambda owner: worker.end(EndKind.DONE), lambda owner: any(number for _, number in worker.acknowledged)),
        (lambda owner: setattr(worker, 'acknowledgement_error', None), time_has_passed(0.6)),
        (lambda owner: worker.restart(SECOND), tracks(SECOND)),
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: True),
        (lambda owner: owner.post(job()), keeps_running(worker)),
    )
    assert len(worker.stopped) == is_unacknowledged


def test_a_refused_probe_is_not_stopped():
    worker = RestartingWorker()
    worker.acknowledgement_error = WorkerUnansweredError('no answer')

    def restart(owner):
        worker.restart(SECOND)
        worker.refused_start_count = 1
        owner.post(job())

    run_actions(
        worker,
        (lambda owner: owner.post(job(NEW_JOB_ID)), start_count_is(worker, 1)),
        (lambda owner: worker.end(EndKind.DONE), lambda owner: any(number for _, number in worker.acknowledged)),
        (restart, tracks(SECOND)),
        (lambda owner: owner.post(worker_listed(SECOND)), keeps_running(worker)),
    )
    assert not worker.refused_start_count
    assert worker.stop_order_count == len(worker.stopped) == 1


def test_an_incarnation_is_probed_with_few_starts_and_no_gang():
    worker = RestartingWorker()
    worker.acknowledgement_error = WorkerUnansweredError('no answer')
    gang = job_item('d' * 16, time.time(), StepSpec(2, Resources(1000, 1000, 1), 20.0, gang=True))
    many = job_item(INHERITED_JOB_ID, time.time(), StepSpec(6, Resources(1000, 1000, 1), 20.0))

    def post(owner):
        worker.restart(SECOND, late_acknowledgement=6)
        owner.post(decode_job_record(gang))
        owner.post(decode_job_record(many))

    run_actions(
        worker,
        (lambda owner: owner.post(job(NEW_JOB_ID)), start_count_is(worker, 1)),
        (lambda owner: worker.end(EndKind.DONE), lambda owner: any(number for _, number in worker.acknowledged)),
        (post, tracks(SECOND)),
        (lambda owner: setattr(worker, 'acknowledgement_error', None), lambda owner: True),
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: len(worker.running) == 8),
    )
    assert {key.job_id for _, key in worker.starts[1:8]} == {INHERITED_JOB_ID}
    assert 7 <= len(worker.stopped) <= 10
    assert worker.max_runs_at_stop <= 4


@pytest.mark.parametrize('late_acknowledgement', [0, 1, 3])
def test_a_task_does_not_end_where_its_end_is_never_listed(late_acknowledgement, monkeypatch):
    """The incarnation had carried out a late acknowledgement before its first answer, and applied it from then on.

    Waiting until no such acknowledgement can arrive any more did not help: the incarnation still did not list
    its ends, and tasks that had succeeded ran again.
    """
    monkeypatch.setattr(registry, '_MAX_ORDER_DELAY_S', 0.5)
    worker = RestartingWorker()
    worker.acknowledgement_error = WorkerUnansweredError('no answer')
    run_actions(
        worker,
        (lambda owner: owner.post(job(NEW_JOB_ID)), start_count_is(worker, 1)),
        (lambda owner: worker.end(EndKind.DONE), lambda owner: any(number for _, number in worker.acknowledged)),
        (lambda owner: worker.restart(SECOND, late_acknowledgement=late_acknowledgement), tracks(SECOND)),
        (lambda owner: setattr(worker, 'acknowledgement_error', None), lambda owner: True),
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: True),
        (lambda owner: owner.post(job()), keeps_running(worker)),
        (lambda owner: worker.end(EndKind.DONE), phase_is('succeeded')),
        within_s=8.0,
    )
    assert worker.done.count(TASK) == 1


@pytest.mark.parametrize('late_acknowledgement', [0, 2])
def test_a_new_owner_probes_an_incarnation_new_to_the_roster(late_acknowledgement):
    """The new owner does not know which acknowledgements of the previous owner were unanswered."""
    worker = RestartingWorker()
    worker.restart(SECOND, late_acknowledgement=late_acknowledgement)
    run_actions(
        worker,
        (lambda owner: None, tracks(SECOND)),
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: True),
        (lambda owner: owner.post(job()), keeps_running(worker)),
        (lambda owner: worker.end(EndKind.DONE), phase_is('succeeded')),
        items=[roster_item(FIRST), entry_item(SECOND)],
        within_s=8.0,
    )
    assert worker.done.count(TASK) == 1
    assert len(worker.stopped) == late_acknowledgement + 1


def test_the_roster_names_the_predecessor_while_it_is_probed():
    worker = RestartingWorker()
    worker.acknowledgement_error = WorkerUnansweredError('no answer')
    roster_incarnations = []

    def record_roster(owner):
        roster_incarnations.append([entry.known_incarnation for entry in owner._recorder.roster])
        return True

    run_actions(
        worker,
        (lambda owner: owner.post(job(NEW_JOB_ID)), start_count_is(worker, 1)),
        (lambda owner: worker.end(EndKind.DONE), lambda owner: any(number for _, number in worker.acknowledged)),
        (lambda owner: worker.restart(SECOND), tracks(SECOND)),
        (lambda owner: owner.post(worker_listed(SECOND)), time_has_passed(0.5)),
        (lambda owner: None, record_roster),
        (lambda owner: owner.post(job()), keeps_running(worker)),
        (lambda owner: None, record_roster),
    )
    assert roster_incarnations == [[FIRST], [SECOND]]
