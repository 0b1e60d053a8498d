"""Workers that answer surveys but carry out no start, while healthy ones are idle, against real daemons."""

import time

import pytest

from .running import PARALLEL

# A ready task must run within this time if the pool has capacity for it.
MAX_START_DELAY_S = 3.0
# Duration of a run in seconds: longer than `START_TIMEOUT_S`, so that no run ends during the test.
RUN_DURATION_S = '20'
START_TIMEOUT_S = 10.0
ONE_TASK = [{**PARALLEL[0], 'Count': 1}]
GANG = [{**PARALLEL[0], 'Count': 2, 'Gpu': 8, 'Gang': True}]


def refuse(worker):
    """Refuse every start."""
    worker.faults.refused_paths = frozenset({'/run-start'})


def fail(worker):
    """Fail every task as soon as it starts."""
    worker.fails_every_task = True


def leave_unanswered(worker):
    """Answer no start, and carry it out only after its lease has ended."""
    worker.faults.lost_paths, worker.faults.late_s = frozenset({'/run-start'}), 4.0


def leave_all_orders_unanswered(worker):
    """Answer neither starts nor stops, and carry them out only after their lease has ended."""
    worker.faults.lost_paths, worker.faults.late_s = frozenset({'/run-start', '/run-stop'}), 4.0


def chosen_workers(running, steps):
    """Return the workers on which a job is placed while the pool is idle."""
    job_id = running.submit(steps, '0.1')
    running.wait_for(job_id, 'succeeded')
    chosen = {start.worker for start in running.starts() if start.task.startswith(job_id)}
    return [worker for worker in running.workers if worker.worker_id in chosen]


def end_failed_gangs(running):
    """End all members of every gang that has a failed member, as real workers do."""
    failed = {end.run for end in running.ends() if end.how == 'failed'}
    for worker in running.workers:
        worker.end_broken_runs(failed)


def time_to_run_s(running, steps):
    """Return the time in seconds until all tasks of a new job run at once."""
    begun_s = time.monotonic()
    job_id = running.submit(steps, RUN_DURATION_S)
    width = steps[0]['Count']

    def runs():
        end_failed_gangs(running)
        started = [task for worker in running.workers for task in worker.running if task.startswith(job_id)]
        return len(started) == width

    running.wait_until(runs, timeout_s=START_TIMEOUT_S)
    return time.monotonic() - begun_s


@pytest.mark.parametrize('failing', [refuse, fail, leave_unanswered, leave_all_orders_unanswered])
def test_a_task_waits_for_no_worker_that_carries_out_no_start(running, failing):
    failing(chosen_workers(running, ONE_TASK)[0])
    assert time_to_run_s(running, ONE_TASK) < MAX_START_DELAY_S


@pytest.mark.parametrize('failing', [refuse, fail, leave_unanswered, leave_all_orders_unanswered])
def test_a_gang_waits_for_no_worker_that_carries_out_no_start(running, failing):
    failing(chosen_workers(running, GANG)[0])
    assert time_to_run_s(running, GANG) < MAX_START_DELAY_S
