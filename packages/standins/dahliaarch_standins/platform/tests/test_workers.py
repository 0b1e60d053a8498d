"""The worker's stand-in keeps what a worker has to keep."""

import time

import anyio
import msgspec
import pytest

from dahliaarch_platform.http import CallUnansweredError, HttpClient
from dahliaarch_standins.platform import StoreStandIn, WorkerStandIn

TASK = '97cff274424edd7f.0.0.0'


def start(fence):
    until_ms = int(time.monotonic() * 1000) + 2000
    return {'Task': TASK, 'Run': 1, 'Spec': '5', 'UntilMs': until_ms, 'Fence': fence}


def starts_after(meanwhile):
    """Return how many starts are carried out of one that is left unanswered and late, after what happens meanwhile."""

    async def scenario():
        worker = WorkerStandIn('w0', 'svc', 'r0', StoreStandIn())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(worker.run)
            while not worker.address.port:
                await anyio.sleep(0.01)
            worker.faults.lost_share, worker.faults.late_s = 1.0, 0.3
            with pytest.raises(CallUnansweredError):
                await call(worker, '/run-start', start(fence=1), life='w0')
            worker.faults.lost_share = 0.0
            await meanwhile(worker)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        worker.server.close()
        return worker

    return len(anyio.run(scenario).starts)


@pytest.mark.parametrize(('newer_fence', 'runs'), [(1, 1), (2, 0)], ids=['same owner', 'newer owner'])
def test_an_order_that_is_carried_out_late_is_held_against_the_highest_fence(newer_fence, runs):
    """An owner's start was carried out after its successor had surveyed the worker: the task ran twice."""

    async def survey(worker):
        await call(worker, '/hold', {'Fence': newer_fence, 'AckedUpto': 0})

    assert starts_after(survey) == runs


@pytest.mark.parametrize(('crashes', 'runs'), [(False, 1), (True, 0)], ids=['same life', 'another life'])
def test_an_order_that_is_carried_out_late_is_not_by_another_life(crashes, runs):
    """A start that was meant for a worker that had crashed began on its next life, while its task ran elsewhere."""

    async def crash(worker):
        if crashes:
            worker.crash('w0-1')

    assert starts_after(crash) == runs


async def call(worker, path, body, life=''):
    headers = {'Expected-Instance': life}
    encoded = msgspec.json.encode(body)
    await HttpClient().call(worker.address, 'POST', path, encoded, timeout_s=0.1, headers=headers)
