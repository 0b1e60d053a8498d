"""Tests of workers with more ends than one list holds.

While the store is away no end is acknowledged, and a worker lists the first 500 only. A task whose end was left out was
started again, although it had ended done and that end was acknowledged later.
"""

import time
from types import SimpleNamespace

import anyio
import msgspec
import pytest

from dahliaarch_kernel.workload import TaskKey
from dahliaarch_platform.http import Reply
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.workers import decode_survey, format_key

from ..orders import SurveyStart, WorkerOrders
from .test_assignments import assigner_item, assignments_item, RUN, TASK, WORKER_ITEMS
from .test_takeover import INHERITED_JOB_ID, InMemoryStore, InMemoryWorkers, job_item, MAX_LEASE_S, take_over

LISTED_ENDS = 500
OTHER_JOB_ID = 'd' * 16


def encode_list(ends):
    """Return the answer of a worker that runs nothing, with the first of its ends."""
    body = msgspec.json.encode({'ClockMs': time.monotonic() * 1000, 'Running': [], 'Finished': ends[:LISTED_ENDS]})
    return Reply(200, body)


def other_ends(count):
    return [[number, f'{OTHER_JOB_ID}.0.0.{number}', RUN, 'done', ''] for number in range(1, count + 1)]


class FullWorkers(InMemoryWorkers):
    """Workers of which `w0` has ended an inherited task after as many others as a list holds."""

    def __init__(self):
        super().__init__()
        self.ends = [*other_ends(LISTED_ENDS), [LISTED_ENDS + 1, format_key(TASK), RUN, 'done', '']]

    async def survey(self, address, incarnation, *, acknowledged, **options):
        if incarnation != 'w0':
            return await super().survey(address, incarnation, **options)
        await anyio.sleep(0.01)
        self.ends = [end for end in self.ends if end[0] > acknowledged]
        return decode_survey(encode_list(self.ends), WorkerIncarnation(incarnation))


@pytest.mark.parametrize(
    'items', [[assigner_item(), assignments_item('w0')], []], ids=['assigned', 'assignments not stored']
)
def test_a_task_whose_end_a_full_list_left_out_does_not_start_again(items):
    workers = FullWorkers()
    store = InMemoryStore([job_item(INHERITED_JOB_ID, time.time()), *WORKER_ITEMS, *items])
    owner = anyio.run(take_over, store, workers, lambda owner: not workers.ends, MAX_LEASE_S)
    assert not workers.ends
    assert not workers.starts
    assert owner.scheduler.job_by_id[INHERITED_JOB_ID].has_ended


def test_a_full_list_rules_out_neither_stopped_runs_nor_unanswered_starts():
    posted = []
    contact = SimpleNamespace(worker_id='w0', context=SimpleNamespace(post=posted.append))
    orders = WorkerOrders(contact)
    stopped, unanswered = ((TaskKey(OTHER_JOB_ID, 0, 1, index), RUN) for index in range(2))
    orders._stopped_at_by_run[stopped] = 1.0
    orders._unanswered.add(unanswered, 0.0)
    start = SurveyStart(2.0, 1.0)
    orders.reconcile(decode_survey(encode_list(other_ends(LISTED_ENDS)), WorkerIncarnation('w0')), start)
    assert not posted
    orders.reconcile(decode_survey(encode_list(other_ends(LISTED_ENDS - 1)), WorkerIncarnation('w0')), start)
    assert {(message.key, message.run) for message in posted} == {stopped, unanswered}
