"""Tests of how an owner learns of evacuations, and that it sends no start into an evacuated failure domain."""

import random
import time

import anyio
import msgspec
import pytest

from dahliaarch_kernel.workload import Resources, StepSpec
from dahliaarch_platform.operators import EVACUATIONS_PREFIX
from dahliaarch_platform.store import Item, MAX_TRANSACTION_ENTRIES, Page
from dahliaarch_platform.workers import OrderReply, OrderStatus, WorkerUnansweredError

from ...timing import StoreTiming
from ..changes import batches, Change, domain_conditions
from ..evacuations import EvacuationsFeed
from ..feeds import FeedContext
from .test_assignments import ConditionalStore, make_owner, RecordingWorkers, run_scenario, wait_until
from .test_takeover import decode_job_record, EPOCH, job_item, NEW_JOB_ID, worker_entry_item

EAST_KEY = f'{EVACUATIONS_PREFIX}east'
TWO_TASKS = StepSpec(2, Resources(64_000, 200_000, 8), 20.0)


def worker_in(domain, worker_id):
    item = worker_entry_item(worker_id)
    return item._replace(value=msgspec.json.encode(msgspec.json.decode(item.value) | {'Zone': domain}))


def request(domain, revision, *, value=b'{}', removed=False):
    return Item(EVACUATIONS_PREFIX + domain, value, revision, removed)


class RecordedFeed(EvacuationsFeed):
    """A feed whose posted messages are recorded."""

    def __init__(self):
        self.posted = []
        super().__init__(FeedContext(None, StoreTiming(), self.posted.append))

    @property
    def domains(self):
        return self.posted[-1].domains if self.posted else frozenset()


def test_only_changes_of_the_evacuated_domains_are_posted():
    feed = RecordedFeed()
    feed.record_items([request('east', 5), Item('op/config', b'', 6)])
    feed.record_items([request('east', 7)])
    feed.record_items([request('east', 8, removed=True), request('east', 9)])
    assert [message.domains for message in feed.posted] == [{'east'}]


def test_of_two_reports_the_one_with_the_later_revision_holds():
    feed = RecordedFeed()
    feed.record_items([request('east', 9, removed=True)])
    feed.record_items([request('east', 5)])
    assert not feed.posted
    feed.record_items([request('east', 12)])
    feed.record_listing(Page((), 11))
    assert feed.domains == {'east'}
    feed.record_listing(Page((), 13))
    assert feed.domains == set()


@pytest.mark.parametrize('value', [b'', b'{}', b'not json', b'\xff\xfe'])
def test_a_request_with_an_unreadable_value_holds(value):
    feed = RecordedFeed()
    feed.record_items([request('east', 5, value=value)])
    assert feed.domains == {'east'}


def test_thousands_of_requests_are_posted_together():
    feed = RecordedFeed()
    feed.record_listing(Page(tuple(request(f'domain-{number}', number) for number in range(1, 5001)), 6000))
    assert [len(message.domains) for message in feed.posted] == [5000]


def test_whatever_the_order_of_reports_the_last_change_holds():
    rng = random.Random(3)
    for _ in range(300):
        changes = [request(rng.choice('abc'), number, removed=rng.random() < 0.5) for number in range(1, 9)]
        latest = {each.key: each for each in changes}
        feed = RecordedFeed()
        for each in rng.sample(changes, len(changes)):
            feed.record_items([each])
        expected = {key.removeprefix(EVACUATIONS_PREFIX) for key, each in latest.items() if not each.removed}
        assert feed.domains == expected


def test_transactions_with_all_conditions_stay_below_the_limit():
    rng = random.Random(5)
    domains = [f'd{number}' for number in range(9)]
    changes = [
        Change(f'k{number}', b'', None, frozenset(rng.sample(domains, rng.randint(0, 4)))) for number in range(200)
    ]
    grouped = list(batches(changes))
    assert [change for batch in grouped for change in batch] == changes
    for batch in grouped:
        conditions = domain_conditions(batch)
        started = {EVACUATIONS_PREFIX + domain for change in batch for domain in change.domains}
        assert {condition.key for condition in conditions} == started
        assert 1 + len(conditions) + 2 * len(batch) <= MAX_TRANSACTION_ENTRIES


def test_no_start_is_sent_for_an_assignment_that_is_too_late():
    # The watch of the operators' keys is behind: only the transaction tells of the request.
    async def scenario(owner, store, workers):
        store.item_by_key[EAST_KEY] = request('east', store.revision)
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time(), TWO_TASKS)))
        await wait_until(lambda: workers.starts, 2.0)
        await anyio.sleep(0.5)
        assert list(owner.scheduler.evacuations.by_domain) == ['east']

    _, workers = run_scenario(scenario, [worker_in('east', 'w0'), worker_in('west', 'w1')])
    assert [worker_id for worker_id, _ in workers.starts] == ['w1']


def test_the_first_start_of_an_owner_respects_evacuations():
    async def scenario(owner, store, workers):
        assert list(owner.scheduler.evacuations.by_domain) == ['east']
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time(), TWO_TASKS)))
        await wait_until(lambda: workers.starts, 2.0)
        await anyio.sleep(0.3)

    items = [worker_in('east', 'w0'), worker_in('west', 'w1'), request('east', 3)]
    _, workers = run_scenario(scenario, items)
    assert [worker_id for worker_id, _ in workers.starts] == ['w1']


def test_work_starts_at_once_when_its_domain_is_reopened():
    waits_s = []

    async def scenario(owner, store, workers):
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await anyio.sleep(0.3)
        assert not workers.starts
        del store.item_by_key[EAST_KEY]
        store.changes.append(request('east', store.revision + 1, removed=True))
        reopened_s = time.monotonic()
        await wait_until(lambda: workers.starts, 2.0)
        waits_s.append(time.monotonic() - reopened_s)

    store = WatchedStore([worker_in('east', 'w0'), request('east', 3)])
    run_owner(store, scenario)
    assert waits_s[0] < 0.2


def test_an_unanswered_start_is_not_repeated_in_an_evacuation():
    attempts = []

    async def scenario(owner, store, workers):
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await wait_until(lambda: workers.attempts, 2.0)
        store.item_by_key[EAST_KEY] = request('east', store.revision)
        store.changes.append(store.item_by_key[EAST_KEY])
        step = owner.scheduler.job_by_id[NEW_JOB_ID].step_by_key[0, 0]
        await wait_until(lambda: step.pending, 4.0)
        assert step.pending
        attempts.append(workers.attempts)

    store = WatchedStore([worker_in('east', 'w0')])
    run_owner(store, scenario, UnansweringWorkers(store))
    assert attempts == [1]


def test_a_withdrawn_start_is_no_refusal_of_its_worker():
    async def scenario(owner, store, workers):
        store.item_by_key[EAST_KEY] = request('east', store.revision)
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await wait_until(lambda: owner.scheduler.evacuations.by_domain, 2.0)
        await anyio.sleep(0.1)
        step = owner.scheduler.job_by_id[NEW_JOB_ID].step_by_key[0, 0]
        assert (step.pending, step.refused_until_by_worker) == ({0}, {})

    run_scenario(scenario, [worker_in('east', 'w0')])


class WatchedStore(ConditionalStore):
    """A store whose watch on evacuations reports the changes listed in `changes`, each once."""

    def __init__(self, items):
        super().__init__(items)
        self.changes = []

    async def watch(self, prefix, after, *, wait_s, timeout_s, **options):
        if prefix != EVACUATIONS_PREFIX:
            return await super().watch(prefix, after, wait_s=wait_s, timeout_s=timeout_s, **options)
        with anyio.move_on_after(wait_s):
            while not self.changes:
                await anyio.sleep(0.005)
        changes, self.changes = tuple(self.changes), []
        return Page(changes, self.revision)


class UnansweringWorkers(RecordingWorkers):
    """Workers that answer no start, and every stop."""

    def __init__(self, store):
        super().__init__(store)
        self.attempts = 0

    async def start(self, address, incarnation, order, *, timeout_s, **options):
        self.attempts += 1
        await anyio.sleep(timeout_s)
        raise WorkerUnansweredError('silent')

    async def stop(self, address, incarnation, key, run, fence, *, timeout_s):
        return OrderReply(OrderStatus.DONE, time.monotonic())


def run_owner(store, scenario, workers=None):
    """Run a scenario with an owner that has completed its takeover of a given store."""
    store.claim(EPOCH)
    workers = workers or RecordingWorkers(store)

    async def run():
        async with anyio.create_task_group() as tasks:
            owner = make_owner(EPOCH, store, workers)
            tasks.start_soon(owner.run)
            await wait_until(lambda: owner.is_ready, 5.0)
            await scenario(owner, store, workers)
            tasks.cancel_scope.cancel()

    anyio.run(run)
