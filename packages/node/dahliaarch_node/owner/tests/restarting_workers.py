"""A worker whose incarnations share a name, and the conditions that tests of it wait for."""

import time

import anyio
import msgspec

from dahliaarch_kernel.codec import encode
from dahliaarch_kernel.scheduler import EndKind, WorkerProfile
from dahliaarch_kernel.scheduler.events import ListedRun, RunEnd
from dahliaarch_kernel.workload import Resources, TaskKey
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address
from dahliaarch_platform.store import Item
from dahliaarch_platform.workers import (
    ListedEnd,
    OrderReply,
    OrderStatus,
    Survey,
    WorkerReplacedError,
    WorkerUnansweredError,
    WorkerUnreachableError,
)

from ...records import ROSTER_PREFIX, RosterEntry
from ..messages import WorkerListed
from .sessions import InMemorySessions
from .test_takeover import (
    decode_job_record,
    INHERITED_JOB_ID,
    InMemoryStore,
    is_ready,
    job_item,
    take_over,
    worker_entry_item,
)

START_TIMES_MS = (1_000, 2_000, 3_000)


FIRST, SECOND, THIRD = (WorkerIncarnation('w', born_ms) for born_ms in START_TIMES_MS)


TASK = TaskKey(INHERITED_JOB_ID, 0, 0, 0)


class RestartingWorker(InMemorySessions):
    """A worker whose incarnations answer one after another; each lists a started run until it ends."""

    def __init__(self):
        self.incarnation = FIRST
        self.running = ()
        self.ends = []
        self.end_count = 0
        self.starts = []
        self.fences = []
        self.acknowledged = []
        # Duration of a survey, and time until which the worker is unreachable.
        self.survey_delay_s = 0.0
        self.silent_until_s = 0.0
        # Error that surveys with an acknowledgement raise, if any, and the delay of such surveys.
        self.acknowledgement_error = None
        self.acknowledgement_delay_s = 0.0
        # Number of further start attempts that are neither answered nor carried out.
        self.unanswered_start_count = 0
        # Number of further starts that are refused for lack of capacity.
        self.refused_start_count = 0
        # Acknowledgement to the previous incarnation that this one has carried out: it never lists ends up to it.
        self.late_acknowledgement = 0
        self.done = []
        self.stopped = []
        self.stop_order_count = 0
        # Maximum number of runs at the time of a stop order that was carried out.
        self.max_runs_at_stop = 0
        self.last_start_s = 0.0

    def restart(self, incarnation, running=(), late_acknowledgement=0):
        self.incarnation, self.running, self.ends, self.end_count, self.late_acknowledgement = (
            incarnation,
            running,
            [],
            0,
            late_acknowledgement,
        )

    def end(self, kind):
        """End all runs; each incarnation numbers its ends from one."""
        for run in self.running:
            self._end(run, kind)

    def _end(self, run, kind):
        self.end_count += 1
        self.running = tuple(each for each in self.running if each is not run)
        if kind is EndKind.DONE:
            self.done.append(run.key)
        if self.end_count > self.late_acknowledgement:
            self.ends.append(ListedEnd(self.end_count, RunEnd(self.incarnation.worker_id, run.key, run.run, kind)))

    async def survey(self, address, worker_id, *, fence, acknowledged, wait_s, **options):
        self._check_incarnation(worker_id)
        self.fences.append((worker_id, fence))
        self.acknowledged.append((worker_id, acknowledged))
        if acknowledged:
            await anyio.sleep(self.acknowledgement_delay_s)
        if acknowledged and self.acknowledgement_error:
            raise self.acknowledgement_error
        self.ends = [each for each in self.ends if each.number > acknowledged]
        await anyio.sleep(max(min(wait_s, 0.02), self.survey_delay_s))
        self._check_incarnation(worker_id)
        return Survey(time.monotonic(), self.running, tuple(self.ends), self.incarnation.born_ms)

    async def start(self, address, worker_id, order, **options):
        self._check_incarnation(worker_id)
        if self.unanswered_start_count:
            self.unanswered_start_count -= 1
            raise WorkerUnansweredError('no answer')
        if self.refused_start_count:
            self.refused_start_count -= 1
            return OrderReply(OrderStatus.NO_ROOM, time.monotonic())
        self.starts.append((worker_id, order.key))
        self.last_start_s = time.monotonic()
        self.running += (ListedRun(order.key, order.run, '', 1.0),)
        return OrderReply(OrderStatus.DONE, time.monotonic())

    async def stop(self, address, worker_id, key, run, fence, *, timeout_s):
        self._check_incarnation(worker_id)
        self.stop_order_count += 1
        for each in self.running:
            if each.run == run:
                self.stopped.append(key)
                self.max_runs_at_stop = max(self.max_runs_at_stop, len(self.running))
                self._end(each, EndKind.STOPPED)
        return OrderReply(OrderStatus.DONE, time.monotonic())

    def _check_incarnation(self, worker_id):
        if time.monotonic() < self.silent_until_s:
            raise WorkerUnreachableError('unreachable')
        if worker_id != self.incarnation.worker_id:
            raise WorkerReplacedError(worker_id, self.incarnation)


def entry_item(incarnation, **changes):
    fields = msgspec.json.decode(worker_entry_item(incarnation.name).value) | {'born': incarnation.born_ms} | changes
    return worker_entry_item(incarnation.name)._replace(value=msgspec.json.encode(fields))


def worker_listed(incarnation, accelerators=8):
    profile = WorkerProfile(incarnation.worker_id, 'svc', 'z', Resources(64_000, 262_144, accelerators), ('a', 'r0'))
    return WorkerListed(profile, Address('127.0.0.1', 1), incarnation)


def job(job_id=INHERITED_JOB_ID):
    return decode_job_record(job_item(job_id, time.time()))


def run_actions(worker, *actions, items=None, within_s=4.0):
    """Run an owner and execute the actions in order.

    Each is a pair of a function to call and a condition that must hold before the next one.
    """
    remaining = [(lambda owner: None, is_ready), *actions]
    is_action_started = False

    def advance(owner):
        nonlocal is_action_started
        action, condition = remaining[0]
        if not is_action_started:
            action(owner)
            is_action_started = True
        if condition(owner):
            remaining.pop(0)
            is_action_started = False
        return not remaining

    store = InMemoryStore([entry_item(FIRST)] if items is None else items)
    owner = anyio.run(take_over, store, worker, advance, within_s)
    assert not remaining, f'{len(remaining)} actions did not complete'
    return owner


def start_count_is(worker, count):
    return lambda owner: len(worker.starts) == count


def phase_is(phase, job_id=INHERITED_JOB_ID):
    return lambda owner: owner.scheduler.job_by_id[job_id].phase == phase


def tracks(incarnation):
    return lambda owner: incarnation.worker_id in owner.scheduler.worker_by_id


def tracks_one_run(incarnation):
    return lambda owner: (
        tracks(incarnation)(owner) and len(owner.scheduler.worker_by_id[incarnation.worker_id].run_by_key) == 1
    )


def keeps_running(worker):
    """Return a condition: a run has lasted longer than a probe, which is stopped at once."""
    return lambda owner: worker.running and time.monotonic() - worker.last_start_s > 0.5


def time_has_passed(seconds):
    """Return a condition: a duration has passed since its first check, during which the worker answers."""
    times_s = []

    def condition(owner):
        times_s.append(time.monotonic())
        return times_s[-1] - times_s[0] > seconds

    return condition


def roster_item(incarnation):
    entry = RosterEntry(worker_listed(incarnation).profile, Address('127.0.0.1', 1), incarnation)
    return Item(f'{ROSTER_PREFIX}/0', encode([entry]), 1)
