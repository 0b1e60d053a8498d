"""Workers that may execute start orders late, under successive owners.

The workers follow the platform's rules: a worker starts a run only if its number is higher than those of all runs of
the task that were stopped or ended there, and accepts no orders of a previous owner. Orders that it accepted before the
previous owner ended may still be executed after those of the next owner: this is the worst case under these rules.
"""

from typing import NamedTuple

from dahliaarch_kernel.scheduler import EndKind, Moment, Scheduler, SchedulerSettings, StartRun, StopRun, WorkerProfile
from dahliaarch_kernel.scheduler.events import ListedRun, RunEnd
from dahliaarch_kernel.workload import JobSpec, TaskKey

from .pool import START_S, WALL_S, WORKER

# Upper bound of the leases that a previous owner can have granted, in seconds.
MAX_LEASE_S = 10.3


class Order(NamedTuple):
    """A start or stop order for one run."""

    worker_id: str
    key: TaskKey
    run: int


class FakeWorker:
    """One incarnation of a worker: its runs, their unreported ends and the highest run number seen of each task."""

    def __init__(self, worker_id):
        self.worker_id = worker_id
        self.run_by_key = {}
        self.highest_run_by_key = {}
        self.ends = []
        self.is_silent = False

    def start(self, order):
        """Execute a start order, unless its run number is outdated."""
        if order.run <= self.highest_run_by_key.get(order.key, 0):
            return
        self.highest_run_by_key[order.key] = order.run
        self.run_by_key[order.key] = order.run

    def stop(self, order):
        """Stop a run; if it has not started yet, its start will be refused."""
        self.highest_run_by_key[order.key] = max(order.run, self.highest_run_by_key.get(order.key, 0))
        if self.run_by_key.get(order.key) == order.run:
            self.end(order.key, EndKind.STOPPED)

    def end(self, key, kind):
        run = self.run_by_key.pop(key)
        self.ends.append(RunEnd(self.worker_id, key, run, kind))


class OwnerSimulation:
    """Successive owners of the same workers; the store holds jobs and cancellations, but no assignments or progress."""

    def __init__(self, workers):
        self.now_s = START_S
        self.epoch = 7
        self.worker_by_id = {f'w{number}': FakeWorker(f'w{number}') for number in range(workers)}
        self.job_by_id = {}
        self.cancelled = set()
        # Unacknowledged start orders that are not executed yet.
        self.delayed_starts = []
        # Unacknowledged stops of the current owner; they also stop runs whose starts were not acknowledged.
        self.pending_stops = []
        self.scheduler = None
        self.take_over(silent_worker_ids=(), unlisted_worker_ids=())

    @property
    def now(self):
        return Moment(self.now_s, WALL_S + self.now_s - START_S)

    def take_over(self, silent_worker_ids, unlisted_worker_ids):
        """Let a new owner read the store and survey the workers.

        Workers in `unlisted_worker_ids` are unknown to the new owner; those in `silent_worker_ids` do not answer its
        survey.
        """
        self.epoch += 3
        self.pending_stops = []
        self.scheduler = Scheduler(SchedulerSettings(), self.epoch)
        for worker_id in self.worker_by_id:
            if worker_id not in unlisted_worker_ids:
                self.list_worker(worker_id)
        for spec, queue in self.job_by_id.values():
            self.scheduler.add_job(
                spec, queue, self.now, not_before_s=self.now_s + MAX_LEASE_S if silent_worker_ids else 0.0
            )
        for job_id in self.cancelled & self.job_by_id.keys():
            self.scheduler.cancel(job_id, self.now)
        for worker_id in set(self.worker_by_id) - set(unlisted_worker_ids) - set(silent_worker_ids):
            self.survey(worker_id)
        for worker_id in set(silent_worker_ids) - set(unlisted_worker_ids):
            self.mark_silent(worker_id)

    def list_worker(self, worker_id):
        profile = WorkerProfile(worker_id, 'svc', 'z', WORKER, ('a', 'r0'))
        self.scheduler.update_worker(profile, self.now)

    def mark_silent(self, worker_id):
        self.worker_by_id[worker_id].is_silent = True
        known = self.scheduler.worker_by_id.get(worker_id)
        if known is not None:
            known.lease.assume_until(self.now_s + MAX_LEASE_S)
            self.scheduler.worker_silent(worker_id, self.now)

    def submit(self, job_id, steps, queue):
        spec = JobSpec(job_id, 'acc', queue.name, 'payload', tuple(steps), accepted_s=self.now.wall_s)
        self.job_by_id[job_id] = (spec, queue)
        self.scheduler.add_job(spec, queue, self.now)

    def cancel(self, job_id):
        self.cancelled.add(job_id)
        self.scheduler.cancel(job_id, self.now)

    def remove(self, job_id):
        """Remove a cancelled job's record, as owners do some time after the end of a job."""
        del self.job_by_id[job_id]
        self.scheduler.forget_job(job_id)

    def decide(self, seconds, is_answered, is_delayed):
        """Advance the clock, run a scheduling pass and send its orders."""
        self.now_s += seconds
        for effect in self.scheduler.decide(self.now):
            order = Order(effect.worker_id, effect.key, effect.run)
            if isinstance(effect, StopRun):
                self.pending_stops.append(order)
                continue
            assert isinstance(effect, StartRun)
            self._start(order, is_answered, is_delayed)

    def _start(self, order, is_answered, is_delayed):
        if is_delayed:
            self.delayed_starts.append(order)
        else:
            self.worker_by_id[order.worker_id].start(order)
        if is_answered and not is_delayed:
            self.scheduler.run_started(*order, self.now)
        else:
            # An owner stops the runs whose starts stay unacknowledged.
            self.pending_stops.append(order)

    def execute_delayed_start(self, order):
        self.delayed_starts.remove(order)
        self.worker_by_id[order.worker_id].start(order)

    def deliver_stop(self, order, is_answered):
        """Execute a stop order; it stays pending if the answer is lost, and a silent worker does not receive it."""
        worker = self.worker_by_id[order.worker_id]
        if worker.is_silent:
            return
        worker.stop(order)
        if not is_answered:
            return
        self.pending_stops.remove(order)
        self.survey(order.worker_id)
        if order.key not in worker.run_by_key:
            self.scheduler.run_ended(RunEnd(*order, EndKind.STOPPED), self.now)

    def survey(self, worker_id):
        """Report the ends and the current runs of a worker to the owner."""
        worker = self.worker_by_id[worker_id]
        worker.is_silent = False
        ends, worker.ends = worker.ends, []
        for end in ends:
            self.scheduler.run_ended(end, self.now)
        rows = tuple(ListedRun(key, run, '', 50.0) for key, run in worker.run_by_key.items())
        self.scheduler.worker_surveyed(worker_id, rows, self.now_s, self.now)

    def end(self, order, kind):
        """End a run on its worker, together with the other members of its gang."""
        self.worker_by_id[order.worker_id].end(order.key, kind)
        spec, _ = self.job_by_id.get(order.key.job_id, (None, None))
        if spec is None or not spec.steps[order.key.step].gang:
            return
        others = EndKind.DONE if kind is EndKind.DONE else EndKind.BROKEN
        for each in self.running():
            if each.run == order.run and each.key[:3] == order.key[:3]:
                self.worker_by_id[each.worker_id].end(each.key, others)

    def running(self):
        """Return the runs on all workers."""
        return [
            Order(worker.worker_id, key, run)
            for worker in self.worker_by_id.values()
            for key, run in worker.run_by_key.items()
        ]

    def runs_to_stop(self):
        """Return the runs whose jobs are unknown to the owner or have ended, by cancellation or otherwise."""
        return [order for order in self.running() if self._must_stop(order.key.job_id)]

    def _must_stop(self, job_id):
        job = self.scheduler.job_by_id.get(job_id)
        return job is None or job.has_ended
