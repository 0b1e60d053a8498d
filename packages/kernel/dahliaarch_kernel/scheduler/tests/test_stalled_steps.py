"""Tests that steps do not wait for long while the pool has enough free capacity."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from dahliaarch_kernel.policies import compile_policy, PolicySettings
from dahliaarch_kernel.scheduler import EndKind, Scheduler, StartRun
from dahliaarch_kernel.scheduler.events import RunEnd, StepWaiting, WaitReason
from dahliaarch_kernel.workload import JobSpec, Resources

from .pool import end_all_runs, ORDINARY, PATIENT, Pool, START_S, task, URGENT

JOB = 'a' * 16
# Users consider a job lost when none of its tasks runs for this long although capacity is idle.
LONGEST_STALL_S = 3.0
TICK_S = 0.25


class TimedPool(Pool):
    """A pool whose workers end their runs after the estimated time.

    Workers in `refusing` refuse every start; runs on workers in `slow_worker_ids` take 60 s longer.
    """

    def __init__(self, workers, refusing=(), slow_worker_ids=(), policy=None):
        super().__init__(0)
        if policy is not None:
            self.scheduler = Scheduler(self.settings, self.epoch, compile_policy(policy))
        for number in range(workers):
            self.add_worker(f'w{number}', f'r{number // 8}')
        self.refusing = frozenset(refusing)
        self.refused_jobs = frozenset()
        self.slow_worker_ids = frozenset(slow_worker_ids)
        self.ends_at_by_run = {}

    def tick(self, seconds=TICK_S):
        """Advance the clock, end the runs that are due, decide and execute the decisions."""
        self.now_s += seconds
        for (worker_id, key), at_s in sorted(self.ends_at_by_run.items()):
            if at_s <= self.now_s:
                del self.ends_at_by_run[worker_id, key]
                if (worker_id, key) in self.running:
                    self.end_task_or_gang(key, EndKind.DONE)
        for effect in self.scheduler.decide(self.now):
            if not isinstance(effect, StartRun):
                self.stops.append(effect)
                self.stopping.add((effect.worker_id, effect.key, effect.run))
            elif effect.worker_id in self.refusing or effect.key.job_id in self.refused_jobs:
                end = RunEnd(effect.worker_id, effect.key, effect.run, EndKind.REFUSED)
                self.scheduler.run_ended(end, self.now)
            else:
                self._start(effect)
                work_s = self.spec_by_id[effect.key.job_id].steps[effect.key.step].estimate_s
                late_s = 60.0 if effect.worker_id in self.slow_worker_ids else 0.0
                self.ends_at_by_run[effect.worker_id, effect.key] = self.now_s + work_s + late_s
        self.finish_stops()

    def tick_until_started(self, job_id, timeout_s):
        """Return the time until a task of the job runs; infinity if none runs within the limit."""
        since_s = self.now_s
        while self.now_s - since_s < timeout_s:
            self.tick()
            if self.runs_of(job_id):
                return self.now_s - since_s
        return math.inf

    def tick_until_running(self, job_id, count, timeout_s):
        """Return the time until `count` tasks of the job run; infinity if they don't within the limit."""
        since_s = self.now_s
        while self.now_s - since_s < timeout_s:
            self.tick()
            if len(self.runs_of(job_id)) == count:
                return self.now_s - since_s
        return math.inf

    def runs_of(self, job_id):
        return [key for _, key in self.running if key.job_id == job_id]


def occupy(pool, workers, work_s=60.0):
    """Fill the given number of workers with one job, starting with the first racks."""
    pool.submit('f' * 16, task(workers, accelerators=8, work_s=work_s, max_per_worker=1))
    pool.tick()
    assert len(pool.running) == workers


def test_gangs_with_common_reservations_do_not_block_each_other():
    # Each of three gangs was blocked by the reservations of the other two while three quarters of the pool were idle.
    pool = TimedPool(16, slow_worker_ids=('w0', 'w2', 'w5', 'w9'))
    occupy(pool, 16, work_s=4.0)
    gangs = [f'{number:016x}' for number in range(3)]
    for job_id, width in zip(gangs, (7, 4, 4), strict=True):
        pool.submit(job_id, task(width, accelerators=8, work_s=30.0, gang=True))
        pool.tick(0.1)
    start_s = pool.now_s
    while len(pool.running) == 16 and pool.now_s < start_s + 10.0:
        pool.tick()
    for job_id in gangs[:2]:
        assert pool.runs_of(job_id) or pool.tick_until_started(job_id, 10.0) <= LONGEST_STALL_S


def test_no_reservation_holds_up_small_work_beside_idle_capacity():
    # Workers reserved for a gang as wide as the pool stayed idle until the last of them was free.
    pool = TimedPool(10)
    occupy(pool, 1, work_s=30.0)
    pool.submit('b' * 16, task(10, accelerators=8, work_s=8.0, gang=True))
    for _ in range(4):
        pool.tick()
    pool.submit(JOB, task(1, work_s=60.0))
    assert pool.tick_until_started(JOB, 10.0) <= LONGEST_STALL_S


def test_work_waits_for_no_rack_beside_idle_capacity():
    # The task waited for 1.5 times its own run time even when the other racks were idle.
    pool = TimedPool(40)
    pool.submit('b' * 16, task(8, accelerators=8, work_s=60.0, data_rack='r0'))
    pool.tick()
    pool.submit(JOB, task(1, work_s=20.0, data_rack='r0'))
    assert pool.tick_until_started(JOB, 35.0) <= LONGEST_STALL_S


def test_a_task_does_not_wait_for_a_rack_without_workers():
    pool = TimedPool(16)
    pool.submit(JOB, task(1, work_s=20.0, data_rack='r9'))
    assert pool.tick_until_started(JOB, 35.0) <= TICK_S


def test_a_gang_that_fits_in_no_rack_does_not_wait_for_one():
    pool = TimedPool(40)
    pool.submit(JOB, task(9, accelerators=8, work_s=20.0, gang=True, same_rack=True))
    assert pool.tick_until_started(JOB, 35.0) <= TICK_S


def test_a_gang_waits_for_no_single_rack_beside_idle_capacity():
    pool = TimedPool(40)
    for rack in range(5):
        pool.submit(f'{rack:016x}', task(1, accelerators=8, work_s=60.0, data_rack=f'r{rack}'))
    pool.tick()
    pool.submit(JOB, task(8, accelerators=8, work_s=20.0, gang=True, same_rack=True))
    assert pool.tick_until_started(JOB, 35.0) <= LONGEST_STALL_S


def test_a_task_that_a_worker_refuses_goes_to_another():
    # The worker that refused the task remained the best choice and was chosen again and again.
    for queue in (URGENT, ORDINARY, PATIENT):
        pool = TimedPool(10, refusing=('w0',))
        pool.submit(JOB, task(1), queue=queue)
        assert pool.tick_until_started(JOB, 20.0) <= LONGEST_STALL_S


def test_a_gang_with_a_refused_member_starts_on_other_workers():
    pool = TimedPool(40, refusing=('w0', 'w9'))
    pool.submit(JOB, task(8, accelerators=8, gang=True))
    assert pool.tick_until_running(JOB, 8, 20.0) <= LONGEST_STALL_S


STEPS = st.builds(
    task,
    count=st.integers(1, 10),
    accelerators=st.sampled_from((1, 2, 4, 8, 8)),
    work_s=st.floats(0.5, 20.0),
    gang=st.booleans(),
    same_rack=st.booleans(),
    max_per_worker=st.sampled_from((0, 0, 0, 1)),
    data_rack=st.sampled_from(('', '', 'r0', 'r1', 'r9')),
)
ARRIVALS = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.0, 0.25, 1.0, 4.0)), st.sampled_from((URGENT, ORDINARY, ORDINARY, PATIENT)), STEPS
    ),
    min_size=2,
    max_size=10,
)


class StallDetector:
    """Checks how long a job has no running task while the pool has twice the capacity that it needs."""

    def __init__(self, pool):
        self.pool = pool
        self.stalled_since_by_job = {}

    def check(self):
        stalled = {job_id for job_id in self.pool.spec_by_id if self._could_run(job_id)}
        self.stalled_since_by_job = {
            job_id: self.stalled_since_by_job.get(job_id, self.pool.now_s) for job_id in stalled
        }
        for job_id, since_s in self.stalled_since_by_job.items():
            assert self.pool.now_s - since_s < LONGEST_STALL_S, (job_id, since_s - START_S, self.pool.now_s - START_S)

    def _could_run(self, job_id):
        pool = self.pool
        step = pool.spec_by_id[job_id].steps[0]
        if pool.scheduler.job_by_id[job_id].has_ended or pool.runs_of(job_id):
            return False
        free = [profile.capacity.minus(pool.used_resources(worker)) for worker, profile in pool.profiles.items()]
        total = sum(profile.capacity.accelerators for profile in pool.profiles.values())
        if 2 * sum(each.accelerators for each in free) <= total:
            return False
        placeable_tasks = sum(
            min(each.accelerators // step.demand.accelerators, step.max_per_worker or 99) for each in free
        )
        return placeable_tasks >= 2 * (step.task_count if step.gang else 1)


@given(
    arrivals=ARRIVALS,
    refusing=st.sets(st.sampled_from(('w0', 'w3', 'w9')), max_size=1),
    slow_worker_ids=st.sets(st.sampled_from(('w1', 'w4', 'w8', 'w12')), max_size=3),
)
@settings(max_examples=60)
def test_no_ready_step_stands_for_long_beside_twice_its_room(arrivals, refusing, slow_worker_ids):
    pool = TimedPool(16, refusing, slow_worker_ids)
    detector = StallDetector(pool)
    for number, (after_s, queue, step) in enumerate(arrivals):
        for _ in range(int(after_s / TICK_S)):
            pool.tick()
            detector.check()
        pool.submit(f'{number:016x}', step, queue=queue)
    for _ in range(100):
        pool.tick()
        detector.check()


def test_a_wide_gang_starts_despite_a_stream_of_small_tasks():
    # Small tasks that arrive later must not starve a gang that needs half of the pool.
    pool = TimedPool(20)
    for number in range(240):
        pool.submit(f'{number:016x}', task(2, accelerators=2, work_s=6.0), queue=PATIENT)
        pool.tick()
        if number == 40:
            pool.submit(JOB, task(10, accelerators=8, work_s=5.0, gang=True))
        if pool.runs_of(JOB):
            break
    assert len(pool.runs_of(JOB)) == 10
    end_all_runs(pool, JOB)


def collect_waiting_notes(pool, ticks):
    found = []
    for _ in range(ticks):
        pool.tick()
        found.extend(note for note in pool.scheduler.take_notes() if isinstance(note, StepWaiting))
    return found


def test_a_step_that_waits_for_capacity_is_reported_once():
    pool = TimedPool(2)
    occupy(pool, 2)
    pool.submit(JOB, task(1))
    notes = collect_waiting_notes(pool, 20)
    assert [note.reason for note in notes] == [WaitReason.NO_CAPACITY]
    assert notes[0].used_share > 0.5
    assert not notes[0].has_room_twice
    assert 1.0 <= notes[0].waited_s < 1.5
    assert pool.scheduler.load.waiting_by_reason == {WaitReason.NO_CAPACITY: 1}


def test_capacity_of_unavailable_workers_is_reported_separately():
    pool = TimedPool(4)
    for worker_id in pool.profiles:
        pool.scheduler.worker_silent(worker_id, pool.now)
        pool.silent.add(worker_id)
    pool.submit(JOB, task(1))
    (note,) = collect_waiting_notes(pool, 6)
    assert (note.reason, note.has_room_twice, note.has_takers_twice) == (WaitReason.UNAVAILABLE, True, False)


def test_a_step_that_waits_for_a_previous_owner_is_reported():
    pool = TimedPool(4)
    spec = JobSpec(JOB, 'acc', 'ordinary', 'payload', (task(1),), accepted_s=pool.now.wall_s)
    pool.spec_by_id[JOB] = spec
    pool.scheduler.add_job(spec, ORDINARY, pool.now, not_before_s=pool.now_s + 8.0)
    notes = collect_waiting_notes(pool, 20)
    assert [(note.reason, note.has_room_twice) for note in notes] == [(WaitReason.PREVIOUS_OWNER, True)]


def test_a_failed_search_is_repeated_without_new_capacity():
    # The result of a placement filter may change while nothing runs, but the failed search stayed cached forever.
    pool = TimedPool(1, policy=PolicySettings('mine', placement_filter='!suspect'))
    worker = pool.scheduler.worker_by_id['w0']
    pool.tick()
    worker.slowness = 5.0
    pool.submit(JOB, task(1))
    for _ in range(4):
        pool.tick()
    assert not pool.running
    worker.slowness = 1.0
    assert pool.tick_until_started(JOB, 20.0) <= LONGEST_STALL_S


def test_an_ended_lasting_task_is_restarted_beside_others():
    # The step had running tasks, so it did not count as stalled and the task waited for the rack of its data.
    pool = TimedPool(16)
    pool.submit(JOB, task(9, accelerators=8, work_s=600.0, data_rack='r0', lasting=True))
    pool.submit('b' * 16, task(4, accelerators=8, work_s=600.0, data_rack='r1'))
    assert pool.tick_until_running(JOB, 8, 5.0) <= LONGEST_STALL_S
    assert pool.tick_until_running(JOB, 9, 60.0) <= LONGEST_STALL_S


def test_a_step_that_waits_for_unavailable_workers_is_reported():
    pool = TimedPool(2)
    occupy(pool, 1)
    for worker_id in sorted(pool.profiles):
        if not any(worker == worker_id for worker, _ in pool.running):
            pool.scheduler.worker_silent(worker_id, pool.now)
            pool.scheduler.worker_by_id[worker_id].lease.assume_until(pool.now_s + 60.0)
    pool.submit(JOB, task(1))
    assert [note.reason for note in collect_waiting_notes(pool, 12)] == [WaitReason.UNAVAILABLE]


def test_a_gang_as_wide_as_the_pool_starts_despite_small_tasks():
    # Small tasks that had waited while capacity was idle were repeatedly placed on capacity reserved for the gang.
    pool = TimedPool(10)
    pool.submit('b' * 16, task(1, accelerators=8, work_s=10.0))
    pool.tick()
    pool.submit(JOB, task(10, accelerators=8, work_s=5.0, gang=True))
    for number in range(240):
        if number % 16 == 0:
            pool.submit(f'{number:016x}', task(1, accelerators=8, work_s=10.0))
        pool.tick()
        if len(pool.runs_of(JOB)) == 10:
            break
    assert len(pool.runs_of(JOB)) == 10
    assert pool.now_s - START_S < 45.0


def test_other_jobs_start_while_every_worker_refuses_one_job():
    # Each refusal blocked all starts on its worker for a time, after which the refused job was again first in order.
    pool = TimedPool(10)
    pool.refused_jobs = {JOB}
    pool.submit(JOB, task(160, work_s=5.0))
    pool.tick()
    pool.submit('b' * 16, task(1, work_s=5.0))
    assert pool.tick_until_started('b' * 16, 20.0) <= LONGEST_STALL_S


def test_a_task_returns_where_it_failed_if_only_that_is_idle():
    pool = TimedPool(2)
    pool.submit('b' * 16, task(1, accelerators=8, work_s=120.0))
    pool.tick()
    pool.submit(JOB, task(1, accelerators=8, work_s=30.0))
    pool.tick()
    pool.end_task_or_gang(next(iter(pool.runs_of(JOB))), EndKind.FAILED)
    for number in range(14):
        pool.add_worker(f'other{number}', 'r9', capacity=Resources(64_000, 262_144, 4))
    assert pool.tick_until_started(JOB, 30.0) <= LONGEST_STALL_S
