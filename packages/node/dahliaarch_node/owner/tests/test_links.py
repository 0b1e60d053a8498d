"""What an owner may conclude from answers of a worker, and from their absence."""

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
from ..link_settings import LinkContext, LinkSettings, StartLimits
from ..links import WorkerLink
from ..messages import WorkerOver, WorkerSilent, WorkerSurveyed
from .sessions import Sessions

SETTINGS = LinkSettings(retry_s=0.01)


class DisconnectedWorker(Sessions):
    """A worker that answers one survey and can't be reached after that."""

    def __init__(self, failure):
        self.failure = failure
        self.surveys = 0

    async def survey(self, address, incarnation, **order):
        self.surveys += 1
        if self.surveys == 1:
            return Survey(100.0, (), ())
        await anyio.sleep(0)
        raise self.failure


class Owner:
    """What a link tells its owner."""

    def __init__(self):
        self.posted = []

    def post(self, message):
        self.posted.append(message)
        return True

    def has_been_posted(self, kind):
        return any(isinstance(message, kind) for message in self.posted)


def run_until_silent(failure, lease, *, is_draining=False):
    """Return what a link tells of a worker that fails so, until it is known as silent."""

    async def survey():
        owner = Owner()
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
                while not owner.has_been_posted(WorkerSilent):
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()
        return owner

    return anyio.run(survey)


def test_a_worker_that_leaves_is_not_over_while_its_connections_fail():
    """A task ran twice: on a worker behind a cut and on another.

    A worker says that it leaves; then a cut parts it from the instances and from
    the store. Its entry lapses, and connections to it fail or are refused, just as
    if it had left. It was taken for over at once and its tasks were ordered
    elsewhere: in the owner's log `worker_listed` with `draining`, `worker_silent`
    after 0.30 s, `worker_unlisted`, `worker_over` 0.15 s later and `run_ordered` for
    the same tasks 1 ms after that. But it runs on until its lease ends, up to the
    longest lease after the last survey before it said that it leaves. Only that
    end, or another incarnation at its address, tells that nothing runs there.
    """
    owner = run_until_silent(WorkerUnreachableError('refused'), Lease(), is_draining=True)
    assert not owner.has_been_posted(WorkerOver)


@pytest.mark.parametrize('failure', [WorkerUnreachableError('refused'), WorkerUnansweredError('silence')])
@pytest.mark.parametrize('is_draining', [True, False])
def test_a_new_owner_waits_for_the_lease_that_an_earlier_one_may_have_given(failure, is_draining):
    """A task could run twice after a takeover: on a worker that was cut off and on another.

    A previous owner gave a worker the longest lease. The new one learns from the
    worker once, and then no more. It knew of no lease but its own: none where its
    second survey finds no connection, and 2 s on a worker that leaves. It ordered
    the worker's tasks elsewhere after that, while the worker runs them until the
    earlier lease ends, up to the longest lease after its first answer.
    """
    lease = Lease()
    begun_s = time.monotonic()
    owner = run_until_silent(failure, lease, is_draining=is_draining)
    assert owner.has_been_posted(WorkerSurveyed)
    assert lease.latest_end_s() >= begun_s + SETTINGS.lease_s


class LateWorker(Sessions):
    """A worker whose answers come later than the owner usually waits."""

    def __init__(self, delay_s):
        self.delay_s = delay_s

    async def survey(self, address, incarnation, *, wait_s, timeout_s, **order):
        await anyio.sleep(min(wait_s + self.delay_s, timeout_s))
        if wait_s + self.delay_s > timeout_s:
            raise WorkerUnansweredError('late')
        return Survey(100.0, (), ())


@pytest.mark.parametrize('timeout_multiple', [1.5, 3.5])
def test_a_worker_that_answers_late_is_contacted_before_its_lease_ends(timeout_multiple):
    """A task ran again after its worker had listed its end in answer after answer.

    The owner had little processor time and read answers later than the 0.6 s that a
    survey waits. It gave each up with its connection, and the next waited no longer:
    `worker_silent`, though the worker had answered every one. When its lease had
    ended, the owner ordered the worker's tasks elsewhere, and then an answer came that
    had listed them as done all the time. What settled it: every such lease had ended
    0.5 to 1.3 s before the next start, and with surveys that wait longer each time no
    task ran again (four plays; before, in four of nine).
    """

    async def survey():
        owner = Owner()
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

    assert any(isinstance(message, WorkerSurveyed) for message in anyio.run(survey))


class LossyWorker(Sessions):
    """A worker of whose answers two of three are lost, or of which those that acknowledge come late."""

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
            # What is asked beside another survey needs a new connection.
            raise WorkerUnansweredError('lost') if lease_until_s else WorkerHandshakeError('lost')
        else:
            await anyio.sleep(wait_s)
        return Survey(100.0, (), () if self.has_discarded_end else ended)


def run_lossy_link(worker, seconds):
    """Return what the link to a worker told, and the link, after so long."""
    owner = Owner()

    async def survey():
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

    return owner, anyio.run(survey)


def test_a_worker_is_not_silent_where_two_of_three_of_its_answers_are_lost():
    # After a change of the owner such workers got no starts for seconds, one after the other, beside an idle pool.
    owner, _ = run_lossy_link(LossyWorker(), 4.0)
    assert not owner.has_been_posted(WorkerSilent)
    assert sum(isinstance(message, WorkerSurveyed) for message in owner.posted) >= 4


def test_what_is_asked_beside_a_survey_renews_and_acknowledges_nothing():
    worker = LossyWorker()
    _, link = run_lossy_link(worker, 2.0)
    renewing = [survey for survey in worker.surveys if survey[1] is not None]
    assert all(acknowledged == 0 for acknowledged, lease in worker.surveys if lease is None)
    assert any(acknowledged for acknowledged, _ in renewing)
    # The acknowledgement that got no answer may be carried out late, though another question was answered.
    assert link.unanswered_acknowledgement_s > 0


def test_an_acknowledgement_that_is_answered_late_is_waited_for():
    # Given up, it would have the worker's next incarnation probed with starts that are stopped at once.
    worker = LossyWorker(acknowledgement_delay_s=0.4)
    _, link = run_lossy_link(worker, 2.0)
    assert any(acknowledged for acknowledged, _ in worker.surveys)
    assert any(lease is None for _, lease in worker.surveys[1:])
    assert link.unanswered_acknowledgement_s < 0
