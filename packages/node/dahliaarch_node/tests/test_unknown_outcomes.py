"""Tests of what callers are told while the outcome of a write of their job is unknown.

A write that gets no answer may be applied seconds later. A cancel that had found no job was answered 410 and forgotten;
the write was applied afterwards, and the job ran.
"""

from types import SimpleNamespace

import anyio
import pytest

from dahliaarch_platform.store import CommitResult, CommitStatus, Item, StoreRefusedError, StoreUnansweredError

from ..front import acceptance, AdmissionControl, core
from ..metrics import Metrics
from ..peers import AcceptCancel, AcceptJob
from ..records import cancel_key, job_key
from ..replies import PeerReplies
from .test_admission import JOB, Node, SETTINGS

KEYS = (job_key(JOB), cancel_key(JOB))


class LateStore:
    """A store that checks conditions, and can leave writes without an answer and apply them when told to."""

    def __init__(self):
        self.is_suspect = False
        self.revision = 1
        self.item_by_key = {}
        self.loses = False
        self.failure = None
        self.late = []

    async def get(self, key, *, timeout_s):
        if self.failure is not None:
            raise self.failure
        return self.item_by_key.get(key)

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        if self.failure is not None:
            raise self.failure
        if self.loses:
            self.late.append((conditions, writes))
            await anyio.sleep(timeout_s)
            raise StoreUnansweredError('lost')
        return self.apply(conditions, writes)

    def apply(self, conditions, writes):
        found = {condition.key: self.item_by_key.get(condition.key) for condition in conditions}
        if any((found[key].revision if found[key] else 0) != revision for key, revision in conditions):
            return CommitResult(CommitStatus.CONDITION_FAILED, current=tuple(item for item in found.values() if item))
        self.revision += 1
        for write in writes:
            self.item_by_key[write.key] = Item(write.key, write.value, self.revision)
        return CommitResult(CommitStatus.DONE, self.revision)

    def apply_late(self):
        for conditions, writes in self.late:
            self.apply(conditions, writes)


@pytest.fixture
def store(monkeypatch):
    monkeypatch.setattr(core, 'STORE_WRITE_TIMEOUT_S', 0.05)
    return LateStore()


@pytest.fixture
def instances(monkeypatch, store):
    """Return two instances, each of which writes to the store itself."""
    nodes = [Node(monkeypatch), Node(monkeypatch)]
    for node in nodes:
        node.front._store = store
    return nodes


@pytest.fixture
def replies(store):
    found = PeerReplies(store, None, SimpleNamespace(owner=None), None)
    found.admission = AdmissionControl(SETTINGS, Metrics())
    return found


def submit_without_answer(node, store):
    store.loses = True
    assert node.call().status == 504
    store.loses = False


def test_a_job_whose_cancel_was_answered_is_not_added_by_a_late_write(instances, store):
    first, second = instances
    submit_without_answer(first, store)
    assert second.call('DELETE').status == 410
    store.apply_late()
    assert job_key(JOB) not in store.item_by_key


def test_a_cancel_through_the_owner_also_bars_a_late_write(instances, replies, store):
    submit_without_answer(instances[0], store)
    reply = anyio.run(replies.answer, AcceptCancel(JOB))
    assert reply.is_missing
    store.apply_late()
    assert job_key(JOB) not in store.item_by_key


def test_a_job_that_is_added_while_it_is_cancelled_is_cancelled(store):
    store.item_by_key[job_key(JOB)] = Item(job_key(JOB), b'', 1)
    outcome = anyio.run(acceptance.cancel_missing_job, store, JOB)
    assert outcome.status is acceptance.WriteStatus.KEPT
    assert set(store.item_by_key) == set(KEYS)


def test_a_cancel_that_is_not_stored_is_not_answered_as_if_it_were(instances, store):
    store.loses = True
    assert instances[0].call('DELETE').status == 504
    store.loses = False
    store.failure = StoreRefusedError('503')
    assert instances[0].call('DELETE').status == 503


def test_a_job_that_was_cancelled_before_it_was_stored_is_refused(instances, replies, store):
    assert instances[0].call('DELETE').status == 410
    assert instances[1].call().status == 503
    reply = anyio.run(replies.answer, AcceptJob(JOB, b''))
    assert (reply.is_done, reply.is_certain, reply.is_missing) == (False, True, True)
    assert job_key(JOB) not in store.item_by_key


def test_a_retry_of_a_cancelled_job_that_is_stored_is_answered_as_accepted(instances, store):
    assert instances[0].call().status == 200
    assert instances[1].call('DELETE').status == 200
    assert instances[1].call().status == 200


def test_a_refused_retry_says_nothing_of_an_attempt_without_an_answer(instances, store):
    """A refusal says that the job never runs, but the first write may still be applied."""
    submit_without_answer(instances[0], store)
    store.failure = StoreRefusedError('503')
    assert instances[0].call().status == 504
    assert instances[1].call(path=f'/o/{"b" * 16}').status == 503


def test_an_owner_refuses_no_retry_of_an_attempt_without_an_answer(replies, store, monkeypatch):
    monkeypatch.setattr('dahliaarch_node.replies._WRITE_TIMEOUT_S', 0.05)
    store.loses = True
    assert not anyio.run(replies.answer, AcceptJob(JOB, b'')).is_certain
    store.failure = StoreRefusedError('503')
    assert not anyio.run(replies.answer, AcceptJob(JOB, b'')).is_certain


def test_the_state_of_a_job_that_may_still_be_added_is_unknown(instances, store):
    submit_without_answer(instances[0], store)
    assert instances[0].call('GET').status == 503
    assert instances[0].call('DELETE').status == 410
    assert instances[0].call('GET').status == 410


def test_a_job_of_unknown_outcome_does_not_exist_after_a_time(instances, store):
    submit_without_answer(instances[0], store)
    # Both instances have the clock of the second.
    instances[1].clock.advance(11.0)
    assert instances[0].call('GET').status == 410


@pytest.fixture
def owned(instances, replies):
    """Return two instances that ask and tell a third one, the owner; it shares their clock."""
    told = []

    async def ask(address, message, *, timeout_s):
        return await replies.answer(message)

    for node in instances:
        node.ownership.is_owner = False
        node.front._mesh = SimpleNamespace(send=lambda address, message: told.append(message), ask=ask)
    return instances, told


def deliver(replies, told):
    while told:
        anyio.run(replies.answer, told.pop())


def test_an_attempt_without_an_answer_is_known_at_other_instances(owned, replies, store):
    """Guards against words of another instance that take the job for refused or absent while a write is under way."""
    (first, second), told = owned
    submit_without_answer(first, store)
    deliver(replies, told)
    assert second.call('GET').status == 503
    store.failure = StoreRefusedError('503')
    assert second.call().status == 504


def test_an_attempt_without_an_answer_is_not_refused_for_load_at_other_instances(owned, replies, store):
    (first, second), told = owned
    submit_without_answer(first, store)
    deliver(replies, told)
    second.receive()
    second.clock.on_sleep = second.receive
    assert second.call().status == 200


def test_a_new_owner_is_told_of_attempts_without_an_answer(instances, store):
    submit_without_answer(instances[0], store)
    assert instances[0].admission.unanswered_jobs() == [JOB]
    instances[1].clock.advance(11.0)
    assert not instances[0].admission.unanswered_jobs()
