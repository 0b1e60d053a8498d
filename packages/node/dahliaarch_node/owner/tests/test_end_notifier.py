"""Tests of requests for the state of a job that is about to end.

Callers ask when their last task ends. The owner learns of the end some milliseconds
later and has saved it 40 ms after that. Callers that were told that the job is running
asked again only after 0.25 s, so urgent jobs that ended in time were reported too late.
"""

import time

import anyio
import pytest

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import EndKind, Moment, Scheduler, SchedulerSettings
from dahliaarch_kernel.scheduler.events import RunEnd
from dahliaarch_kernel.scheduler.runs import Run
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec, TaskKey

from ...peers import AskState
from ...replies import PeerReplies
from ..end_notifier import EndNotifier

JOB = 'a' * 16
DEMAND = Resources(1, 1, 1)


class OwnerStandIn:
    """The part of an owner that `PeerReplies` uses."""

    def __init__(self, steps):
        self.scheduler = Scheduler(SchedulerSettings(), 1)
        self.end_notifier = EndNotifier()
        self.scheduler.add_job(JobSpec(JOB, '', 'q', '', steps), Queue('q', 'h', '/', 'svc'), Moment(0.0, 0.0))

    @property
    def job(self):
        return self.scheduler.job_by_id[JOB]

    def start(self, number, index):
        step = self.job.step_by_key[0, number]
        step.pending.discard(index)
        step.run_by_index[index] = Run(step.key(index), 1, 'w', DEMAND, 0.0, 1.0)

    def end(self, number, index):
        self.scheduler.run_ended(RunEnd('w', TaskKey(JOB, 0, number, index), 1, EndKind.DONE), Moment(1.0, 1.0))

    def save(self):
        self.scheduler.take_dirty_jobs()
        if self.scheduler.mark_saved(JOB):
            self.end_notifier.notify(JOB)


ONE_STEP = (StepSpec(2, DEMAND),)
TWO_STEPS = (StepSpec(1, DEMAND), StepSpec(1, DEMAND, after=(0,)))


def make_replies(owner):
    replies = PeerReplies(None, None, None, None)
    replies.owner = owner
    return replies


async def ask(replies, wait_s=0.5):
    started_s = time.monotonic()
    reply = await replies.answer(AskState(JOB, wait_s))
    return reply.phase, time.monotonic() - started_s


async def ask_during(owner, *actions, wait_s=0.5):
    """Ask, and call the actions 20 ms apart while the request is pending."""
    answers = []

    async def record():
        answers.append(await ask(make_replies(owner), wait_s))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(record)
        for action in actions:
            await anyio.sleep(0.02)
            action()
    return answers[0]


def test_a_state_request_waits_for_the_saving_of_the_last_end():
    owner = OwnerStandIn(ONE_STEP)
    owner.start(0, 0)
    owner.start(0, 1)
    owner.end(0, 0)
    phase, took_s = anyio.run(ask_during, owner, lambda: owner.end(0, 1), owner.save)
    assert phase == 'succeeded'
    assert took_s < 0.3


def test_an_unsaved_end_is_not_reported_after_the_wait():
    owner = OwnerStandIn(ONE_STEP)
    owner.start(0, 0)
    owner.start(0, 1)
    owner.end(0, 0)
    owner.end(0, 1)
    phase, took_s = anyio.run(ask, make_replies(owner), 0.05)
    assert phase == 'running'
    assert took_s == pytest.approx(0.05, abs=0.04)


def test_the_state_of_a_job_with_tasks_to_start_is_told_at_once():
    owner = OwnerStandIn(TWO_STEPS)
    owner.start(0, 0)
    _, took_s = anyio.run(ask, make_replies(owner))
    assert took_s < 0.1


def test_the_state_of_a_job_with_a_saved_end_is_told_at_once():
    owner = OwnerStandIn((StepSpec(1, DEMAND),))
    owner.start(0, 0)
    owner.end(0, 0)
    owner.save()
    phase, took_s = anyio.run(ask, make_replies(owner))
    assert phase == 'succeeded'
    assert took_s < 0.1


def test_waiting_requests_are_notified_and_leave_no_event():
    owner = OwnerStandIn((StepSpec(1, DEMAND),))
    owner.start(0, 0)

    async def ask_twice():
        await ask(make_replies(owner), 0.02)
        assert not owner.end_notifier._event_by_job
        answers = []

        async def record():
            answers.append(await ask(make_replies(owner)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record)
            tasks.start_soon(record)
            await anyio.sleep(0.02)
            owner.end(0, 0)
            owner.save()
        return answers

    answers = anyio.run(ask_twice)
    assert [phase for phase, _ in answers] == ['succeeded', 'succeeded']
