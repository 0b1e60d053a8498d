"""Tests of how long an incarnation stays unused that holds back the ends of its first runs."""

import time

import anyio
import pytest

from dahliaarch_kernel.scheduler import EndKind
from dahliaarch_kernel.workload import Resources, StepSpec
from dahliaarch_platform.workers import WorkerUnansweredError

from .restarting_workers import job, RestartingWorker, run_actions, SECOND, tracks, worker_listed
from .test_takeover import decode_job_record, INHERITED_JOB_ID, job_item, NEW_JOB_ID

TASKS = StepSpec(8, Resources(1000, 1000, 1), 20.0)
# Time within which a ready task must start if the pool has capacity for it, in seconds.
MAX_STALL_S = 3.0


class WaitingWorker(RestartingWorker):
    """A worker that delays the answer to a survey until it lists an end, for up to the time that the survey allows."""

    async def survey(self, address, worker_id, *, wait_s, **options):
        until_s = time.monotonic() + wait_s
        while time.monotonic() < until_s and not self.ends:
            await anyio.sleep(0.005)
        return await super().survey(address, worker_id, wait_s=0.0, **options)


@pytest.mark.parametrize('hidden', [1, 33])
def test_a_worker_that_holds_back_ends_is_soon_in_use_again(hidden):
    """It was probed with one start every 0.27 s: with 25 hidden ends, ready jobs waited 8 s beside an idle worker."""
    worker = WaitingWorker()
    worker.acknowledgement_error = WorkerUnansweredError('no answer')
    restarted_s = []

    def restart(owner):
        worker.restart(SECOND, late_acknowledgement=hidden)
        worker.acknowledgement_error = None
        restarted_s.append(time.monotonic())

    run_actions(
        worker,
        (lambda owner: owner.post(job(NEW_JOB_ID)), lambda owner: len(worker.starts) == 1),
        (lambda owner: worker.end(EndKind.DONE), lambda owner: any(number for _, number in worker.acknowledged)),
        (restart, tracks(SECOND)),
        (lambda owner: owner.post(worker_listed(SECOND)), lambda owner: True),
        (
            lambda owner: owner.post(decode_job_record(job_item(INHERITED_JOB_ID, time.time(), TASKS))),
            lambda owner: len(worker.running) == TASKS.task_count and time.monotonic() - worker.last_start_s > 0.3,
        ),
        within_s=20.0,
    )
    assert worker.last_start_s - restarted_s[0] < MAX_STALL_S
    assert len(worker.stopped) >= hidden
