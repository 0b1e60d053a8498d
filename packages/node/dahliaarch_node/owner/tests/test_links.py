"""Tests of what a worker link concludes from answers of its worker and from missing answers."""

import time

import anyio
import pytest

from dahliaarch_kernel.scheduler import EndKind, Lease
from dahliaarch_kernel.scheduler.events import RunEnd
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address
from dahliaarch_platform.workers import (
    ListedEnd,
    Survey,
    WorkerHandshakeError,
    WorkerUnansweredError,
    WorkerUnreachableError,
)

from ...metrics import Metrics
from ...own_settings import WorkerSettings
from ..link_settings import link_settings, LinkContext, LinkSettings, StartLimits
from ..links import WorkerLink
from ..messages import WorkerOver, WorkerSilent, WorkerSurveyed
from .sessions import InMemorySessions

SETTINGS = LinkSettings(retry_s=0.01)


class DisconnectedWorker(InMemorySessions):
    """A worker that answers one survey and fails all later ones."""

    def __init__(self, failure):
        self.failure = failure
        self.surveys = 0

    async def survey(self, address, incarnation, **order):
        self.surveys += 1
        if self.surveys == 1:
            return Survey(100.0, (), ())
        await anyio.sleep(0)
        raise self.failure


class RecordingOwner:
    """An owner that records the messages of a link."""

    def __init__(self):
        self.posted = []

    def post(self, message):
        self.posted.append(message)
        return True

    def has_posted(self, kind):
        return any(isinstance(message, kind) for message in self.posted)


def run_until_silent(failure, lease, *, is_draining=False):
    """Run a link until it reports its worker as silent; return the owner with the posted messages."""

    async def run_link():
        owner = RecordingOwner()
        context = LinkContext(
            DisconnectedWorker(failure),
            7,
            SETTINGS,
            Metrics(),
            owner.post,
            lambda: None,
            time.monotonic,
            StartLimits(anyio.Semaphore(8), anyio.Semaphore(8)),
        )
        link = WorkerLink(WorkerIncarnation('w'), Address('h', 1), lease, context)
        link.is_draining = is_draining
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            with anyio.fail_after(5):
                while not owner.has_posted(WorkerSilent):
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()
        return owner

    return anyio.run(run_link)


def test_a_draining_worker_outlasts_failed_connections():
    """A task ran on two workers at once, one of them draining and partitioned from the pool.

    The worker announces that it drains; then a network partition separates it from
    the instances and the store. Its entry expires and connections to it fail or are
    refused, as if it had exited. The owner took it for over at once and started its
    tasks elsewhere: `worker_listed` with `draining`, `worker_silent` after 0.30 s,
    `worker_unlisted`, `worker_over` 0.15 s later, `run_ordered` for the same tasks
    1 ms after that. The worker keeps running until its lease ends, up to the longest
    lease after the last survey before it announced that it drains. Only the end of
    the lease, or another incarnation at its address, shows that nothing runs there.
    """
    owner = run_until_silent(WorkerUnreachableError('refused'), Lease(), is_draining=True)
    assert not owner.has_posted(WorkerOver)


@pytest.mark.parametrize('failure', [WorkerUnreachableError('refused'), WorkerUnansweredError('silence')])
@pytest.mark.parametrize('is_draining', [True, False])
def test_a_new_owner_waits_for_leases_of_its_predecessor(failure, is_draining):
    """A task could run on two workers after a takeover, one of them disconnected.

    The previous owner granted the worker the longest lease. The new owner gets one
    answer from the worker and none after that. It considered only the lease that it
    had granted itself: none if its second survey finds no connection, 2 s on a
    draining worker. It then started the worker's tasks elsewhere, while the worker
    runs them until the earlier lease ends, up to the longest lease after its first
    answer.
    """
    lease = Lease()
    begun_s = time.monotonic()
    owner = run_until_silent(failure, lease, is_draining=is_draining)
    assert owner.has_posted(WorkerSurveyed)
    assert lease.latest_end_s() >= begun_s + SETTINGS.lease_s


class LateWorker(InMemorySessions):
    """A worker that answers surveys after a delay, which may exceed the timeout of the owner."""

    def __init__(self, delay_s):
        self.delay_s = delay_s

    async def survey(self, address, incarnation, *, wait_s, timeout_s, **order):
        await anyio.sleep(min(wait_s + self.delay_s, timeout_s))
        if wait_s + self.delay_s > timeout_s:
            raise WorkerUnansweredError('late')
        return Survey(100.0, (), ())


@pytest.mark.parametrize('timeout_multiple', [1.5, 3.5])
def test_a_late_worker_is_contacted_before_its_lease_ends(timeout_multiple):
    """A task ran again although its worker had listed its end in several answers.

    The owner was short of CPU time and read answers later than the 0.6 s timeout of a
    survey. It closed the connection each time and retried with the same timeout, which
    led to `worker_silent` although the worker had answered every survey. Once the lease
    had ended, the owner started the worker's tasks elsewhere, and then read an answer
    that listed them as done. Every such lease had ended 0.5 to 1.3 s before the next
    start. With a timeout that grows per attempt no task ran again in four runs; before,
    one did in four of nine.
    """

    async def run_link():
        owner = RecordingOwner()
        settings = SETTINGS._replace(lease_s=0.6, answer_timeout_s=0.06, survey_wait_s=0.1, idle_survey_wait_s=0.1)
        worker = LateWorker(0.0)
        context = LinkContext(
            worker,
            7,
            settings,
            Metrics(),
            owner.post,
            lambda: None,
            time.monotonic,
            StartLimits(anyio.Semaphore(8), anyio.Semaphore(8)),
        )
        link = WorkerLink(WorkerIncarnation('w'), Address('h', 1), Lease(), context)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            await anyio.sleep(0.05)
            worker.delay_s = settings.answer_timeout_s * timeout_multiple
            before = len(owner.posted)
            await anyio.sleep(settings.lease_s)
            tasks.cancel_scope.cancel()
        return owner.posted[before:]

    assert any(isinstance(message, WorkerSurveyed) for message in anyio.run(run_link))


class LossyWorker(InMemorySessions):
    """A worker that loses two of three answers, or delays the answers to surveys that acknowledge ends."""

    def __init__(self, acknowledgement_delay_s=None):
        self.acknowledgement_delay_s = acknowledgement_delay_s
        self.has_discarded_end = False
        self.surveys = []

    async def survey(self, address, incarnation, *, timeout_s, wait_s, acknowledged, lease_until_s, **order):
        self.surveys.append((acknowledged, lease_until_s))
        ended = (ListedEnd(1, RunEnd('w', TaskKey('a' * 16, 0, 0, 0), 1, EndKind.DONE)),)
        if self.acknowledgement_delay_s is not None:
            await anyio.sleep(self.acknowledgement_delay_s if acknowledged else wait_s)
            self.has_discarded_end |= bool(acknowledged)
        elif len(self.surveys) % 3:
            await anyio.sleep(timeout_s)
            # A survey sent while another is pending needs a new connection.
            raise WorkerUnansweredError('lost') if lease_until_s else WorkerHandshakeError('lost')
        else:
            await anyio.sleep(wait_s)
        return Survey(100.0, (), () if self.has_discarded_end else ended)


def run_lossy_link(worker, seconds):
    """Run a link to a worker for some seconds; return the owner with the posted messages, and the link."""
    owner = RecordingOwner()

    async def run_link():
        context = LinkContext(
            worker,
            7,
            LinkSettings(survey_wait_s=0.1, idle_survey_wait_s=0.1),
            Metrics(),
            owner.post,
            lambda: None,
            time.monotonic,
            StartLimits(anyio.Semaphore(8), anyio.Semaphore(8)),
        )
        link = WorkerLink(WorkerIncarnation('w'), Address('h', 1), Lease(), context)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            with anyio.move_on_after(seconds):
                while True:
                    link.acknowledge(1)
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        return link

    return owner, anyio.run(run_link)


def test_a_worker_that_loses_two_of_three_answers_is_not_silent():
    # After a takeover such workers, one after the other, got no starts for seconds while the pool was idle.
    owner, _ = run_lossy_link(LossyWorker(), 4.0)
    assert not owner.has_posted(WorkerSilent)
    assert sum(isinstance(message, WorkerSurveyed) for message in owner.posted) >= 4


def test_a_hedge_of_a_survey_renews_and_acknowledges_nothing():
    worker = LossyWorker()
    _, link = run_lossy_link(worker, 2.0)
    renewing = [survey for survey in worker.surveys if survey[1] is not None]
    assert all(acknowledged == 0 for acknowledged, lease in worker.surveys if lease is None)
    assert any(acknowledged for acknowledged, _ in renewing)
    # The worker may still process an unanswered acknowledgement, even if it has answered a later survey.
    assert link.unanswered_acknowledgement_s > 0


def test_an_acknowledgement_that_is_answered_late_is_awaited():
    # If it were abandoned, the next incarnation would be probed with starts that are stopped at once.
    worker = LossyWorker(acknowledgement_delay_s=0.4)
    _, link = run_lossy_link(worker, 2.0)
    assert any(acknowledged for acknowledged, _ in worker.surveys)
    assert any(lease is None for _, lease in worker.surveys[1:])
    assert link.unanswered_acknowledgement_s < 0


class LeaseRecorder(InMemorySessions):
    """A worker that records the ends of the leases it is granted, on its clock, and falls silent on request."""

    def __init__(self):
        self.lease_ends_s = []
        self.is_silent = False

    async def survey(self, address, incarnation, *, timeout_s, wait_s, lease_until_s, **order):
        if self.is_silent:
            await anyio.sleep(timeout_s)
            raise WorkerUnansweredError('silent')
        await anyio.sleep(min(wait_s, 0.02))
        if lease_until_s:
            self.lease_ends_s.append(lease_until_s - time.monotonic())
        return Survey(time.monotonic(), (), ())


def run_recorded_link(worker, lease, settings, seconds):
    owner = RecordingOwner()
    limits = StartLimits(anyio.Semaphore(8), anyio.Semaphore(8))

    async def run_link():
        context = LinkContext(worker, 7, settings, Metrics(), owner.post, lambda: None, time.monotonic, limits)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(WorkerLink(WorkerIncarnation('w'), Address('h', 1), lease, context).run)
            await anyio.sleep(seconds)
            tasks.cancel_scope.cancel()

    anyio.run(run_link)


@pytest.mark.parametrize(('max_lease_s', 'granted_s'), [(10.0, 6.0), (6.0, 6.0), (3.0, 3.0)])
def test_tasks_of_a_silent_worker_do_not_wait_for_the_longest_lease(max_lease_s, granted_s):
    """Workers allow leases of 10 s, and the tasks of a worker that had crashed waited for that long."""
    worker, lease = LeaseRecorder(), Lease()
    run_recorded_link(worker, lease, link_settings(WorkerSettings(), max_lease_s), 0.3)
    assert max(worker.lease_ends_s) <= granted_s < max(worker.lease_ends_s) + 0.5
    # A previous owner may have granted the longest lease just before the first answer.
    assert lease.latest_end_s() - time.monotonic() > max_lease_s - 0.5
