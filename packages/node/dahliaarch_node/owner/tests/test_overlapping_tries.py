"""Tests of concurrent start attempts for two runs of a task at one worker.

They overlap if the first run is ruled out while an attempt to start it is pending.
"""

import anyio
import pytest

from dahliaarch_kernel.scheduler import StartRun
from dahliaarch_platform.workers import OrderReply, OrderStatus, StartOrder, WorkerUnansweredError

from .test_repeated_orders import KEY, make_link, Worker


class GatedWorker(Worker):
    """A worker that completes each start when its gate opens, with an answer or without one."""

    def __init__(self, unanswered):
        super().__init__()
        self.gate_by_run = {1: anyio.Event(), 2: anyio.Event()}
        self.unanswered = unanswered

    async def start(self, address, worker_id, order, **options):
        await self.gate_by_run[order.run].wait()
        if order.run in self.unanswered:
            raise WorkerUnansweredError('silent')
        return OrderReply(OrderStatus.DONE, anyio.current_time())


@pytest.mark.parametrize('order', [(1, 2), (2, 1)])
@pytest.mark.parametrize('unanswered', [{1}, {2}, {1, 2}, set()])
def test_overlapping_attempts_are_recorded_if_one_is_unanswered(order, unanswered):
    """The answer to one attempt removed the record of the other, which was then missing when that one ended."""

    async def scenario():
        worker = GatedWorker(unanswered)
        link = make_link(worker)
        async with anyio.create_task_group() as tasks:
            for run in (1, 2):
                effect = StartRun('w', KEY, run, '')
                start = StartOrder(effect.key, effect.run, '', 9.0)
                tasks.start_soon(link._orders._record_attempt, start, 1.0)
                await anyio.sleep(0.01)
            for run in order:
                worker.gate_by_run[run].set()
                await anyio.sleep(0.01)
        return link.unanswered_starts

    recorded = anyio.run(scenario)
    if unanswered:
        assert KEY in recorded
