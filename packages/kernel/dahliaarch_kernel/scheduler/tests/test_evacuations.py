"""Tests that nothing is started in an evacuated failure domain, and that all else goes on."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, RuleBasedStateMachine

from dahliaarch_kernel.scheduler import EndKind, StartRun, StopRun, WorkerProfile
from dahliaarch_kernel.scheduler.events import (
    DomainEmptied,
    DomainEvacuated,
    DomainReopened,
    RunEnd,
    StepWaiting,
    WaitReason,
)

from .pool import end_all_runs, ORDINARY, Pool, task, URGENT, WORKER
from .recorded_owners import EPOCH_SHIFT, StoreBackedOwners

JOB = 'a' * 16
OTHER_JOB = 'b' * 16
EAST, WEST = 'east', 'west'
DOMAIN_BY_WORKER = {'w0': EAST, 'w1': EAST, 'w2': WEST, 'w3': WEST}


class DividedPool(Pool):
    """Two workers in each of two failure domains; starts in `unanswered_jobs` are not acknowledged."""

    def __init__(self):
        super().__init__(0)
        self.unanswered_jobs = set()
        for worker_id, domain in DOMAIN_BY_WORKER.items():
            self.add_worker(worker_id, domain, labels=(f'only-{domain}',), domain=domain)

    def evacuate(self, *domains):
        self.scheduler.evacuations.replace(domains, self.now)

    def domains_of(self, job_id):
        return {DOMAIN_BY_WORKER[worker_id] for worker_id, key in self.running if key.job_id == job_id}

    def order(self, job_id):
        """Decide, and leave the starts of a job without acknowledgement; return them."""
        effects = [effect for effect in self.scheduler.decide(self.now) if isinstance(effect, StartRun)]
        return [effect for effect in effects if effect.key.job_id == job_id]


def reasons_of(pool):
    return [note.reason for note in pool.scheduler.take_notes() if isinstance(note, StepWaiting)]


def advance_until_reported(pool):
    """Return the reasons for which steps wait, once they have waited long enough to be reported."""
    reasons = []
    for _ in range(12):
        pool.advance(0.25)
        reasons += reasons_of(pool)
    return reasons


def test_nothing_starts_in_a_domain_until_it_is_reopened():
    pool = DividedPool()
    pool.evacuate(EAST)
    pool.submit(JOB, task(4, accelerators=8))
    pool.advance()
    assert pool.domains_of(JOB) == {WEST}
    pool.evacuate()
    pool.advance()
    assert pool.domains_of(JOB) == {EAST, WEST}


def test_all_domains_may_be_evacuated_at_once():
    pool = DividedPool()
    pool.evacuate(EAST, WEST, 'unknown')
    pool.submit(JOB, task(1))
    pool.advance()
    assert not pool.running
    pool.evacuate('unknown')
    pool.advance()
    assert pool.running


def test_a_worker_that_joins_an_evacuated_domain_gets_no_start():
    pool = DividedPool()
    pool.evacuate(EAST, WEST)
    pool.add_worker('w4', EAST, domain=EAST)
    pool.submit(JOB, task(1))
    pool.advance()
    assert not pool.running


def test_what_runs_in_an_evacuated_domain_continues_to_its_end():
    pool = DividedPool()
    pool.submit(JOB, task(4, accelerators=8, work_s=20.0))
    pool.advance()
    pool.evacuate(EAST)
    pool.submit(OTHER_JOB, task(2, accelerators=8), queue=URGENT)
    pool.advance(0.25)
    assert {DOMAIN_BY_WORKER[stop.worker_id] for stop in pool.stops} == {WEST}
    assert pool.domains_of(JOB) == {EAST, WEST}


def test_an_unacknowledged_start_of_an_evacuation_is_withdrawn():
    # It would be sent again, and carried out after the request to start nothing more.
    pool = DividedPool()
    pool.submit(JOB, task(4, accelerators=8))
    ordered = pool.order(JOB)
    pool.evacuate(EAST)
    stops = [effect for effect in pool.scheduler.decide(pool.now) if isinstance(effect, StopRun)]
    assert {stop.worker_id for stop in stops} == {'w0', 'w1'}
    assert {(stop.key, stop.run) for stop in stops} < {(start.key, start.run) for start in ordered}


def test_a_gang_partly_sent_to_an_evacuated_domain_is_withdrawn():
    pool = DividedPool()
    pool.submit(JOB, task(4, accelerators=8, gang=True))
    ordered = pool.order(JOB)
    for start in ordered:
        if start.worker_id != 'w0':
            pool.scheduler.run_started(start.worker_id, start.key, start.run, pool.now)
    pool.evacuate(EAST)
    stops = [effect for effect in pool.scheduler.decide(pool.now) if isinstance(effect, StopRun)]
    assert {stop.worker_id for stop in stops} == set(DOMAIN_BY_WORKER)
    for stop in stops:
        pool.scheduler.run_ended(RunEnd(stop.worker_id, stop.key, stop.run, EndKind.STOPPED), pool.now)
    pool.advance(0.25)
    assert not pool.running


def test_a_run_that_a_previous_owner_assigned_is_not_withdrawn():
    # It may be running: only its worker knows.
    owners = DividedOwners()
    owners.submit(JOB, [task(4, accelerators=8)])
    owners.decide('unanswered')
    owners.silent = {'w0', 'w1', 'w2', 'w3'}
    owners.take_over()
    owners.evacuated = {EAST}
    owners.learn()
    assert not [effect for effect in owners.scheduler.decide(owners.now) if isinstance(effect, StopRun)]


def test_reserved_capacity_in_an_evacuated_domain_is_released():
    pool = DividedPool()
    pool.submit(JOB, task(4, accelerators=8, work_s=20.0))
    pool.advance()
    pool.submit(OTHER_JOB, task(4, accelerators=8, gang=True))
    for _ in range(4):
        pool.advance(0.25)
    state = pool.scheduler._state
    assert list(state.reservations)
    pool.evacuate(EAST)
    assert not list(state.reservations)


def test_work_does_not_wait_for_its_data_in_an_evacuated_domain():
    pool = DividedPool()
    pool.evacuate(EAST)
    pool.submit(JOB, task(1, data_rack=EAST))
    pool.advance()
    assert pool.domains_of(JOB) == {WEST}


def test_work_bound_to_an_evacuated_domain_waits_and_is_told_so():
    pool = DividedPool()
    pool.evacuate(EAST)
    pool.submit(JOB, task(1, label=f'only-{EAST}'))
    assert advance_until_reported(pool) == [WaitReason.EVACUATED]
    pool.evacuate()
    pool.advance()
    assert pool.domains_of(JOB) == {EAST}


def test_work_that_lacks_only_evacuated_capacity_is_told_so():
    pool = DividedPool()
    pool.evacuate(EAST)
    pool.submit(JOB, task(3, accelerators=8, gang=True))
    assert advance_until_reported(pool) == [WaitReason.EVACUATED]


def test_capacity_of_an_evacuated_domain_does_not_count_as_idle():
    pool = DividedPool()
    pool.evacuate(EAST)
    pool.submit(JOB, task(2, accelerators=8, work_s=20.0))
    pool.advance()
    pool.submit(OTHER_JOB, task(1, accelerators=8))
    pool.advance(0.3)
    pool.advance(1.2)
    (waiting,) = [note for note in pool.scheduler.take_notes() if isinstance(note, StepWaiting)]
    assert not waiting.has_room_twice
    # Half of the pool would count as idle if all four workers did.
    assert waiting.used_share > 0.5


def test_each_stage_of_an_evacuation_is_reported_once():
    pool = DividedPool()
    pool.submit(JOB, task(4, accelerators=8))
    pool.advance()
    pool.evacuate(EAST)
    pool.evacuate(EAST)
    pool.advance(1.0)
    assert pool.scheduler.take_notes() == [DomainEvacuated(EAST, 2, 2, 0)]
    end_all_runs(pool, JOB)
    pool.advance(1.0)
    pool.advance(1.0)
    (emptied,) = pool.scheduler.take_notes()
    assert emptied == DomainEmptied(EAST, emptied.evacuated_s)
    assert emptied.evacuated_s == 2.0
    pool.evacuate()
    assert pool.scheduler.take_notes() == [DomainReopened(EAST, 3.0)]


class DividedOwners(StoreBackedOwners):
    """Successive owners of workers in two failure domains, which operators evacuate.

    The store knows of an evacuation at once; the owner learns of it later, or from a
    transaction that fails because of it.
    """

    def __init__(self):
        self.evacuated = set()
        self.forbidden_starts = []
        super().__init__(4)

    def profile_of(self, worker_id):
        return WorkerProfile(worker_id, 'svc', DOMAIN_BY_WORKER[worker_id], WORKER, ('a', 'r0'))

    def take_over(self):
        super().take_over()
        self.learn()

    def learn(self):
        self.scheduler.evacuations.replace(self.evacuated, self.now)

    def is_forbidden(self, start):
        return DOMAIN_BY_WORKER[start.worker_id] in self.evacuated

    def decide(self, delivery='answered'):
        """Decide; starts are sent only if the store holds their assignments, which excludes evacuated domains."""
        starts = super().decide('held')
        if delivery == 'owner ends':
            self.take_over()
            return []
        if any(self.is_forbidden(start) for start in starts):
            self.learn()
            withdrawn = [start for start in starts if self.is_stopping(start)]
            starts = [start for start in starts if start not in withdrawn]
            self.withdraw(withdrawn)
        for start in starts:
            if self.is_forbidden(start):
                self.forbidden_starts.append(start)
            super().send(start, delivery)
        return starts

    def send(self, start, delivery):
        """Leave the start to `decide`."""

    def is_stopping(self, start):
        run = self.scheduler.worker_by_id[start.worker_id].run_by_key[start.key]
        return run.phase.value == 'stopping'

    def withdraw(self, starts):
        """Report held starts as never sent."""
        for start in starts:
            self.scheduler.run_ended(RunEnd(start.worker_id, start.key, start.run, EndKind.STOPPED), self.now)


class EvacuationHistories(RuleBasedStateMachine):
    """Random histories of evacuations beside gangs, late starts and takeovers."""

    def __init__(self):
        super().__init__()
        self.owners = DividedOwners()
        self.jobs = 0

    @rule(
        queue=st.sampled_from((URGENT, ORDINARY)),
        count=st.integers(1, 4),
        accelerators=st.sampled_from((1, 4, 8)),
        gang=st.booleans(),
    )
    def submit(self, queue, count, accelerators, gang):
        self.jobs += 1
        self.owners.submit(f'{self.jobs:016x}', [task(count, accelerators, gang=gang)], queue)

    @rule(delivery=st.sampled_from(('answered', 'answered', 'unanswered', 'late', 'owner ends')))
    def decide(self, delivery):
        self.owners.decide(delivery)

    @rule(domains=st.sets(st.sampled_from((EAST, WEST, 'unknown'))))
    def evacuate(self, domains):
        self.owners.evacuated = domains

    @rule()
    def learn(self):
        self.owners.learn()

    @rule(seconds=st.floats(0.0, 4.0))
    def wait(self, seconds):
        self.owners.pass_time(seconds)

    @rule()
    def change_owner(self):
        self.owners.take_over()

    @rule(choice=st.randoms(use_true_random=False))
    def execute_delayed_start(self, choice):
        if self.owners.delayed_starts:
            order = choice.choice(self.owners.delayed_starts)
            self.owners.delayed_starts.remove(order)
            self.owners.workers[order.worker_id].start(order)

    @rule(choice=st.randoms(use_true_random=False))
    def deliver_stop(self, choice):
        if self.owners.pending_stops:
            self.owners.deliver_stop(choice.choice(self.owners.pending_stops))

    @rule(choice=st.randoms(use_true_random=False))
    def end(self, choice):
        running = sorted(self.owners.running())
        if running:
            end_task_or_gang(self.owners, *choice.choice(running))

    @invariant()
    def nothing_is_started_in_an_evacuated_domain(self):
        assert not self.owners.forbidden_starts

    @invariant()
    def no_task_runs_twice_at_a_time(self):
        keys = [key for _, key in self.owners.running()]
        assert len(keys) == len(set(keys))

    def teardown(self):
        """Every job ends once no domain is evacuated, whatever happened before."""
        owners = self.owners
        owners.evacuated = set()
        owners.learn()
        for _ in range(60):
            finish_orders(owners)
            owners.decide()
            for worker_id, key in sorted(owners.running()):
                if key in owners.workers[worker_id].run_by_key:
                    end_task_or_gang(owners, worker_id, key)
            owners.pass_time(1.0)
            if all(job.has_ended for job in owners.scheduler.job_by_id.values()):
                return
        raise AssertionError([job.spec for job in owners.scheduler.job_by_id.values() if not job.has_ended])


def finish_orders(owners):
    """Carry out all orders that are under way; those of previous owners are refused."""
    for delayed in owners.delayed_starts:
        owners.workers[delayed.worker_id].start(delayed)
    owners.delayed_starts = []
    for stop in tuple(owners.pending_stops):
        if stop.run >> EPOCH_SHIFT <= owners.epoch:
            owners.deliver_stop(stop)


def end_task_or_gang(owners, worker_id, key):
    run = owners.workers[worker_id].run_by_key[key]
    is_gang = owners.spec_by_id[key.job_id][0].steps[key.step].gang
    for worker in owners.workers.values():
        for each, number in tuple(worker.run_by_key.items()):
            if each == key or (is_gang and each[:3] == key[:3] and number == run):
                worker.end(each, EndKind.DONE)


EvacuationHistories.TestCase.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)
TestEvacuationHistories = EvacuationHistories.TestCase
