"""Evacuations of failure domains against real daemons, beside a steady stream of short jobs."""

import time

from dahliaarch_platform.operators import EVACUATIONS_PREFIX

from ..core import DOMAINS
from .running import PARALLEL

# Users tolerate starts in an evacuated domain for 5 s; the aim is 95 of 100 evacuations within this time.
AIM_S = 0.2
EVACUATIONS = 20
# Time for which a domain is evacuated, and then open again, in seconds.
PERIOD_S = 0.5
# Jobs submitted per period. Each fills the pool for a moment.
JOBS_PER_PERIOD = 4
SHORT = [{**PARALLEL[0], 'Count': 4, 'Gpu': 8}]


def evacuate(running, domain):
    running.store.put(EVACUATIONS_PREFIX + domain, b'{}')
    return time.monotonic()


def reopen(running, domain):
    running.store.remove(EVACUATIONS_PREFIX + domain)
    return time.monotonic()


def starts_in(running, domain, begin_s, end_s):
    workers = [worker for worker in running.workers if worker.domain == domain]
    return [start.at_s for worker in workers for start in worker.starts if begin_s <= start.at_s < end_s]


def submit_for(running, seconds):
    """Submit jobs at an even rate."""
    for _ in range(JOBS_PER_PERIOD):
        running.submit(SHORT, '0.05')
        running.sleep(seconds / JOBS_PER_PERIOD)


def test_nothing_starts_in_a_domain_soon_after_its_evacuation(running):
    delays_s = []
    used = 0
    for number in range(EVACUATIONS):
        domain = DOMAINS[number % len(DOMAINS)]
        begun_s = time.monotonic()
        submit_for(running, PERIOD_S)
        evacuated_s = running.portal.call(evacuate, running, domain)
        used += bool(starts_in(running, domain, begun_s, evacuated_s))
        submit_for(running, PERIOD_S)
        reopened_s = running.portal.call(reopen, running, domain)
        late = starts_in(running, domain, evacuated_s, reopened_s)
        delays_s.append(max(late, default=evacuated_s) - evacuated_s)
    assert used >= EVACUATIONS / 2
    assert sum(delay_s > AIM_S for delay_s in delays_s) <= EVACUATIONS * 0.05, delays_s


def test_an_evacuation_outlasts_its_owner_and_all_jobs_end(running):
    for domain in DOMAINS[:2]:
        running.portal.call(evacuate, running, domain)
    running.sleep(0.2)
    evacuated_s = time.monotonic()
    jobs = [running.submit(SHORT, '0.2') for _ in range(4)]
    running.portal.call(running.deployment.kill, running.owner())
    jobs += [running.submit(SHORT, '0.2') for _ in range(4)]
    for job_id in jobs:
        running.wait_for(job_id, 'succeeded')
    assert not [start for domain in DOMAINS[:2] for start in starts_in(running, domain, evacuated_s, time.monotonic())]
    assert not running.tasks_run_twice()


def test_work_waits_until_one_of_all_evacuated_domains_reopens(running):
    for domain in DOMAINS:
        running.portal.call(evacuate, running, domain)
    running.sleep(0.3)
    job_id = running.submit(SHORT, '0.1')
    running.sleep(1.0)
    assert not running.starts()
    reopened_s = running.portal.call(reopen, running, DOMAINS[1])
    running.wait_for(job_id, 'succeeded')
    assert {start.worker for start in running.starts()} <= {
        worker.worker_id for worker in running.workers if worker.domain == DOMAINS[1]
    }
    assert min(start.at_s for start in running.starts()) - reopened_s < 1.0
