"""Scheduler of a pool of workers: turns reported events into orders."""

from collections.abc import Iterable, Mapping, Sequence

from ..configuration import Queue
from ..policies import compile_policy, Policy, SHIPPED_POLICIES
from ..workload import JobSpec, StepKey, TaskKey
from .assignments import Assignments, restore_assignments, StepAssignments
from .clock import Moment
from .crashes import (
    apply_crash_limit,
    check_restored_crashes,
    discard_silent_loss,
    record_silent_worker_crash,
    record_worker_crash,
)
from .departures import drain_leaving_workers, expire_leases, stop_broken_gangs
from .effects import Effect
from .ends import apply_run_end
from .evacuations import Evacuations
from .events import EndKind, ListedRun, LossCause, Note, RunEnd
from .health import assess_workers
from .job_state import ENDED_PHASES, JobPhase, JobState
from .mechanisms import Mechanism
from .paces.learning import is_update_due, update_slowdowns
from .passes import SchedulingPass
from .progress import JobProgress
from .runs import RunPhase
from .settings import SchedulerSettings
from .stalls import Load
from .state import AssignmentsPart, SchedulerState
from .successors import note_successor
from .surveys import apply_survey
from .workers import WorkerProfile, WorkerState


class Scheduler:
    """Schedules jobs on one pool of workers, without I/O and without reading a clock.

    Parameters
    ----------
    settings : SchedulerSettings
        Settings of the scheduler.
    epoch : int
        Epoch of the owner; later owners have larger epochs.
    policy : Policy or None
        The operators' programs; None for the built-in policy.

    Attributes
    ----------
    assignments : Assignments
        Assignments of tasks to workers, to be stored before the starts are sent.
    evacuations : Evacuations
        Failure domains in which nothing is started.
    state : SchedulerState
        State of the scheduler, for summaries, which must not change it.
    account_shares : AccountShares
        How far client accounts are over their shares of the pool.
    """

    def __init__(self, settings: SchedulerSettings, epoch: int, policy: Policy | None = None) -> None:
        """Start without jobs and workers."""
        self._state = SchedulerState(settings, epoch, policy or compile_policy(SHIPPED_POLICIES['first-come']))
        self.state = self._state
        self.assignments = Assignments(self._state)
        self.evacuations = Evacuations(self._state)
        self.account_shares = self._state.account_shares

    @property
    def job_by_id(self) -> Mapping[str, JobState]:
        """Known jobs by identifier, including those that have ended."""
        return self._state.job_by_id

    @property
    def worker_by_id(self) -> Mapping[str, WorkerState]:
        """Known workers by identifier."""
        return self._state.worker_by_id

    @property
    def load(self) -> Load:
        """Number of active jobs, and waiting steps by wait reason."""
        return Load(len(self._state.active_job_by_id), self._state.stalls.count_by_reason())

    def set_guarantees(self, guaranteed_by_account: dict[str, int]) -> None:
        """Replace the numbers of accelerators that are guaranteed to accounts."""
        self._state.guaranteed_by_account = guaranteed_by_account

    def set_services_without_capacity_check(self, services: Iterable[str]) -> None:
        """Replace the services whose workers start tasks without checking their own capacity."""
        self._state.services_without_capacity_check = frozenset(services)

    def workers_synced(self, now: Moment) -> None:
        """Record that the published entries of all workers are up to date."""
        self._state.workers_synced_s = now.steady_s

    def add_job(
        self,
        spec: JobSpec,
        queue: Queue,
        now: Moment,
        *,
        progress: JobProgress | None = None,
        assignments: Mapping[AssignmentsPart, StepAssignments] | None = None,
        not_before_s: float = 0.0,
    ) -> bool:
        """Add an accepted job; return False if it is already known.

        Parameters
        ----------
        spec : JobSpec
            The job.
        queue : Queue
            Its queue at the time of acceptance.
        now : Moment
            Current time.
        progress : JobProgress or None
            Progress stored by a previous owner.
        assignments : mapping or None
            Assignments of its tasks, stored by a previous owner.
        not_before_s : float
            Steady time until which a silent worker may still run it.
        """
        if spec.job_id in self._state.job_by_id:
            return False
        job = JobState(spec, queue)
        job.not_before_s = not_before_s
        if progress is not None:
            job.restore(progress)
            check_restored_crashes(job, now)
        self._state.job_by_id[spec.job_id] = job
        if not job.has_ended:
            self._state.active_job_by_id[spec.job_id] = job
            job.open_due(now.wall_s + self._state.settings.early_s / 2)
            if assignments is not None:
                restore_assignments(self._state, job, assignments, now)
        if progress is not None or assignments is not None:
            self._state.account_shares.inherit(job, self._state.times, now)
        return True

    def cancel(self, job_id: str, now: Moment) -> bool:
        """Cancel a job; return False if it is unknown or has ended."""
        job = self._state.job_by_id.get(job_id)
        if job is None or job.has_ended:
            return False
        self._state.end_job(job, JobPhase.CANCELLED, now.wall_s, 'job cancelled')
        return True

    def forget_job(self, job_id: str) -> None:
        """Remove a job that has ended from memory."""
        job = self._state.job_by_id.pop(job_id, None)
        self._state.active_job_by_id.pop(job_id, None)
        if job is not None:
            job.release()

    def update_worker(self, profile: WorkerProfile, now: Moment, cold_left_s: float = 0.0) -> bool:
        """Update a worker from its published profile; return True if the worker is new.

        Parameters
        ----------
        profile : WorkerProfile
            The profile.
        now : Moment
            Current time.
        cold_left_s : float
            How much longer tasks take longer on the worker, because it is warming up, in seconds.
        """
        worker = self._state.worker_by_id.get(profile.worker_id)
        is_new = worker is None
        if worker is None:
            worker = WorkerState(profile)
            self._state.worker_by_id[profile.worker_id] = worker
        if worker.profile.capacity != profile.capacity:
            self._state.failed_searches.grown_workers.add(profile.worker_id)
        worker.profile = profile
        worker.record_cold_time(cold_left_s, now.steady_s)
        worker.is_evacuated = profile.domain in self._state.evacuation_by_domain
        worker.is_listed = True
        worker.has_published_profile = True
        worker.has_readable_entry = True
        if not profile.draining:
            worker.leaves_at_s = None
            return is_new
        if profile.leaves_in_s is not None:
            worker.leaves_at_s = now.steady_s + profile.leaves_in_s
        return is_new

    def expect_worker(self, profile: WorkerProfile, now: Moment) -> None:
        """Add an incarnation that answers but has not published its profile; it gets no starts until it has.

        Parameters
        ----------
        profile : WorkerProfile
            Profile of the previous incarnation.
        now : Moment
            Current time.
        """
        self.update_worker(profile, now)
        worker = self._state.worker_by_id[profile.worker_id]
        worker.is_listed = False
        worker.has_published_profile = False

    def unlist_worker(self, worker_id: str) -> None:
        """Record that a worker's entry was removed; its runs are kept until they end."""
        worker = self._state.worker_by_id.get(worker_id)
        if worker is not None:
            worker.is_listed = False
            worker.has_readable_entry = True

    def suspend_worker(self, worker_id: str) -> None:
        """Record that a worker's entry can't be read; it gets no starts until a valid entry appears."""
        worker = self._state.worker_by_id.get(worker_id)
        if worker is not None:
            worker.has_readable_entry = False

    def all_workers_reported(self) -> None:
        """Record that no unknown run of a previous owner can remain, so that jobs need not wait for silent workers."""
        for job in self._state.job_by_id.values():
            job.not_before_s = 0.0

    def worker_silent(self, worker_id: str, now: Moment) -> None:
        """Record that a worker has stopped answering."""
        worker = self._state.worker_by_id.get(worker_id)
        if worker is not None and worker.silent_since_s is None:
            worker.silent_since_s = now.steady_s

    def worker_replaced(self, worker_id: str, successor_id: str, late_until_s: float) -> None:
        """Record that another incarnation of a worker has answered; call this before ``worker_over``.

        Parameters
        ----------
        worker_id, successor_id : str
            The previous and the next incarnation.
        late_until_s : float
            Steady time until which the next incarnation may carry out orders that were sent to the previous one, if
            it does not answer again.
        """
        note_successor(self._state, worker_id, successor_id, late_until_s)

    def worker_over(self, worker_id: str, now: Moment) -> None:
        """Record that an incarnation of a worker has certainly ended."""
        self._state.given_up_unacknowledged.discard(worker_id)
        worker = self._state.worker_by_id.pop(worker_id, None)
        if worker is None:
            record_silent_worker_crash(self._state, worker_id, now)
            return
        self._state.record_losses(worker, LossCause.WORKER_OVER)
        for run in tuple(worker.run_by_key.values()):
            end = RunEnd(worker_id, run.key, run.number, EndKind.LAPSED, run.checkpoint)
            apply_run_end(self._state, end, now)
        record_worker_crash(self._state, worker, now)

    def run_started(self, worker_id: str, key: TaskKey, run: int, now: Moment) -> None:
        """Record that a worker acknowledged a start."""
        worker = self._state.worker_by_id.get(worker_id)
        found = None if worker is None else worker.run_by_key.get(key)
        if worker is None or found is None or found.number != run:
            return
        worker.refusal_backoff.record_start()
        found.is_confirmed = True
        found.last_seen_s = max(found.last_seen_s, now.steady_s)
        if found.phase is RunPhase.STARTING:
            found.phase = RunPhase.RUNNING
        self._state.job_by_id[found.key.job_id].mark_begun()

    def run_ended(self, end: RunEnd, now: Moment) -> None:
        """Apply the end of a run; repeated reports have no effect."""
        apply_run_end(self._state, end, now)

    def advice_given(self, key: StepKey, asked: Sequence[str], tickets: Mapping[str, str], until_s: float) -> None:
        """Record for which of the workers that were asked about the outside policy gave tickets, and until when."""
        step = self._state.step_of(TaskKey(*key, 0))
        if step is not None and step.advice is not None:
            step.advice.record_answer(asked, tickets, until_s)

    def advice_failed(self, key: StepKey, now: Moment) -> None:
        """Record that the outside policy failed to answer."""
        step = self._state.step_of(TaskKey(*key, 0))
        if step is not None and step.advice is not None:
            step.advice.record_failure(now.steady_s)

    def worker_surveyed(
        self,
        worker_id: str,
        running: Sequence[ListedRun],
        requested_s: float,
        now: Moment,
        *,
        lists_ends: bool = False,
        is_complete: bool = True,
    ) -> None:
        """Apply a worker's list of runs.

        Parameters
        ----------
        worker_id : str
            The worker that was surveyed.
        running : sequence of ListedRun
            Runs on the worker; the ends that it listed must have been applied before.
        requested_s : float
            Steady time of the request: the list does not cover starts after it.
        now : Moment
            Current time.
        lists_ends : bool
            Whether the worker is known to list ends of runs; it then lists those of later runs, too.
        is_complete : bool
            Whether the worker listed all ends; if not, runs that it does not list may have ended.
        """
        worker = self._state.worker_by_id.get(worker_id)
        if worker is not None:
            discard_silent_loss(self._state, worker_id)
            if is_complete:
                self._state.given_up_unacknowledged.discard(worker_id)
            if lists_ends and worker.may_hide_ends:
                worker.may_hide_ends = False
                self._state.failed_searches.grown_workers.add(worker_id)
            apply_survey(self._state, worker, running, requested_s, now, is_complete=is_complete)

    def decide(self, now: Moment) -> list[Effect]:
        """Run one scheduling pass and return the resulting orders."""
        state = self._state
        for worker in state.worker_by_id.values():
            worker.update_cold(now.steady_s)
        expire_leases(state, now)
        apply_crash_limit(state, now)
        for job in state.active_jobs():
            job.open_due(now.wall_s)
        stop_broken_gangs(state)
        drain_leaving_workers(state, now)
        self.evacuations.report_emptied(now)
        assess_workers(state, now)
        if state.settings.has(Mechanism.WORKER_PACES) and is_update_due(state.slowdowns_updated_s, now, state.settings):
            state.slowdowns_updated_s = now.steady_s
            state.pace_reference = update_slowdowns(state.worker_by_id.values(), now, state.settings)
        SchedulingPass(state, now).run()
        effects = state.effects
        state.effects = []
        return effects

    def take_notes(self) -> list[Note]:
        """Return and clear the notes on runs and tasks since the last call, for the log."""
        notes, self._state.notes = self._state.notes, []
        return notes

    def take_dirty_jobs(self) -> set[str]:
        """Return and clear the set of jobs whose progress has to be stored."""
        dirty = self._state.dirty_jobs
        self._state.dirty_jobs = set()
        return dirty

    @property
    def has_dirty_jobs(self) -> bool:
        """Whether the progress of any job has to be stored."""
        return bool(self._state.dirty_jobs)

    @property
    def has_unsaved_ends(self) -> bool:
        """Whether the end of any job has to be stored."""
        jobs = self._state.job_by_id
        return any(jobs[job_id].has_ended for job_id in self._state.dirty_jobs if job_id in jobs)

    def mark_saved(self, job_id: str) -> bool:
        """Record that a job's progress is stored; return True if its end may now be reported to callers."""
        job = self._state.job_by_id.get(job_id)
        if job is None or job_id in self._state.dirty_jobs:
            return False
        job.has_unsaved_crashes = False
        if not job.has_ended or job.is_end_saved:
            return False
        job.is_end_saved = True
        return True

    def mark_dirty(self, job_ids: set[str]) -> None:
        """Request that the progress of jobs is stored again after a failed write."""
        self._state.dirty_jobs |= job_ids

    def count_pending_jobs(self, queue: str) -> int:
        """Return the number of jobs of a queue of which nothing has started."""
        return sum(job.queue.name == queue and not job.has_begun for job in self._state.active_jobs())

    def jobs_ended_before(self, wall_s: float) -> list[str]:
        """Return the identifiers of jobs that ended before a time, in seconds since 1970."""
        return [
            job_id
            for job_id, job in self._state.job_by_id.items()
            if job.phase in ENDED_PHASES and 0 < job.ended_s < wall_s
        ]
