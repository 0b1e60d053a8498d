"""Random histories of worker crashes under successive owners.

An owner may end before it has detected a crash, or before it has saved it.
"""

import random
from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, RuleBasedStateMachine

from dahliaarch_kernel.scheduler import EndKind, WorkerProfile
from dahliaarch_kernel.scheduler.events import RunEnd

from .pool import ORDINARY, task, URGENT, WORKER
from .recorded_owners import LeasedWorker, StoreBackedOwners

# Maximum number of starts of a task that crashes workers: three crashes that count against it, and two more starts
# that users tolerate.
MAX_STARTS = 5
# Number of crashes under a task from which users accept that its job is failed.
MIN_CRASHES_BEFORE_FAILURE = 2
# The same, if it is only known that the task was assigned to the crashed workers, and not that it ran there.
MIN_UNCERTAIN_CRASHES_BEFORE_FAILURE = 5
WORK_S = 2.0
# Number of jobs and of rules applied in one random history.
MAX_JOBS = 4
MAX_STEPS = 150


class CrashingWorker(LeasedWorker):
    """A worker that counts the starts of each task and records whether a started task must crash it."""

    def __init__(self, worker_id, crashing_job_ids, start_count_by_key):
        super().__init__(worker_id)
        self.crashing_job_ids = crashing_job_ids
        self.start_count_by_key = start_count_by_key
        self.is_crash_due = False

    def start(self, order):
        was_running = self.run_by_key.get(order.key)
        super().start(order)
        if self.run_by_key.get(order.key) != was_running:
            self.start_count_by_key[order.key] += 1
            self.is_crash_due = self.is_crash_due or order.key.job_id in self.crashing_job_ids


class OwnersWithCrashingWorkers(StoreBackedOwners):
    """Successive owners whose workers crash and return as other incarnations, and whose store may be unavailable."""

    def __init__(self, workers):
        self.crashing_job_ids = set()
        self.start_count_by_key = Counter()
        self.crash_count_by_key = Counter()
        self.crash_count_by_assigned_key = Counter()
        self.started_s_by_key = {}
        self.is_store_available = True
        self.held_starts = []
        # Pairs of a crashed incarnation and its successor that the owner has not detected yet.
        self.undetected_crashes = []
        self.roster = set()
        super().__init__(workers)

    def take_over(self):
        """Make the store available again and let a new owner take over."""
        self.is_store_available = True
        self.held_starts = []
        self.undetected_crashes = []
        self.workers = {worker_id: self.to_crashing_worker(worker) for worker_id, worker in self.workers.items()}
        missing_worker_ids = self.roster - self.workers.keys()
        self.silent |= missing_worker_ids
        self.workers |= {worker_id: self.new_worker(worker_id) for worker_id in missing_worker_ids}
        super().take_over()
        for worker_id in missing_worker_ids:
            self.silent.discard(worker_id)
            del self.workers[worker_id]
            self.scheduler.worker_over(worker_id, self.now)

    def new_worker(self, worker_id):
        return CrashingWorker(worker_id, self.crashing_job_ids, self.start_count_by_key)

    def to_crashing_worker(self, worker):
        return worker if isinstance(worker, CrashingWorker) else self.new_worker(worker.worker_id)

    def save(self):
        if self.is_store_available:
            super().save()
            self.roster = set(self.scheduler.worker_by_id)

    def acknowledge(self, worker):
        if self.is_store_available:
            super().acknowledge(worker)

    def send(self, start, delivery):
        self.held_starts.append((start, delivery))
        if self.is_store_available:
            self.send_held_starts()

    def send_held_starts(self):
        """Send the held starts that are still wanted."""
        held_starts, self.held_starts = self.held_starts, []
        for start, delivery in held_starts:
            if self.scheduler.assignments.record_sent(start.worker_id, start.key, start.run, self.now):
                self.send_saved(start, delivery)

    def percent_of(self, key):
        return min(99.0, 100.0 * (self.now_s - self.started_s_by_key.get(key, self.now_s)) / WORK_S)

    def send_saved(self, start, delivery):
        if start.worker_id not in self.workers:
            # The worker has crashed, so the call fails.
            self.refuse(start)
            return
        self.started_s_by_key[start.key] = self.now_s
        super().send(start, delivery)
        self.crash_if_due(start.worker_id)

    def refuse(self, start):
        self.scheduler.run_ended(RunEnd(start.worker_id, start.key, start.run, EndKind.REFUSED), self.now)

    def refuse_held_starts(self, worker_id):
        """Refuse the starts held for a worker that no longer accepts any."""
        for start, _ in self.held_starts:
            if start.worker_id == worker_id:
                self.refuse(start)
        self.held_starts = [(start, delivery) for start, delivery in self.held_starts if start.worker_id != worker_id]

    def crash_if_due(self, worker_id):
        if self.workers[worker_id].is_crash_due:
            self.crash(worker_id)

    def crash(self, worker_id, *, is_seen=True):
        """Crash a worker; with `is_seen`, its owner notices at once that calls to it fail."""
        if is_seen:
            self.refuse_held_starts(worker_id)
            self.scheduler.worker_silent(worker_id, self.now)
        worker = self.workers.pop(worker_id)
        self.crash_count_by_key.update(worker.run_by_key.keys())
        self.crash_count_by_assigned_key.update(
            part.first_task._replace(task_index=run.task_index)
            for job_id in self.spec_by_id
            for part, saved_assignments in self.assignments_of(job_id).items()
            for run in saved_assignments.runs
            if run.worker_id == worker_id
        )
        self.silent.discard(worker_id)
        self.delayed_starts = [order for order in self.delayed_starts if order.worker_id != worker_id]
        self.pending_stops = [order for order in self.pending_stops if order.worker_id != worker_id]
        successor = f'{worker_id}+'
        self.workers[successor] = self.new_worker(successor)
        self.undetected_crashes.append((worker_id, successor))

    def detect_crashes(self):
        """Let the owner detect all crashes so far: the successors answer."""
        unknown, self.undetected_crashes = self.undetected_crashes, []
        for worker_id, successor in unknown:
            self.refuse_held_starts(worker_id)
            self.scheduler.worker_over(worker_id, self.now)
            self.scheduler.update_worker(WorkerProfile(successor, 'svc', 'z', WORKER, ('a', 'r0')), self.now)

    def pass_time(self, seconds):
        # Incarnations that the owner does not know yet cannot be surveyed.
        unknown = {successor for _, successor in self.undetected_crashes} - self.silent
        self.silent |= unknown
        super().pass_time(seconds)
        self.silent -= unknown

    def failed_jobs(self):
        return [job_id for job_id, job in self.scheduler.job_by_id.items() if job.phase == 'failed']


class CrashHistories(RuleBasedStateMachine):
    """Random histories of tasks that crash workers, unrelated crashes, takeovers and an unavailable store."""

    def __init__(self):
        super().__init__()
        self.owners = OwnersWithCrashingWorkers(4)
        self.jobs = 0

    @rule(
        queue=st.sampled_from((URGENT, ORDINARY)),
        count=st.integers(1, 3),
        accelerators=st.sampled_from((1, 8)),
        is_crashing=st.booleans(),
    )
    def submit(self, queue, count, accelerators, is_crashing):
        self.jobs += 1
        job_id = f'{self.jobs:016x}'
        if is_crashing:
            self.owners.crashing_job_ids.add(job_id)
        self.owners.submit(job_id, [task(count, accelerators, work_s=WORK_S)], queue)

    @rule(delivery=st.sampled_from(('answered', 'answered', 'unanswered', 'late', 'owner ends')))
    def decide(self, delivery):
        self.owners.decide(delivery)

    @rule(seconds=st.floats(0.0, 4.0), delivery=st.sampled_from(('answered', 'answered', 'unanswered')))
    def survey_and_decide(self, seconds, delivery):
        self.owners.detect_crashes()
        self.owners.save()
        self.owners.pass_time(seconds)
        self.owners.decide(delivery)

    @rule()
    def change_owner(self):
        self.owners.take_over()

    @rule(is_store_unavailable=st.booleans())
    def set_store_availability(self, is_store_unavailable):
        self.owners.is_store_available = not is_store_unavailable
        self.owners.save()
        if not is_store_unavailable:
            self.owners.send_held_starts()

    @rule(choice=st.randoms(use_true_random=False), is_seen=st.booleans())
    def crash(self, choice, is_seen):
        self.owners.crash(choice.choice(sorted(self.owners.workers)), is_seen=is_seen)

    @rule(choice=st.randoms(use_true_random=False))
    def crash_before_an_end_is_listed(self, choice):
        running = sorted(self.owners.running())
        if running:
            worker_id, key = choice.choice(running)
            self.owners.now_s += WORK_S
            self.owners.workers[worker_id].end(key, EndKind.DONE)
            self.owners.crash(worker_id, is_seen=False)

    @rule(choice=st.randoms(use_true_random=False))
    def crash_before_a_start_is_executed(self, choice):
        if self.owners.delayed_starts:
            worker_id = choice.choice(self.owners.delayed_starts).worker_id
            self.owners.pass_time(0.5)
            self.owners.crash(worker_id)

    @rule(choice=st.randoms(use_true_random=False))
    def execute_delayed_start(self, choice):
        if self.owners.delayed_starts:
            order = choice.choice(self.owners.delayed_starts)
            self.owners.delayed_starts.remove(order)
            self.owners.workers[order.worker_id].start(order)
            self.owners.crash_if_due(order.worker_id)

    @rule(choice=st.randoms(use_true_random=False))
    def end(self, choice):
        running = sorted(self.owners.running())
        if running:
            worker_id, key = choice.choice(running)
            self.owners.workers[worker_id].end(key, EndKind.DONE)
            self.owners.detect_crashes()
            self.owners.pass_time(0.1)

    @invariant()
    def no_crashing_task_exceeds_the_start_limit(self):
        assert not [
            key
            for key, count in self.owners.start_count_by_key.items()
            if key.job_id in self.owners.crashing_job_ids and count > MAX_STARTS
        ]

    @invariant()
    def no_job_is_failed_without_a_task_under_which_workers_crashed(self):
        owners = self.owners
        allowed_to_fail = {
            key.job_id for key, count in owners.crash_count_by_key.items() if count >= MIN_CRASHES_BEFORE_FAILURE
        }
        for key, count in owners.crash_count_by_assigned_key.items():
            if count >= MIN_UNCERTAIN_CRASHES_BEFORE_FAILURE:
                allowed_to_fail.add(key.job_id)
        assert not set(owners.failed_jobs()) - allowed_to_fail

    @invariant()
    def no_task_runs_twice_at_a_time(self):
        assert not [key for key, count in Counter(key for _, key in self.owners.running()).items() if count > 1]


CrashHistories.TestCase.settings = settings(max_examples=200, stateful_step_count=60, deadline=None)
TestCrashHistories = CrashHistories.TestCase


def apply_random_rule(machine, rng):
    """Apply a random rule of the state machine.

    The weights differ from Hypothesis's draws: more time passes, and workers lose more ends and starts when they crash.
    """
    delivery = rng.choice(('answered', 'answered', 'unanswered'))
    rules = [
        lambda: machine.submit(
            rng.choice((URGENT, ORDINARY)), rng.randint(1, 2), rng.choice((1, 8)), rng.random() < 0.5
        ),
        lambda: machine.decide(rng.choice((delivery, 'late', 'owner ends'))),
        lambda: machine.survey_and_decide(rng.choice((0.1, 0.3, 1.0, 2.0, 4.0)), delivery),
        machine.change_owner,
        lambda: machine.set_store_availability(rng.random() < 0.4),
        lambda: machine.crash(rng, rng.random() < 0.7),
        lambda: machine.execute_delayed_start(rng),
        lambda: machine.end(rng),
        lambda: machine.crash_before_an_end_is_listed(rng),
        lambda: machine.crash_before_a_start_is_executed(rng),
    ]
    weights = (1 if machine.jobs < MAX_JOBS else 0, 4, 12, 2, 2, 1, 2, 2, 3, 3)
    (apply_rule,) = rng.choices(rules, weights)
    apply_rule()


@pytest.mark.parametrize('seed', range(60))
def test_crashes_under_successive_owners_count_where_tasks_ran(seed):
    rng = random.Random(seed)
    machine = CrashHistories()
    for _ in range(MAX_STEPS):
        apply_random_rule(machine, rng)
        machine.no_crashing_task_exceeds_the_start_limit()
        machine.no_job_is_failed_without_a_task_under_which_workers_crashed()
        machine.no_task_runs_twice_at_a_time()
