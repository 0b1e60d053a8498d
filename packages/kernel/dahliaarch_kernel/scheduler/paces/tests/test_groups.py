"""Tests of evidence on paces that is shared by rack or by kind of worker."""

import pytest

from ... import WorkerProfile
from ...tests.pool import WORKER
from ...workers import WorkerState
from ..groups import share_by_group


def worker_of(number, kind, rack, log_ratio=None):
    worker = WorkerState(WorkerProfile(f'w{number}', 'svc', 'z', WORKER, (kind, rack)))
    for _ in range(4 if log_ratio is not None else 0):
        worker.pace.observe(log_ratio, 0.9)
    return worker


def prior(worker, workers):
    share_by_group([worker, *workers])
    return worker.pace.prior_log_ratio


@pytest.mark.parametrize('place', ['kind', 'rack'])
def test_a_new_worker_is_assumed_like_its_group(place):
    def labels(number):
        return ('a', f'r{number % 2}') if place == 'rack' else (f'k{number % 2}', f'r{number}')

    workers = [worker_of(number, *labels(number), 0.6 * (number % 2)) for number in range(12)]
    assert prior(worker_of(99, *labels(1)), workers) > 0.4
    assert prior(worker_of(99, *labels(0)), workers) == pytest.approx(0.0, abs=0.1)


def test_a_group_that_explains_nothing_is_ignored():
    """Guards against blaming a new worker for chance differences between racks."""
    workers = [worker_of(number, 'a', f'r{number % 3}', 0.6 * (number % 2)) for number in range(24)]
    assert prior(worker_of(99, 'a', 'r1'), workers) == 0.0


def test_workers_without_labels_share_nothing():
    workers = [WorkerState(WorkerProfile(f'w{number}', 'svc', 'z', WORKER, ())) for number in range(3)]
    share_by_group(workers)
    assert {worker.pace.prior_log_ratio for worker in workers} == {0.0}
