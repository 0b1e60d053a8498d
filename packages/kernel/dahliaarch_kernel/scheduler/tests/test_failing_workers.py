"""Workers that fail all they start at once, in a pool that is otherwise full.

They were idle, so that a gang lost its four attempts on four of them within a second, and its job
was shown as failed though it could be done.
"""

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import EndKind, StartRun

from .pool import end_all_runs, ORDINARY, Pool, task

URGENT_GANGS = Queue('gangs', 'h', '/g/', 'svc', priority=0, max_attempts=4, stretch=1.5, target_latency_s=0.25)
FAILING = ('w0', 'w1', 'w2', 'w3', 'w4', 'w5')
SOUND_JOB = 'f' * 16
GANG_JOB = 'a' * 16
TICK_S = 0.05


class PoolWithFailingWorkers(Pool):
    """A pool in which runs on some workers fail right after their start."""

    def tick(self):
        effects = self.advance(TICK_S)
        self.finish_stops()
        for effect in effects:
            is_running = isinstance(effect, StartRun) and (effect.worker_id, effect.key) in self.running
            if is_running and effect.worker_id in FAILING:
                self.end_task_or_gang(effect.key, EndKind.FAILED)


def full_pool():
    """Return a pool whose sound workers are busy, and the failing ones known from one job each."""
    pool = PoolWithFailingWorkers(16)
    pool.submit(SOUND_JOB, task(10, accelerators=8, work_s=4.0), queue=URGENT_GANGS)
    for number in range(10):
        pool.submit(f'{number:016x}', task(1, accelerators=8, work_s=4.0))
    for _ in range(20):
        pool.tick()
    return pool


def test_a_gang_does_not_lose_all_its_attempts_on_failing_workers():
    pool = full_pool()
    assert all(pool.scheduler.worker_by_id[worker_id].failed_jobs for worker_id in FAILING)
    pool.submit(GANG_JOB, task(2, accelerators=8, work_s=3.0, gang=True), queue=URGENT_GANGS)
    for _ in range(40):
        pool.tick()
    job = pool.scheduler.job_by_id[GANG_JOB]
    assert not job.has_ended
    end_all_runs(pool, SOUND_JOB)
    for _ in range(4):
        pool.tick()
    end_all_runs(pool, GANG_JOB)
    assert job.phase == 'succeeded'


def test_failures_on_workers_that_fail_other_jobs_do_not_clear_these_workers():
    pool = full_pool()
    pool.submit(GANG_JOB, task(2, accelerators=8, work_s=3.0, gang=True), queue=URGENT_GANGS)
    for _ in range(10):
        pool.tick()
    assert all(pool.scheduler.worker_by_id[worker_id].failed_jobs for worker_id in FAILING)


def test_a_job_that_fails_wherever_it_runs_still_fails():
    pool = Pool(4)
    pool.submit(GANG_JOB, task(1), queue=ORDINARY)
    for _ in range(12):
        pool.advance(1.0)
        end_all_runs(pool, GANG_JOB, EndKind.FAILED)
    assert pool.scheduler.job_by_id[GANG_JOB].phase == 'failed'
    assert not [worker for worker in pool.scheduler.worker_by_id.values() if len(worker.failed_jobs) > 1]
