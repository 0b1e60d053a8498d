"""Tests of refusals: which submissions are refused for load, and what Retry-After says."""

from types import SimpleNamespace

import anyio
import msgspec
import pytest

from dahliaarch_kernel.admission import Digest, encode_digest, QueueBacklog
from dahliaarch_kernel.configuration import Account, build_configuration, ConfigurationParts, Queue
from dahliaarch_kernel.scheduler import Mechanism, Moment, SchedulerSettings
from dahliaarch_kernel.workload import Resources
from dahliaarch_platform.http import Request
from dahliaarch_platform.store import CommitResult, CommitStatus, Item, StoreRefusedError, StoreUnansweredError

from ..front import admission, AdmissionControl, core, Front
from ..metrics import Metrics
from ..ownership import Owner
from ..records import job_key, Member

JOB = 'a' * 16
EPOCH = 7
ORDINARY = Queue('ordinary', 'h', '/o/', 'svc', priority=1, stretch=1.0, target_latency_s=1.0)
URGENT = Queue('urgent', 'h', '/u/', 'svc', priority=0)
CONFIGURATION = build_configuration(
    ConfigurationParts(1, queues=(ORDINARY, URGENT), accounts=(Account('acc', ('key',), 4),))
)
SETTINGS = SchedulerSettings()
WITHOUT = SchedulerSettings(without=frozenset((Mechanism.ADMISSION,)))
BODY = msgspec.json.encode({'Steps': [{'Count': 1, 'Cpu': 4000, 'MemMb': 16000, 'Gpu': 1, 'EstimateMs': 1000}]})
WALL_S = 1_700_000_000.0


class Clock:
    """A clock of the test for the code under test; waits advance it."""

    def __init__(self, monkeypatch):
        self.now = Moment(1000.0, WALL_S)
        self.slept_s = []
        monkeypatch.setattr(admission, 'steady_s', lambda: self.now.steady_s)
        monkeypatch.setattr(admission, '_now', lambda: self.now)
        monkeypatch.setattr(core, 'anyio', SimpleNamespace(sleep=self.sleep))
        self.on_sleep = lambda: None

    def advance(self, seconds):
        self.now = Moment(self.now.steady_s + seconds, self.now.wall_s + seconds)

    async def sleep(self, seconds):
        self.slept_s.append(seconds)
        self.advance(seconds)
        self.on_sleep()


class Store:
    """A store that counts the calls and may fail."""

    def __init__(self):
        self.is_suspect = False
        self.value_by_key = {}
        self.calls = []
        self.failure = None

    async def get(self, key, *, timeout_s):
        self.calls.append('get')
        if self.failure is not None:
            raise self.failure
        value = self.value_by_key.get(key)
        return None if value is None else Item(key, value, 5)

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        self.calls.append('commit')
        if self.failure is not None:
            raise self.failure
        (write,) = writes
        if write.key in self.value_by_key:
            return CommitResult(CommitStatus.CONDITION_FAILED)
        self.value_by_key[write.key] = write.value
        return CommitResult(CommitStatus.DONE, 5)


class Node:
    """The parts of an instance that answer callers; it owns the pool, so that nothing is asked of peers."""

    def __init__(self, monkeypatch, settings=SETTINGS):
        self.clock = Clock(monkeypatch)
        self.store = Store()
        self.metrics = Metrics()
        self.admission = AdmissionControl(settings, self.metrics)
        member = Member('i', 'x', '127.0.0.1', 1)
        self.ownership = SimpleNamespace(owner=Owner(member, EPOCH), is_owner=True)
        mesh = SimpleNamespace(send=lambda address, message: None, ask=self.ask)
        follower = SimpleNamespace(current=CONFIGURATION, version=1)
        self.front = Front(self.store, follower, self.ownership, mesh, self.metrics, self.admission)

    async def ask(self, address, message, *, timeout_s):
        return None

    def receive(self, pool_s=1000.0, epoch=EPOCH):
        """Receive a digest of urgent work that fills the pool for a time."""
        largest = Resources(4_000, 16_000, 1)
        row = QueueBacklog('urgent', 'svc', 1, 2 * pool_s * 100.0, 0.0, largest, 0.0)
        made = Digest(epoch, self.clock.now.wall_s, {'svc': Resources(100_000, 400_000, 10)}, (row,))
        self.admission.receive_digest(epoch, encode_digest(made))

    def call(self, method='POST', path=f'/o/{JOB}', body=BODY):
        headers = {'host': 'h', 'authorization': 'Token key'}
        return anyio.run(self.front.answer, Request(method, path, headers, body))

    def fail_calls(self, seconds, step_s=0.25):
        """Let calls to the store be refused for a time, until one is answered."""
        for _ in range(round(seconds / step_s)):
            self.admission.observe_store_call('commit', '503', 0.0)
            self.clock.advance(step_s)
        self.admission.observe_store_call('get', '200', 0.0)


@pytest.fixture
def node(monkeypatch):
    return Node(monkeypatch)


def test_a_refusal_for_load_writes_nothing(node):
    node.receive()
    node.clock.on_sleep = node.receive
    response = node.call()
    assert response.status == 503
    assert 1 <= int(response.header_by_name['Retry-After']) <= 5
    assert node.store.calls == ['get']
    assert not node.store.value_by_key
    assert 'dahliaarch_refusals_total{reason="load"} 1.0' in node.metrics.render().decode()


def test_an_accepted_job_costs_one_call_of_the_store(node):
    assert node.call().status == 200
    node.receive(pool_s=0.1)
    assert node.call(path=f'/o/{"b" * 16}').status == 200
    assert node.store.calls == ['commit', 'commit']


def test_a_retry_of_an_accepted_job_is_not_refused(node):
    """The answer to the first attempt was lost, and the second, with the pool full, was told that it never runs."""
    node.store.value_by_key[job_key(JOB)] = b'accepted through another instance'
    node.receive()
    node.clock.on_sleep = node.receive
    assert node.call().status == 200


def test_an_attempt_under_way_elsewhere_is_waited_for(node):
    """The other instance's write took effect after the store had been read here."""

    def write_elsewhere():
        node.store.value_by_key[job_key(JOB)] = b'accepted'
        node.receive()

    node.receive()
    node.clock.on_sleep = write_elsewhere
    assert node.call().status == 200
    assert node.clock.slept_s == [0.8]


@pytest.mark.parametrize('failure', [StoreUnansweredError('lost'), StoreRefusedError('503')])
def test_a_job_is_not_refused_for_load_if_the_store_fails(node, failure):
    """Whether it was accepted before can't be told then."""
    node.receive()
    node.clock.on_sleep = node.receive
    node.store.failure = failure
    node.call()
    assert 'commit' in node.store.calls
    assert 'reason="load"' not in node.metrics.render().decode()


def test_a_job_of_unknown_outcome_is_not_refused_later(node, monkeypatch):
    """Its first write got no answer and may take effect at any time."""
    monkeypatch.setattr(core, 'STORE_WRITE_TIMEOUT_S', 0.05)
    node.store.failure = StoreUnansweredError('lost')
    assert node.call().status == 504
    node.store.failure = None
    node.receive()
    assert node.call().status == 200


def test_a_job_refused_by_the_store_may_be_refused_for_load(node):
    node.store.failure = StoreRefusedError('503')
    assert node.call().status == 503
    node.store.failure = None
    node.receive()
    node.clock.on_sleep = node.receive
    assert node.call().status == 503
    assert 'dahliaarch_refusals_total{reason="load"} 1.0' in node.metrics.render().decode()


def test_nothing_is_refused_for_load_soon_after_an_outage(node):
    """Writes that the store received before the outage may take effect when it ends."""
    node.fail_calls(4.0)
    node.receive()
    assert node.call().status == 200


def test_a_backlog_that_passes_refuses_nothing(node):
    node.receive()
    node.clock.on_sleep = lambda: node.receive(pool_s=0.1)
    assert node.call().status == 200


@pytest.mark.parametrize('case', ['none', 'old', 'wall clock back', 'older epoch', 'no owner', 'malformed'])
def test_jobs_are_accepted_without_a_current_digest(node, case):
    if case != 'none':
        node.receive(epoch=EPOCH - 1 if case == 'older epoch' else EPOCH)
    if case == 'old':
        node.clock.advance(2.6)
    if case == 'wall clock back':
        node.clock.now = node.clock.now._replace(wall_s=WALL_S - 60.0)
    if case == 'no owner':
        node.ownership.owner = None
    if case == 'malformed':
        node.admission = AdmissionControl(SchedulerSettings(), node.metrics)
        node.front._admission = node.admission
        node.admission.receive_digest(EPOCH, b'\x00')
    assert node.call().status == 200


def test_a_digest_of_an_older_owner_replaces_no_newer_one(node):
    node.receive(epoch=EPOCH)
    node.receive(pool_s=0.1, epoch=EPOCH - 1)
    node.clock.on_sleep = node.receive
    assert node.call().status == 503


def test_an_owner_whose_clock_is_set_back_stays_usable(node):
    """Its digests would have been taken for older ones, and the last one before would have decided."""
    node.receive()
    node.clock.now = node.clock.now._replace(wall_s=WALL_S - 60.0)
    node.receive(pool_s=0.1)
    assert node.call().status == 200
    node.receive()
    node.clock.on_sleep = node.receive
    assert node.call(path=f'/o/{"b" * 16}').status == 503


def test_requests_for_state_and_cancellations_are_served(node):
    node.store.value_by_key[job_key(JOB)] = b'accepted'
    node.receive()
    assert node.call('GET').status == 200
    assert node.call('DELETE').status == 200


def test_work_within_the_guarantee_is_served(node):
    node.receive()
    assert node.call(path=f'/u/{JOB}').status == 200


def test_switched_off_nothing_is_refused_for_load(monkeypatch):
    node = Node(monkeypatch, WITHOUT)
    node.receive()
    assert node.call().status == 200
    for _ in range(8):
        node.admission.observe_store_call('commit', '503', 0.0)
        node.clock.advance(0.5)
    node.store.failure = StoreRefusedError('503')
    response = node.call(path=f'/o/{"b" * 16}')
    assert (response.status, response.header_by_name['Retry-After']) == (503, '1')


def test_a_repeated_outage_of_4_s_is_waited_out(node):
    """Callers of the second outage were told to return in 1 s, four times within it."""
    node.fail_calls(4.0)
    node.clock.advance(20.0)
    node.store.failure = StoreRefusedError('503')
    node.admission.observe_store_call('commit', '503', 0.0)
    node.clock.advance(1.5)
    found = {int(node.call(path=f'/o/{number:016x}').header_by_name['Retry-After']) for number in range(64)}
    assert found == {3, 4, 5}
    urgent = {int(node.call(path=f'/u/{number:016x}').header_by_name['Retry-After']) for number in range(64)}
    assert urgent == {3, 4}


def test_a_lost_watch_is_no_outage(node):
    node.admission.observe_store_call('watch', 'unanswered', 7.0)
    node.clock.advance(2.0)
    node.store.is_suspect = True
    assert node.call().header_by_name['Retry-After'] == '1'


def test_the_memory_of_attempts_is_bounded(node):
    for number in range(5000):
        assert node.admission.record_attempt(f'{number:016x}')
    assert len(node.admission._attempts_by_job) == 4096
    assert not node.admission.record_attempt(f'{4999:016x}')
