"""Successive owners that save assignments and progress in a store, and the workers that they share."""

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_kernel.scheduler import (
    EndKind,
    JobProgress,
    Moment,
    Scheduler,
    SchedulerSettings,
    StartRun,
    StepAssignments,
    StopRun,
    WorkerProfile,
)
from dahliaarch_kernel.scheduler.events import ListedRun, RunEnd
from dahliaarch_kernel.workload import JobSpec

from .late_workers import FakeWorker, MAX_LEASE_S, Order
from .pool import ORDINARY, START_S, WALL_S, WORKER

EPOCH_SHIFT = 20
# Lease that each survey grants, in seconds: shorter than the upper bound that an owner assumes.
LEASE_S = MAX_LEASE_S - 0.3


class LeasedWorker(FakeWorker):
    """A worker that refuses starts of previous owners, and whose lease ends unless it is renewed."""

    def __init__(self, worker_id):
        super().__init__(worker_id)
        self.fence = 0
        self.lease_until_s = 0.0

    def start(self, order):
        if order.run >> EPOCH_SHIFT >= self.fence:
            super().start(order)


class StoreBackedOwners:
    """Successive owners, each of which saves assignments and progress before it sends orders."""

    def __init__(self, workers):
        self.now_s = START_S
        self.epoch = 7
        self.workers = {f'w{number}': LeasedWorker(f'w{number}') for number in range(workers)}
        self.silent = set()
        self.spec_by_id = {}
        self.progress_by_id = {}
        self.saved_by_part = {}
        self.delayed_starts = []
        self.pending_stops = []
        self.recorded_successes = set()
        self.take_over()

    @property
    def now(self):
        return Moment(self.now_s, WALL_S + self.now_s - START_S)

    def take_over(self):
        """Let a new owner read the store and survey the workers that are not silent."""
        self.epoch += 3
        self.pending_stops = []
        self.scheduler = Scheduler(SchedulerSettings(), self.epoch)
        for worker_id in self.workers:
            self.scheduler.update_worker(self.profile_of(worker_id), self.now)
            self.scheduler.worker_by_id[worker_id].lease.assume_until(self.now_s + MAX_LEASE_S)
        for job_id, (spec, queue) in self.spec_by_id.items():
            self.scheduler.add_job(
                spec,
                queue,
                self.now,
                progress=self.progress_of(job_id),
                assignments=self.assignments_of(job_id),
            )
        for worker_id in self.workers:
            if worker_id in self.silent:
                self.scheduler.worker_silent(worker_id, self.now)
            else:
                self.survey(worker_id)

    def profile_of(self, worker_id):
        return WorkerProfile(worker_id, 'svc', 'z', WORKER, ('a', 'r0'))

    def submit(self, job_id, steps, queue=ORDINARY):
        spec = JobSpec(job_id, 'acc', queue.name, '', tuple(steps), accepted_s=self.now.wall_s)
        self.spec_by_id[job_id] = (spec, queue)
        self.scheduler.add_job(spec, queue, self.now)

    def survey(self, worker_id):
        """Survey a worker: renew its lease, and report its ends and its current runs to the owner."""
        worker = self.workers[worker_id]
        worker.fence = self.epoch
        worker.lease_until_s = self.now_s + LEASE_S
        self.scheduler.worker_by_id[worker_id].lease.assume_until(self.now_s + MAX_LEASE_S)
        for end in worker.ends:
            self.scheduler.run_ended(end, self.now)
        self.save()
        self.acknowledge(worker)
        rows = tuple(ListedRun(key, run, '', self.percent_of(key)) for key, run in worker.run_by_key.items())
        self.scheduler.worker_surveyed(worker_id, rows, self.now_s, self.now)

    def percent_of(self, key):
        """Return the reported progress of a running task, in percent."""
        return 50.0

    def acknowledge(self, worker):
        """Acknowledge the ends of a worker, which the store holds now; the worker drops them."""
        self.recorded_successes.update(end.key for end in worker.ends if end.kind is EndKind.DONE)
        worker.ends = []

    def save(self):
        for job_id in self.scheduler.take_dirty_jobs():
            self.progress_by_id[job_id] = encode(self.scheduler.job_by_id[job_id].progress())
            self.scheduler.mark_saved(job_id)
        for part in self.scheduler.assignments.take_unsaved():
            self.saved_by_part[part] = encode(self.scheduler.assignments.for_part(part))

    def progress_of(self, job_id):
        value = self.progress_by_id.get(job_id)
        return None if value is None else decode(value, JobProgress, 'progress')

    def assignments_of(self, job_id):
        """Return the saved assignments of a job."""
        saved = {part: decode(value, StepAssignments, 'assignments') for part, value in self.saved_by_part.items()}
        return {part: each for part, each in saved.items() if part.job_id == job_id}

    def assigned_runs(self, job_id):
        return [run for each in self.assignments_of(job_id).values() for run in each.runs]

    def pass_time(self, seconds):
        """Advance the clock; workers that are not silent are surveyed at least once a second."""
        while seconds > 1.0:
            self.pass_time(1.0)
            seconds -= 1.0
        self.now_s += seconds
        for worker in self.workers.values():
            if worker.lease_until_s < self.now_s:
                for key in tuple(worker.run_by_key):
                    worker.end(key, EndKind.LAPSED)
        for worker_id in self.workers.keys() - self.silent:
            self.survey(worker_id)

    def decide(self, delivery='answered'):
        """Run a scheduling pass, save its results and send the start orders.

        With `delivery` 'answered' or 'unanswered' they are executed at once, with 'late' later and unanswered. With
        'owner ends' the next owner takes over before any is sent.
        """
        effects = self.scheduler.decide(self.now)
        self.save()
        if delivery == 'owner ends':
            self.take_over()
            return []
        starts = [effect for effect in effects if isinstance(effect, StartRun)]
        self.pending_stops.extend(
            Order(effect.worker_id, effect.key, effect.run) for effect in effects if isinstance(effect, StopRun)
        )
        for start in starts:
            self.send(start, delivery)
        return starts

    def send(self, start, delivery):
        """Send a start order, whose assignment is saved already."""
        order = Order(start.worker_id, start.key, start.run)
        if delivery == 'late':
            self.delayed_starts.append(order)
        else:
            self.workers[order.worker_id].start(order)
        if delivery == 'answered':
            self.scheduler.run_started(*order, self.now)
        else:
            self.pending_stops.append(order)

    def deliver_stop(self, order):
        if order.worker_id in self.silent or order.run >> EPOCH_SHIFT > self.epoch:
            return
        self.pending_stops.remove(order)
        self.workers[order.worker_id].stop(order)
        self.survey(order.worker_id)
        if order.key not in self.workers[order.worker_id].run_by_key:
            self.scheduler.run_ended(RunEnd(*order, EndKind.STOPPED), self.now)

    def running(self):
        return [(worker.worker_id, key) for worker in self.workers.values() for key in worker.run_by_key]
