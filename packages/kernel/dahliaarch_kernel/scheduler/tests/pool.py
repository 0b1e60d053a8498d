"""An in-memory pool of workers that execute every order at once and check that it is valid."""

from collections import defaultdict

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import EndKind, Moment, Scheduler, SchedulerSettings, StartRun, StopRun, WorkerProfile
from dahliaarch_kernel.scheduler.events import ListedRun, RunEnd
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec

WORKER = Resources(64_000, 262_144, 8)
URGENT = Queue('urgent', 'h', '/u/', 'svc', priority=0, max_attempts=3, stretch=1.5, target_latency_s=0.25)
ORDINARY = Queue('ordinary', 'h', '/o/', 'svc', priority=1, max_attempts=3, stretch=3.0, target_latency_s=1.0)
PATIENT = Queue('patient', 'h', '/p/', 'svc', priority=2, max_attempts=3, stretch=3.0, target_latency_s=3.0)

START_S = 1000.0
WALL_S = 1_700_000_000.0


class Pool:
    """A scheduler and its workers.

    Parameters
    ----------
    workers : int
        Number of workers; each rack holds eight of them.
    """

    def __init__(self, workers=8, epoch=7, settings=None):
        self.now_s = START_S
        self.epoch = epoch
        self.settings = settings or SchedulerSettings()
        self.scheduler = Scheduler(self.settings, epoch)
        self.running = {}
        self.stopping = set()
        self.done = set()
        self.failed_runs = defaultdict(set)
        self.ended_jobs = set()
        self.spec_by_id = {}
        self.starts = []
        self.stops = []
        self.silent = set()
        self.profiles = {}
        for number in range(workers):
            self.add_worker(f'w{number}', f'r{number // 8}')

    @property
    def now(self):
        return Moment(self.now_s, WALL_S + self.now_s - START_S)

    def add_worker(self, worker_id, rack, labels=(), draining=False, leaves_in_s=None, capacity=WORKER, domain='z'):
        profile = WorkerProfile(worker_id, 'svc', domain, capacity, ('a', rack, *labels), draining, leaves_in_s)
        self.profiles[worker_id] = profile
        self.scheduler.update_worker(profile, self.now)
        self.scheduler.worker_surveyed(worker_id, (), self.now_s, self.now)

    def submit(self, job_id, *steps, queue=ORDINARY, account='acc', **fields):
        spec = JobSpec(job_id, account, queue.name, 'payload', steps, accepted_s=self.now.wall_s, **fields)
        self.spec_by_id[job_id] = spec
        return self.scheduler.add_job(spec, queue, self.now)

    def advance(self, seconds=0.0):
        """Advance the clock, run a scheduling pass, and execute and check its effects."""
        self.now_s += seconds
        effects = self.scheduler.decide(self.now)
        for effect in effects:
            if isinstance(effect, StartRun):
                self._start(effect)
            else:
                assert isinstance(effect, StopRun)
                self.stops.append(effect)
                self.stopping.add((effect.worker_id, effect.key, effect.run))
        self._check_gangs()
        return effects

    def end(self, worker_id, key, run, kind, checkpoint=''):
        self.running.pop((worker_id, key), None)
        self.stopping.discard((worker_id, key, run))
        if kind is EndKind.DONE:
            step = self.spec_by_id[key.job_id].steps[key.step]
            indices = range(step.task_count) if step.gang else (key.task_index,)
            self.done.update(key._replace(task_index=index) for index in indices)
        if kind is EndKind.FAILED:
            self.failed_runs[key].add(run)
        self.scheduler.run_ended(RunEnd(worker_id, key, run, kind, checkpoint), self.now)

    def end_task_or_gang(self, key, kind):
        """End a run and, as workers do, the other members of its gang."""
        worker_id, run = next((worker, run) for (worker, each), run in self.running.items() if each == key)
        step = self.spec_by_id[key.job_id].steps[key.step]
        self.end(worker_id, key, run, kind)
        if not step.gang:
            return
        others = EndKind.DONE if kind is EndKind.DONE else EndKind.BROKEN
        for (worker, each), number in tuple(self.running.items()):
            if each[:3] == key[:3] and number == run:
                self.end(worker, each, number, others)

    def finish_stops(self):
        for worker_id, key, run in sorted(self.stopping):
            if self.running.get((worker_id, key)) == run:
                self.end(worker_id, key, run, EndKind.STOPPED, f'c{run}')
        self.stopping.clear()

    def survey(self, worker_id, percent=50.0, **options):
        rows = tuple(
            ListedRun(key, run, '', percent) for (worker, key), run in self.running.items() if worker == worker_id
        )
        self.scheduler.worker_surveyed(worker_id, rows, self.now_s, self.now, **options)

    def save_progress(self):
        """Mark changed progress as saved to the store, as the recorder of an owner does."""
        for job_id in self.scheduler.take_dirty_jobs():
            self.scheduler.mark_saved(job_id)

    def crash(self, worker_id):
        """Crash a worker, which loses its runs and comes back as another incarnation."""
        for running_on, key in sorted(self.running):
            if running_on == worker_id:
                run = self.running.pop((running_on, key))
                self.stopping.discard((worker_id, key, run))
        self.scheduler.worker_over(worker_id, self.now)
        self.add_worker(f'{worker_id}+', self.profiles.pop(worker_id).labels[1])

    def used_resources(self, worker_id):
        total = Resources()
        for worker, key in self.running:
            if worker == worker_id:
                total = total.plus(self.spec_by_id[key.job_id].steps[key.step].demand)
        return total

    def _start(self, effect):
        key = effect.key
        assert effect.worker_id not in self.silent, 'start ordered on a silent worker'
        assert all(each != key for _, each in self.running), f'start ordered while {key} is running'
        assert key not in self.done, f'start ordered after {key} succeeded'
        step = self.spec_by_id[key.job_id].steps[key.step]
        for earlier in step.after:
            for index in range(self.spec_by_id[key.job_id].steps[earlier].task_count):
                assert key._replace(step=earlier, task_index=index) in self.done, (
                    'start ordered before an earlier step was done'
                )
        queue = self.scheduler.job_by_id[key.job_id].queue
        attempts = self._attempts(key, step)
        assert attempts < queue.max_attempts, 'start ordered beyond the maximum number of attempts'
        if step.label:
            assert step.label in self.profiles[effect.worker_id].labels
        self.running[effect.worker_id, key] = effect.run
        self.starts.append(effect)
        assert self.profiles[effect.worker_id].capacity.covers(self.used_resources(effect.worker_id)), (
            'worker over capacity'
        )
        if step.max_per_worker:
            same = [1 for worker, each in self.running if worker == effect.worker_id and each[:3] == key[:3]]
            assert len(same) <= step.max_per_worker
        self.scheduler.run_started(effect.worker_id, key, effect.run, self.now)

    def _attempts(self, key, step):
        if not step.gang:
            return len(self.failed_runs[key])
        runs = set()
        for index in range(step.task_count):
            runs |= self.failed_runs[key._replace(task_index=index)]
        return len(runs)

    def _check_gangs(self):
        """Check that the members of a gang were all ordered under one run number, or none of them."""
        ordered = defaultdict(set)
        for effect in self.starts:
            step = self.spec_by_id[effect.key.job_id].steps[effect.key.step]
            if step.gang:
                ordered[effect.key[:3], effect.run].add(effect.key.task_index)
        for (unit, _), indices in ordered.items():
            assert len(indices) == self.spec_by_id[unit[0]].steps[unit[2]].task_count, 'start of a partial gang ordered'


def task(count=1, accelerators=1, work_s=5.0, **fields):
    """Return the specification of a step of small tasks."""
    return StepSpec(count, Resources(4_000, 16_000, accelerators), work_s, **fields)


def end_all_runs(pool, job_id, kind=EndKind.DONE):
    for key in [key for _, key in sorted(pool.running) if key.job_id == job_id]:
        if any(each == key for _, each in pool.running):
            pool.end_task_or_gang(key, kind)


def train_worker_paces(pool, slow):
    """Run steps whose tasks take longer on the slow workers, so that the scheduler learns the pace of each worker."""
    for number in range(6):
        job_id = f'{number + 500:016x}'
        pool.submit(job_id, task(len(pool.profiles), accelerators=8, work_s=4.0), queue=PATIENT)
        pool.advance(0.3)
        for is_slow in (False, True):
            pool.now_s += 1.2 if is_slow else 4.0
            for worker, key in sorted(pool.running):
                if (worker in slow) is is_slow:
                    pool.end_task_or_gang(key, EndKind.DONE)
        pool.advance(0.3)
    assert not pool.running
