"""Stateful property tests of the scheduler; the pool checks every start that it receives."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, RuleBasedStateMachine

from dahliaarch_kernel.scheduler import EndKind
from dahliaarch_kernel.scheduler.crashes import pending_suspects

from .pool import ORDINARY, PATIENT, Pool, task, URGENT

QUEUES = st.sampled_from((URGENT, ORDINARY, PATIENT))
STEPS = st.builds(
    task,
    count=st.integers(1, 12),
    accelerators=st.sampled_from((1, 2, 4, 8)),
    work_s=st.floats(0.5, 12.0),
    gang=st.booleans(),
    same_rack=st.booleans(),
    checkpoints=st.booleans(),
    max_per_worker=st.sampled_from((0, 0, 1, 3)),
    data_rack=st.sampled_from(('', '', 'r0')),
)
KINDS = st.sampled_from((EndKind.DONE, EndKind.DONE, EndKind.DONE, EndKind.FAILED, EndKind.LAPSED))


class SchedulerHistories(RuleBasedStateMachine):
    """Random jobs, ends, cancellations, silences and losses."""

    def __init__(self):
        super().__init__()
        self.pool = Pool(workers=10)
        self.jobs = 0

    @rule(queue=QUEUES, steps=st.lists(STEPS, min_size=1, max_size=3), chained=st.booleans())
    def submit(self, queue, steps, chained):
        self.jobs += 1
        if chained:
            steps = [step._replace(after=(number - 1,) if number else ()) for number, step in enumerate(steps)]
        self.pool.submit(f'{self.jobs:016x}', *steps, queue=queue)
        self.pool.advance()

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.pool.advance(seconds)

    @rule(choice=st.randoms(use_true_random=False), kind=KINDS)
    def end(self, choice, kind):
        if self.pool.running:
            _, key = choice.choice(sorted(self.pool.running))
            self.pool.end_task_or_gang(key, kind)
        self.pool.advance(0.1)

    @rule()
    def finish_stops(self):
        self.pool.finish_stops()
        self.pool.advance(0.1)

    @rule(choice=st.randoms(use_true_random=False))
    def cancel(self, choice):
        if self.pool.spec_by_id:
            self.pool.scheduler.cancel(choice.choice(sorted(self.pool.spec_by_id)), self.pool.now)
        self.pool.advance()

    @rule(number=st.integers(0, 9), percent=st.floats(0, 99))
    def survey(self, number, percent):
        if f'w{number}' not in self.pool.silent:
            self.pool.survey(f'w{number}', percent)
        self.pool.advance()

    @rule(number=st.integers(0, 9))
    def replace_worker(self, number):
        worker_id = f'w{number}'
        for (worker, key), run in tuple(self.pool.running.items()):
            if worker == worker_id:
                del self.pool.running[worker, key]
                self.pool.stopping.discard((worker, key, run))
        self.pool.scheduler.worker_over(worker_id, self.pool.now)
        self.pool.save_progress()
        self.pool.silent.discard(worker_id)
        self.pool.add_worker(worker_id, f'r{number // 8}')
        self.pool.advance()

    @rule(number=st.integers(0, 9))
    def replace_worker_by_one_that_may_hide_ends(self, number):
        self.replace_worker(number)
        self.pool.scheduler.worker_by_id[f'w{number}'].may_hide_ends = True
        self.pool.advance()

    @rule(number=st.integers(0, 9))
    def worker_lists_an_end(self, number):
        self.pool.scheduler.worker_by_id[f'w{number}'].may_hide_ends = False
        self.pool.advance()

    @rule(number=st.integers(0, 9))
    def mark_worker_silent(self, number):
        worker_id = f'w{number}'
        lease = self.pool.scheduler.worker_by_id[worker_id].lease
        lease.assume_until(self.pool.now_s + 1000.0)
        self.pool.scheduler.worker_silent(worker_id, self.pool.now)
        self.pool.silent.add(worker_id)
        self.pool.advance()

    @rule(number=st.integers(0, 9))
    def worker_answers_again(self, number):
        self.pool.silent.discard(f'w{number}')
        self.pool.survey(f'w{number}')
        self.pool.advance()

    @rule()
    def no_task_waits_while_free_capacity_fits_it(self):
        """Searches that failed are remembered: where room has grown they must be made again."""
        self.pool.finish_stops()
        for _ in range(3):
            self.pool.advance(0.3)
        state = self.pool.scheduler._state
        if any(pending_suspects(step) for job in state.active_jobs() for step in job.ready_steps()):
            # A suspect first waits for a worker without runs.
            self.pool.advance(2.1)
        if self.pool.stopping or list(state.reservations):
            return
        workers = state.worker_by_id.values()
        takers = [worker for worker in workers if worker.takes_starts and not worker.may_hide_ends]
        for job in state.active_jobs():
            for step in job.ready_steps():
                if step.spec.gang or step.spec.max_per_worker or step.spec.data_rack or step.failed_worker_ids:
                    continue
                assert not any(worker.free.covers(step.spec.demand) for worker in takers)

    @invariant()
    def runs_of_ended_jobs_are_being_stopped(self):
        for (worker, key), run in self.pool.running.items():
            job = self.pool.scheduler.job_by_id[key.job_id]
            if job.has_ended and key not in self.pool.done:
                assert (worker, key, run) in self.pool.stopping


SchedulerHistories.TestCase.settings = settings(max_examples=30, stateful_step_count=30, deadline=None)
TestSchedulerHistories = SchedulerHistories.TestCase
