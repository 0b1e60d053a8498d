"""Tests of worker entries in the store that were written by another program.

An entry that became unreadable was ignored, so its worker stayed in use as before.
Every readable entry counted as a worker of the pool, so the owner repeatedly surveyed
the address of an entry whose service was not configured.
"""

from functools import partial

import anyio
import msgspec

from dahliaarch_kernel.codec import encode
from dahliaarch_kernel.configuration import build_configuration, ConfigurationParts, ServiceSettings
from dahliaarch_kernel.scheduler import WorkerProfile
from dahliaarch_kernel.workload import Resources, TaskKey
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address
from dahliaarch_platform.store import Item, WORKERS_PREFIX

from ...records import ROSTER_PREFIX, RosterEntry
from ..feeds import job_messages
from ..messages import WorkerListed, WorkerUnlisted, WorkerUnreadable
from ..unserved import UnservedWorkers
from .test_takeover import (
    INHERITED_JOB_ID,
    InMemoryStore,
    InMemoryWorkers,
    job_item,
    QUEUE,
    take_over,
    worker_entry_item,
)

KEY = TaskKey(INHERITED_JOB_ID, 0, 0, 0)


def run_takeover(store, workers, condition, **options):
    return anyio.run(partial(take_over, store, workers, condition, **options))


def configuration(*services):
    return build_configuration(
        ConfigurationParts(1, services=[ServiceSettings(name, True, False) for name in services])
    )


def malformed_entry(worker_id):
    return Item(WORKERS_PREFIX + worker_id, b'\xff', 1)


def entry_with_service(worker_id, service):
    item = worker_entry_item(worker_id)
    return item._replace(value=msgspec.json.encode(msgspec.json.decode(item.value) | {'Service': service}))


def roster_item(worker_id, service='svc', *, draining=False):
    profile = WorkerProfile(worker_id, service, 'z', Resources(64_000, 262_144, 8), ('a', 'r0'), draining)
    return Item(f'{ROSTER_PREFIX}0', encode([RosterEntry(profile, Address('127.0.0.1', 1))]), 1)


def worker_listed(worker_id, service):
    profile = WorkerProfile(worker_id, service, 'z', Resources(1, 1, 1), ())
    return WorkerListed(profile, Address('127.0.0.1', 1), WorkerIncarnation(worker_id))


def started_workers(workers):
    return {incarnation for incarnation, _ in workers.starts}


def test_malformed_entries_do_not_affect_other_workers():
    workers = InMemoryWorkers()
    store = InMemoryStore(
        [malformed_entry('b'), worker_entry_item('w'), malformed_entry('z'), job_item(INHERITED_JOB_ID, 1.0)]
    )
    run_takeover(store, workers, lambda owner: workers.starts, within_s=3)
    assert started_workers(workers) == {'w'}
    assert set(workers.surveys) == {'w'}


def test_a_worker_gets_no_starts_while_its_entry_is_unreadable():
    workers = InMemoryWorkers()
    store = InMemoryStore([worker_entry_item('w')])

    def suspend(owner):
        if 'w' in workers.surveys and KEY.job_id not in owner.scheduler.job_by_id:
            owner.post(WorkerUnreadable('w'))
            for message in new_job_messages(owner):
                owner.post(message)
        return False

    def suspend_and_resume(owner):
        if owner.is_ready and KEY.job_id not in owner.scheduler.job_by_id:
            owner.post(WorkerUnreadable('w'))
            for message in new_job_messages(owner):
                owner.post(message)
            owner.post(worker_listed('w', 'svc')._replace(profile=current_profile(owner)))
        return workers.starts

    run_takeover(store, workers, suspend, within_s=0.8)
    assert not workers.starts
    run_takeover(store, workers, suspend_and_resume, within_s=3)
    assert started_workers(workers) == {'w'}


def current_profile(owner):
    return owner.scheduler.worker_by_id['w'].profile


def new_job_messages(owner):
    return job_messages(job_item(INHERITED_JOB_ID, 1.0)._replace(revision=owner.epoch + 1))


def test_the_next_owner_surveys_a_worker_of_unreadable_entry():
    """The previous owner used the worker; unless it is surveyed, its task is started a second time elsewhere."""
    workers = InMemoryWorkers({'w': ()})
    store = InMemoryStore([malformed_entry('w'), roster_item('w'), worker_entry_item('x')])
    owner = run_takeover(store, workers, lambda owner: owner.is_ready, within_s=3)
    assert set(workers.surveys) == {'w', 'x'}
    assert not owner.scheduler.worker_by_id['w'].takes_starts


def test_a_draining_worker_without_an_entry_gets_short_leases():
    """With the longest leases, its runs would be restarted elsewhere seconds later."""
    workers = InMemoryWorkers({'w': ()})
    owner = run_takeover(
        InMemoryStore([roster_item('w', draining=True)]), workers, lambda owner: owner.is_ready, within_s=3
    )
    assert owner._links.get('w').is_draining


def test_a_worker_of_an_unconfigured_service_is_not_surveyed():
    workers = InMemoryWorkers()
    store = InMemoryStore([entry_with_service('w', 'foreign'), worker_entry_item('x')])
    run_takeover(store, workers, lambda owner: False, within_s=0.6, configuration=configuration('svc'))
    assert set(workers.surveys) == {'x'}


def test_a_worker_of_a_service_named_by_a_queue_is_surveyed():
    workers = InMemoryWorkers()
    queue_configuration = build_configuration(ConfigurationParts(1, queues=[QUEUE]))
    run_takeover(
        InMemoryStore([worker_entry_item('w')]),
        workers,
        lambda owner: False,
        within_s=0.6,
        configuration=queue_configuration,
    )
    assert set(workers.surveys) == {'w'}


def test_the_next_owner_surveys_a_worker_of_a_removed_service():
    """Tasks of jobs that were accepted before the removal may be running on it."""
    workers = InMemoryWorkers()
    store = InMemoryStore([entry_with_service('w', 'dropped'), roster_item('w', 'dropped')])
    run_takeover(store, workers, lambda owner: False, within_s=0.6, configuration=configuration('svc'))
    assert set(workers.surveys) == {'w'}


def test_workers_are_accepted_once_their_service_is_configured():
    unserved = UnservedWorkers()
    assert not unserved.set_services({'a'})
    assert not unserved.set_aside(worker_listed('w', 'a'))
    assert unserved.set_aside(worker_listed('v', 'b'))
    assert unserved.set_aside(worker_listed('u', 'c'))
    unserved.forget('u')
    assert [message.profile.worker_id for message in unserved.set_services({'b', 'c'})] == ['v']
    assert not unserved.set_services({'b', 'c'})


def test_an_unreadable_entry_that_is_removed_counts_as_lapsed():
    workers = InMemoryWorkers()
    store = InMemoryStore([worker_entry_item('w')])

    def suspend_and_remove(owner):
        if owner.is_ready and KEY.job_id not in owner.scheduler.job_by_id:
            owner.post(WorkerUnreadable('w'))
            owner.post(WorkerUnlisted('w'))
            for message in new_job_messages(owner):
                owner.post(message)
        return workers.starts

    run_takeover(store, workers, suspend_and_remove, within_s=3)
    assert started_workers(workers) == {'w'}
