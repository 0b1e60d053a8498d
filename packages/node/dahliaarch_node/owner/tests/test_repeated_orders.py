"""Tests that repeated requests to workers use little bandwidth however many are pending.

Hundreds of stops to workers that do not answer, or hundreds of ends that the store cannot persist, saturated a slow
network link permanently: no worker could be reached any more, and all work was given up. The cause was that a growing
number of items was sent again at a fixed interval:

- Starts filled a link of 5 Mbit/s for a moment. Each unanswered one was withdrawn by a stop that was sent again every
  0.85 s whether or not the worker answered; 1,400 stops are 400 KB/s, which kept the link full, so none was answered.
- Each survey lists all unacknowledged ends, and surveys were sent every 0.4 s. After a minute without the store, thirty
  ends on each of 176 workers are 710 KB/s.
"""

import anyio
import pytest

from dahliaarch_kernel.scheduler import EndKind, Lease, StartRun, StopRun
from dahliaarch_kernel.scheduler.events import RunEnd
from dahliaarch_kernel.scheduler.ranks import RANK_ORDINARY
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_node.metrics import Metrics
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address
from dahliaarch_platform.workers import ListedEnd, OrderReply, OrderStatus, Survey, WorkerUnansweredError

from ..link_settings import LinkContext, LinkSettings, StartLimits
from ..links import WorkerLink
from ..messages import RunRuledOut
from .sessions import InMemorySessions

SCENARIO_S = 4.0
ENDS = 60
STOPS = 100
KEY = TaskKey('a' * 16, 0, 0, 0)


class Worker(InMemorySessions):
    """A worker that lists a fixed number of ends, never answers stops, and can stop answering surveys."""

    def __init__(self, ends=0):
        self.ends = ends
        self.answers = True
        self.surveys = 0
        self.stops = 0
        self.starts = 0

    async def survey(self, *_, **options):
        self.surveys += 1
        await anyio.sleep(0.1)
        if not self.answers:
            raise WorkerUnansweredError('silent')
        ended = (RunEnd('w', TaskKey('a' * 16, 0, 0, index), index + 1, EndKind.DONE) for index in range(self.ends))
        return Survey(anyio.current_time(), (), tuple(ListedEnd(number + 1, end) for number, end in enumerate(ended)))

    async def start(self, *_, **options):
        self.starts += 1
        return OrderReply(OrderStatus.DONE, anyio.current_time())

    async def stop(self, *_, **options):
        self.stops += 1
        await anyio.sleep(0.1)
        raise WorkerUnansweredError('silent')


def make_context(worker):
    settings = LinkSettings(lease_s=6.0)
    limits = StartLimits(anyio.Semaphore(8), anyio.Semaphore(8))
    return LinkContext(worker, 1, settings, Metrics(), lambda message: None, lambda: None, anyio.current_time, limits)


def make_link(worker):
    return WorkerLink(WorkerIncarnation('w'), Address('h', 1), Lease(), make_context(worker))


def run_scenario(worker, scenario, *, is_draining=False):
    async def run():
        async with anyio.create_task_group() as tasks:
            link = make_link(worker)
            link.is_draining = is_draining
            tasks.start_soon(link.run)
            await anyio.sleep(0.05)
            await scenario(link)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_stops_are_not_repeated_to_an_unanswering_worker():
    worker = Worker()

    async def scenario(link):
        worker.answers = False
        for index in range(STOPS):
            link.stop(StopRun('w', TaskKey('a' * 16, 0, 0, index), 1, 'needless'))
        await anyio.sleep(SCENARIO_S)
        assert worker.stops <= 3 * STOPS
        # They are repeated once it answers again.
        before, worker.answers = worker.stops, True
        await anyio.sleep(2.0)
        assert worker.stops >= before + STOPS

    run_scenario(worker, scenario)


@pytest.mark.parametrize(('is_draining', 'lease_s'), [(False, 6.0), (True, 2.0)])
def test_ends_that_cannot_be_persisted_are_seldom_listed_again(is_draining, lease_s):
    worker = Worker(ENDS)

    async def scenario(link):
        begun_s, before = anyio.current_time(), worker.surveys
        await anyio.sleep(SCENARIO_S)
        # The lease is still renewed about three times per lease duration.
        assert (worker.surveys - before) * lease_s >= 2 * (anyio.current_time() - begun_s)
        assert worker.surveys - before <= 1 + 4 * SCENARIO_S / lease_s

    run_scenario(worker, scenario, is_draining=is_draining)


@pytest.mark.parametrize('change', ['is_draining', 'is_overcommitted'])
def test_a_start_is_not_sent_to_a_worker_filled_up_meanwhile(change):
    """A start may wait seconds for a slot behind hundreds of unanswered ones; its run would be lost with the worker."""
    worker = Worker()
    posted = []

    async def run():
        limits = StartLimits(anyio.Semaphore(0), anyio.Semaphore(0))
        context = make_context(worker)._replace(start_limits=limits, post=posted.append)
        link = WorkerLink(WorkerIncarnation('w'), Address('h', 1), Lease(), context)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            await anyio.sleep(0.05)
            link.start(StartRun('w', KEY, 1, '', RANK_ORDINARY, 1.0, ''), '')
            await anyio.sleep(0.05)
            setattr(link, change, True)
            limits.other.release()
            await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert not worker.starts
    assert RunRuledOut('w', KEY, 1) in posted


def test_a_start_after_its_worker_ended_does_not_crash():
    # A held start was released after the incarnation had ended and before the owner had processed that end.
    worker = Worker()
    posted = []

    async def run():
        link = WorkerLink(
            WorkerIncarnation('w'), Address('h', 1), Lease(), make_context(worker)._replace(post=posted.append)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            await anyio.sleep(0.05)
            link.close()
            await anyio.sleep(0.05)
            link.start(StartRun('w', KEY, 1, '', RANK_ORDINARY, 1.0, ''), '')
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert posted[-1] == RunRuledOut('w', KEY, 1)
    assert not worker.starts
