"""Tests of the owner's summary, and that no job is refused that an ideal pool could serve in time."""

import heapq

from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Queue
from ...scheduler import Moment, Scheduler, SchedulerSettings, WorkerProfile
from ...workload import JobSpec, Resources, StepSpec
from ..bounds import Candidate
from ..digest import encode_digest, KnownDigest, MAX_ACCOUNTS, MAX_QUEUES
from ..summary import summarize
from ..verdict import assess

NOW = Moment(1000.0, 1_700_000_000.0)
SETTINGS = SchedulerSettings()
WORKER = Resources(16_000, 64_000, 4)
TASK = Resources(4_000, 16_000, 1)
URGENT = Queue('urgent', 'h', '/u/', 'svc', priority=0, stretch=1.5, target_latency_s=0.25)
ORDINARY = Queue('ordinary', 'h', '/o/', 'svc', priority=1, stretch=1.0, target_latency_s=0.01)


def make_scheduler(workers=2, guaranteed=None):
    scheduler = Scheduler(SETTINGS, 7)
    scheduler.set_guarantees(guaranteed or {})
    for number in range(workers):
        scheduler.update_worker(WorkerProfile(f'w{number}', 'svc', 'z', WORKER, ('a', 'r0')), NOW)
        scheduler.worker_surveyed(f'w{number}', (), NOW.steady_s, NOW)
    return scheduler


def add_job(scheduler, number, *steps, queue=URGENT, account='acc'):
    spec = JobSpec(f'{number:016x}', account, queue.name, '', steps, accepted_s=NOW.wall_s)
    assert scheduler.add_job(spec, queue, NOW)


def start_all(scheduler):
    for effect in scheduler.decide(NOW):
        scheduler.run_started(effect.worker_id, effect.key, effect.run, NOW)
    update_shares(scheduler)


def update_shares(scheduler):
    """Run a pass that computes the accounts' shares from what they hold now."""
    scheduler.decide(Moment(NOW.steady_s + 0.3, NOW.wall_s + 0.3))


def test_waiting_work_is_summed_by_queue_and_rank():
    scheduler = make_scheduler(guaranteed={'acc': 3})
    add_job(scheduler, 1, StepSpec(3, TASK, 2.0))
    add_job(scheduler, 2, StepSpec(2, TASK._replace(cpu_millis=8_000), 4.0))
    add_job(scheduler, 3, StepSpec(1, TASK, 1.0), StepSpec(9, TASK, 1.0, after=(0,)), queue=ORDINARY)
    found = summarize(scheduler, NOW)
    assert found.capacity_by_service == {'svc': WORKER.times(2)}
    rows = [(row.queue, row.rank, row.core_s, row.accelerator_s, row.longest_s) for row in found.backlogs]
    assert rows == [
        ('urgent', 0, 24.0, 6.0, 2.0),
        ('urgent', 1, 64.0, 8.0, 4.0),
        ('ordinary', 2, 4.0, 1.0, 1.0),
    ]
    assert found.backlogs[1].largest == Resources(8_000, 16_000, 1)


def test_work_that_others_may_pass_is_left_out():
    """Counted as ahead of others, work that waits for its gang or its rack would refuse them for nothing."""
    scheduler = make_scheduler()
    for number, fields in enumerate(
        ({'gang': True}, {'label': 'a'}, {'data_rack': 'r0'}, {'max_per_worker': 1}, {'lasting': True}, {'fills': True})
    ):
        add_job(scheduler, number, StepSpec(4, TASK, 1.0, **fields))
    assert not summarize(scheduler, NOW).backlogs


def test_one_false_estimate_does_not_fill_the_pool():
    scheduler = make_scheduler()
    add_job(scheduler, 1, StepSpec(1000, TASK, 1e12))
    assert summarize(scheduler, NOW).backlogs[0].core_s == 1000 * 4 * 60.0


def test_ratios_compare_what_is_held_with_the_share():
    scheduler = make_scheduler(guaranteed={'large': 3, 'small': 1})
    add_job(scheduler, 1, StepSpec(2, TASK, 5.0), account='large')
    add_job(scheduler, 2, StepSpec(2, TASK, 5.0), account='small')
    add_job(scheduler, 3, StepSpec(1, TASK._replace(cpu_millis=99_000), 5.0), account='idle')
    start_all(scheduler)
    found = summarize(scheduler, NOW).ratio_by_account
    assert found == {'large': 0.5 * 5 / 3, 'small': 0.5 * 5, 'idle': 0.0}


def test_an_account_removed_while_its_work_waits_counts():
    scheduler = make_scheduler(guaranteed={'acc': 3})
    add_job(scheduler, 1, StepSpec(2, TASK, 5.0))
    start_all(scheduler)
    scheduler.set_guarantees({})
    update_shares(scheduler)
    assert summarize(scheduler, NOW).ratio_by_account == {'acc': 1.0}


def test_the_size_of_a_digest_is_bounded():
    """Heartbeats contain nothing that grows with the system."""
    scheduler = make_scheduler()
    for number in range(500):
        queue = (URGENT if number % 2 else ORDINARY)._replace(name=f'queue-{number}')
        add_job(scheduler, number, StepSpec(1, TASK, 1.0), queue=queue, account=f'account-{number}')
    start_all(scheduler)
    found = summarize(scheduler, NOW)
    assert len(found.backlogs) == MAX_QUEUES
    assert {row.rank for row in found.backlogs} == {1}
    assert len(found.ratio_by_account) == MAX_ACCOUNTS
    assert len(encode_digest(found)) < 8_192


def test_an_overloaded_pool_refuses_ordinary_jobs_only():
    """After workers were lost, urgent work filled the pool; ordinary jobs were accepted and never served in time."""
    scheduler = make_scheduler(guaranteed={'acc': 8})
    add_job(scheduler, 1, StepSpec(2000, TASK, 2.0))
    known = KnownDigest(summarize(scheduler, NOW), NOW.steady_s)
    step = StepSpec(1, TASK, 2.0)
    spec = JobSpec('b' * 16, 'acc', 'q', '', (step,))
    assert assess(Candidate(spec, ORDINARY), known, 7, NOW, SETTINGS).is_refused
    assert not assess(Candidate(spec, URGENT, 8), known, 7, NOW, SETTINGS).is_refused
    start_all(scheduler)
    assert scheduler.cancel(f'{1:016x}', NOW)
    known = KnownDigest(summarize(scheduler, NOW), NOW.steady_s)
    assert not assess(Candidate(spec, ORDINARY), known, 7, NOW, SETTINGS).is_refused


def begin_in_ideal_pool(tasks, first, capacity):
    """Return when the first task begins in one machine of the whole pool's capacity, after all others have begun."""
    free, now_s, running = capacity, 0.0, []
    for demand, run_s in (*tasks, (first, 0.0)):
        while not free.covers(demand):
            now_s, freed = heapq.heappop(running)
            free = free.plus(freed)
        free = free.minus(demand)
        heapq.heappush(running, (now_s + run_s, demand))
    return now_s


LARGEST = Resources(8_000, 32_000, 2)
DEMANDS = st.builds(
    Resources, st.sampled_from((0, 1_000, 4_000, 8_000)), st.sampled_from((0, 8_000, 32_000)), st.integers(0, 2)
)
BACKLOGS = st.lists(
    st.tuples(DEMANDS, st.integers(1, 60), st.floats(0.05, 20.0), st.sampled_from((URGENT, ORDINARY))), max_size=8
)


@settings(max_examples=300, deadline=None)
@given(
    BACKLOGS, DEMANDS, st.floats(0.01, 0.5), st.integers(1, 3), st.floats(0.5, 3.0), st.randoms(use_true_random=False)
)
def test_what_an_ideal_pool_serves_is_never_refused(backlog, demand, estimate_s, workers, pace, random):
    """The ideal pool has no fragmentation, starts urgent work in any order, and tasks take half of the time or more."""
    scheduler = make_scheduler(workers)
    tasks = []
    for number, (each, count, expected_s, queue) in enumerate(backlog):
        add_job(scheduler, number, StepSpec(count, each, expected_s), queue=queue)
        if queue is URGENT:
            tasks.extend([(each, pace * expected_s)] * count)
    offered = Candidate(JobSpec('f' * 16, 'acc', 'q', '', (StepSpec(1, demand, estimate_s),)), ORDINARY)
    verdict = assess(offered, KnownDigest(summarize(scheduler, NOW), NOW.steady_s), 7, NOW, SETTINGS)
    # Tasks that need more than the new one may be passed by it.
    ahead = [task for task in tasks if demand.covers(task[0])]
    random.shuffle(ahead)
    longest_first = sorted(ahead, key=lambda task: -task[1])
    for order in (ahead, longest_first, longest_first[::-1]):
        begin_s = begin_in_ideal_pool(order, demand, WORKER.times(workers))
        assert verdict.start_bound_s <= begin_s + 1e-6
        objective_s = ORDINARY.stretch * estimate_s + ORDINARY.target_latency_s
        if begin_s <= SETTINGS.worthless_factor * objective_s:
            assert not verdict.is_refused
