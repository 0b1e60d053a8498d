"""Tests that capacity freed by stops is used as soon as the stopped runs end.

Urgent jobs that waited for stops started 0.93 s after their arrival on average,
although workers take 0.6 s for a stop on average and 0.9 s at most: while a stop was
pending, its worker was polled every 0.15 s, and an end was reported at the next poll.
"""

import asyncio
import time

import anyio

from dahliaarch_kernel.scheduler import EndKind, Lease, StopRun
from dahliaarch_kernel.scheduler.events import ListedRun, RunEnd
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address
from dahliaarch_platform.workers import ListedEnd, OrderReply, OrderStatus, Survey

from ...metrics import Metrics
from ..link_settings import LinkContext, LinkSettings, StartLimits
from ..links import WorkerLink
from ..messages import WorkerSurveyed
from .sessions import InMemorySessions

FIRST, SECOND = (TaskKey('a' * 16, 0, 0, index) for index in range(2))
# Time from each stop order until its run ends, in seconds.
END_S = {FIRST: 0.05, SECOND: 0.26}


class StoppingWorker(InMemorySessions):
    """A worker that runs two tasks and answers a pending survey as soon as one of them ends."""

    def __init__(self):
        self.ended_at_s = {}
        self.surveys = 0
        self.acknowledged = 0
        self.updated = anyio.Event()

    async def survey(self, address, incarnation, *, acknowledged, wait_s, **order):
        self.surveys += 1
        # Acknowledged ends are never listed again.
        self.acknowledged = max(self.acknowledged, acknowledged)
        if len(self.ended_at_s) <= self.acknowledged:
            with anyio.move_on_after(wait_s):
                await self.updated.wait()
        running = tuple(ListedRun(key, 1, '', 10.0) for key in END_S if key not in self.ended_at_s)
        ends = tuple(
            ListedEnd(number, RunEnd('w', key, 1, EndKind.STOPPED))
            for number, key in enumerate(self.ended_at_s, start=1)
            if number > self.acknowledged
        )
        return Survey(time.monotonic(), running, ends)

    async def stop(self, address, incarnation, key, run, fence, *, timeout_s):
        return OrderReply(OrderStatus.DONE, time.monotonic())

    async def end(self, key):
        await anyio.sleep(END_S[key])
        self.ended_at_s[key] = time.monotonic()
        updated, self.updated = self.updated, anyio.Event()
        updated.set()


async def measure_stop_report():
    """Return the time from the end of the second run until it is reported, and the number of surveys sent."""
    worker, reported = StoppingWorker(), anyio.Event()

    def post(message):
        if not isinstance(message, WorkerSurveyed):
            return
        # Ends are persisted, and then acknowledged, within milliseconds.
        asyncio.get_running_loop().call_later(0.01, link.acknowledge, message.last_end)
        if any(end.key == SECOND for end in message.ended):
            reported.set()

    limits = StartLimits(anyio.Semaphore(8), anyio.Semaphore(8))
    context = LinkContext(worker, 7, LinkSettings(), Metrics(), post, lambda: None, time.monotonic, limits)
    link = WorkerLink(WorkerIncarnation('w'), Address('h', 1), Lease(), context)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        await anyio.sleep(0.05)
        before = worker.surveys
        for key in END_S:
            link.stop(StopRun('w', key, 1, 'makes room'))
            tasks.start_soon(worker.end, key)
        await reported.wait()
        took_s = time.monotonic() - worker.ended_at_s[SECOND]
        tasks.cancel_scope.cancel()
    return took_s, worker.surveys - before


def test_the_end_of_a_stopped_run_is_reported_at_once():
    took_s, surveys = anyio.run(measure_stop_report)
    assert took_s < 0.04
    # One survey for the first end, one or two more until the second.
    assert surveys <= 4
