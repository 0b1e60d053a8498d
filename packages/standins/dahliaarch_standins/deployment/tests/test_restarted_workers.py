"""Workers that crash and start again under the id that they had, against real daemons."""

import time

import anyio

from .running import PARALLEL

# Failed runs after which a job of the deployment's queues has failed.
MOST_ATTEMPTS = 3
ENDED_STATES = ('succeeded', 'failed')
ONE_TASK = [{**PARALLEL[0], 'Count': 1}]
# Enough tasks that every worker has told of some ends.
MANY_TASKS = [{**PARALLEL[0], 'Count': 32}]


def follow(running, job_id, most_starts):
    """Wait until a job of one task is shown as ended, and for no start too many; return its state."""

    deadline_s = time.monotonic() + 40.0
    state = ''
    while state not in ENDED_STATES and time.monotonic() < deadline_s:
        running.sleep(0.1)
        assert sum(start.task.startswith(job_id) for start in running.starts()) <= most_starts
        state = running.state(job_id)
    return state


def start_all_again(running):
    """Let every worker crash and start again, once each has told of ends."""
    running.submit(MANY_TASKS)
    running.wait_for(running.job_ids[-1], 'succeeded')
    assert all(len(worker.ends) > MOST_ATTEMPTS for worker in running.workers)

    async def start_again():
        async with anyio.create_task_group() as tasks:
            for worker in running.workers:
                tasks.start_soon(worker.start_again)

    running.portal.call(start_again)


def test_a_task_that_ends_on_a_worker_that_has_started_again_runs_once(running):
    """A task that had ended well ran again, and the end of its first run had been acknowledged to its worker.

    The worker had crashed before and come back under the id that it had. In the owner's log the task has `run_ordered`
    on that worker and no `run_ended`; 2 s after its end another `run_ordered` stands elsewhere.
    """
    start_all_again(running)
    job_id = running.submit(ONE_TASK)
    assert follow(running, job_id, most_starts=1) == 'succeeded'


def test_failed_runs_count_also_on_workers_that_have_started_again(running):
    """A job was started a fifth time, after four failed runs, as many as its queue allows.

    One of them had failed on a worker that had crashed before and come back under the id that it had. In the owner's
    log it is the one run of five that has no `run_ended`.
    """
    start_all_again(running)
    job_id = running.submit(ONE_TASK, 'fail')
    assert follow(running, job_id, most_starts=MOST_ATTEMPTS) == 'failed'
