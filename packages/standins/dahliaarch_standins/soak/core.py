"""Runs one soak test: callers submit jobs while faults are injected."""

import random
import shutil
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from ..deployment import Caller
from ..deployment.core import API_KEY, PREFIX_BY_QUEUE
from ..deployment.jobs import draw_steps, limit_per_worker, step_specs
from .evacuations import starts_in_evacuated_domains
from .following import APPLY_S, ConfigurationCheck, SLOW_APPLY_S
from .plans import draw_plan, Fault, inject
from .probing import probe_forever
from .ready_work import watch_ready_work
from .reports import new_folder, origin_now, RESULTS_FOLDER, write_report
from .settings import SoakSettings
from .system import System
from .versions import OTHER_KEY
from .violations import (
    duplicate_runs,
    ENDED_STATES,
    excess_crash_starts,
    excess_runs_of_step,
    jobs_that_may_be_given_up,
    refused_jobs_that_ran,
    still_running,
    Submission,
    Violation,
    wrong_final_states,
)

# Mean time between a caller's jobs, and the delay before each attempt to submit one, in seconds.
_MEAN_SUBMIT_INTERVAL_S = 0.4
_RETRY_DELAYS_S = (0.0, 0.2, 0.4, 0.8, 1.2)
_CANCELLED_SHARE = 0.15
_CANCEL_RETRY_S = 0.3
_WORK_S = (0.2, 1.5)
# Duration of tasks whose job is cancelled: long enough that a task that was not stopped is detected.
_CANCELLED_WORK_S = 60.0
_ESTIMATE_MS = 800
# Longest time from the last fault until an instance is ready, in seconds: a start
# takes 1 s, and a document of a megabyte takes 2 s over a slow link.
_READY_TIMEOUT_S = 8.0
# Time without faults after the last one, in seconds: long enough for every instance
# to become stable and to be probed for its last version.
_QUIET_AFTER_FAULTS_S = 4.0
# Time for which callers keep submitting jobs after the last fault has begun, in seconds.
_SUBMIT_AFTER_FAULTS_S = 3.0
_FINAL_STATES = ENDED_STATES | {'410'}
# Longest delay with which a worker may execute a start, in seconds: the lease that the start carries.
_MAX_START_DELAY_S = 2.0
# Longest time from a late start to its end, in seconds: 3 until the run counts, 3 as
# for a cancellation, and 0.9 for the stop.
_LATE_STOP_TIMEOUT_S = 6.9


class SoakResult(NamedTuple):
    """Result of one soak.

    Parameters
    ----------
    seed : int
        Seed of the soak.
    faults : tuple of Fault
        Injected faults.
    submitted, accepted, refused : int
        Numbers of jobs.
    versions : int
        Number of versions of the configuration.
    checked : int
        Number of answers of stable instances that were checked against these versions.
    lags : int
        How often this process lagged, during which the behaviour of instances is not observed.
    violations : tuple of Violation
        Violated guarantees.
    report : str
        Path of the report on the violations, next to the logs of the daemons; empty without violations.
    """

    seed: int
    faults: tuple[Fault, ...]
    submitted: int
    accepted: int
    refused: int
    versions: int
    checked: int
    lags: int
    violations: tuple[Violation, ...]
    report: str = ''


def run_soak(settings: SoakSettings, folder: Path | None = None, results_folder: Path = RESULTS_FOLDER) -> SoakResult:
    """Run one soak.

    Parameters
    ----------
    settings : SoakSettings
        Settings of the soak.
    folder : Path or None
        Folder that keeps the logs of the daemons. By default they are kept only
        if the soak fails or finds a violation, in a new folder below `results_folder`.
    results_folder : Path
        Folder of these new folders, of which the latest are kept.
    """
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return anyio.run(_run, settings, folder)
    folder = new_folder(settings.seed, results_folder)
    try:
        result = anyio.run(_run, settings, folder)
    except BaseException as error:
        error.add_note(f'The logs of the daemons are in {folder}.')
        raise
    if not result.violations:
        shutil.rmtree(folder)
    return result


async def _run(settings: SoakSettings, folder: Path) -> SoakResult:
    system = System(settings, folder)
    check = ConfigurationCheck(
        system.operator.versions,
        system.disturbances,
        SLOW_APPLY_S if settings.slow_links else APPLY_S,
    )
    async with anyio.create_task_group() as tasks:
        try:
            await system.start(tasks)
            _start_monitoring(system, check, tasks)
            result = await _run_scenario(system, settings, check, folder)
        finally:
            system.close()
            tasks.cancel_scope.cancel()
    return result


def _start_monitoring(system: System, check: ConfigurationCheck, tasks: TaskGroup) -> None:
    """Start the tasks that monitor and probe the daemons."""
    tasks.start_soon(system.watch_processes)
    tasks.start_soon(system.watch_lag)
    for name in system.deployment.names:
        tasks.start_soon(probe_forever, system, check, name)


async def _run_scenario(system: System, settings: SoakSettings, check: ConfigurationCheck, folder: Path) -> SoakResult:
    plan = draw_plan(settings)
    origin = origin_now()
    submissions: list[Submission] = []
    async with anyio.create_task_group() as tasks:
        for fault in plan:
            tasks.start_soon(inject, system, fault)
        for number in range(settings.callers):
            rng = random.Random(f'{settings.seed} {number}')
            tasks.start_soon(_submit_jobs, system, submissions, rng, settings)
    async with watch_ready_work(system, submissions) as ready_work:
        unready = [name for name in system.deployment.names if not await _becomes_ready(system, name)]
        await anyio.sleep(_QUIET_AFTER_FAULTS_S)
        states = await _wait_for_jobs(system, submissions, settings.settle_s)
    violations = [
        *(Violation('no process ends by itself', name) for name in system.unexpected_exits),
        *(Violation('an instance becomes ready', name) for name in unready),
        *duplicate_runs(system.deployment.workers),
        *starts_in_evacuated_domains(system.evacuations.periods, system.deployment.workers),
        *await _find_still_running(system, states),
        *excess_crash_starts(submissions, system.deployment.workers),
        *excess_runs_of_step(submissions, system.deployment.workers),
        *refused_jobs_that_ran(submissions, system.deployment.workers),
        *wrong_final_states(
            states, submissions, _done_tasks(system), jobs_that_may_be_given_up(system.deployment.workers)
        ),
        *check.violations,
        *ready_work.violations(system.deployment.log_paths),
        *await _find_wrong_keys(system),
    ]
    report = write_report(folder, settings, plan, violations, system.deployment.workers, origin) if violations else ''
    return SoakResult(
        settings.seed,
        tuple(plan),
        len(submissions),
        sum(each.is_accepted for each in submissions),
        sum(each.is_refused for each in submissions),
        len(system.operator.versions),
        check.checked,
        system.lags,
        tuple(violations),
        str(report),
    )


async def _becomes_ready(system: System, name: str) -> bool:
    with anyio.move_on_after(_READY_TIMEOUT_S):
        await system.deployment.wait_ready(name)
        return True
    return False


async def _submit_jobs(
    system: System,
    submissions: list[Submission],
    rng: random.Random,
    settings: SoakSettings,
) -> None:
    """Submit jobs over persistent connections until some time after the last fault."""
    caller = system.deployment.caller()
    # Separate generators, so that the other jobs of a seed do not change.
    crash_rng = random.Random(rng.getrandbits(64) if settings.crashing_share else 0)
    limit_rng = random.Random(rng.getrandbits(64) if settings.limited_share else 0)
    with anyio.move_on_after(settings.faults_s + _SUBMIT_AFTER_FAULTS_S):
        while True:
            await anyio.sleep(rng.expovariate(1 / _MEAN_SUBMIT_INTERVAL_S))
            steps = _crowded_steps(rng) if settings.is_crowded else draw_steps(rng, estimate_ms=_ESTIMATE_MS)
            if limit_rng.random() < settings.limited_share:
                steps = limit_per_worker(limit_rng, steps)
            with anyio.CancelScope(shield=True):
                if crash_rng.random() < settings.crashing_share:
                    submissions.append(await _submit(caller, crash_rng, [{**steps[0], 'Count': 1}], 'crash'))
                submissions.append(await _submit(caller, rng, steps))


async def _submit(caller: Caller, rng: random.Random, steps: list[dict[str, Any]], payload: str = '') -> Submission:
    queue = rng.choice(sorted(PREFIX_BY_QUEUE))
    job_id = f'{rng.getrandbits(64):016x}'
    is_to_be_cancelled = rng.random() < _CANCELLED_SHARE
    work_s = _CANCELLED_WORK_S if is_to_be_cancelled else rng.uniform(*_WORK_S)
    body = {'Spec': f'{payload}{work_s:.2f}', 'Steps': steps}
    path = PREFIX_BY_QUEUE[queue] + job_id
    statuses: list[int] = []
    for pause_s in _RETRY_DELAYS_S:
        await anyio.sleep(pause_s)
        reply = await caller.call('POST', path, body)
        statuses.append(0 if reply is None else reply.status)
        if statuses[-1] == 200:
            break
    tasks = sum(step['Count'] for step in steps)
    is_cancelled = is_to_be_cancelled and statuses[-1] == 200
    if is_cancelled:
        await anyio.sleep(rng.uniform(0.0, 1.0))
        await _cancel(caller, path)
    return Submission(job_id, queue, tasks, tuple(statuses), is_cancelled, bool(payload), step_specs(steps))


async def _cancel(caller: Caller, path: str) -> None:
    """Cancel a job, retrying until the cancellation is acknowledged."""
    while True:
        reply = await caller.call('DELETE', path)
        if reply is not None and reply.status in {200, 410}:
            return
        await anyio.sleep(_CANCEL_RETRY_S)


def _crowded_steps(rng: random.Random) -> list[dict[str, Any]]:
    """Return a step with more tasks than can run at the same time."""
    return [{'Count': rng.randint(4, 10), 'Cpu': 4000, 'MemMb': 16_000, 'Gpu': 4, 'EstimateMs': _ESTIMATE_MS}]


async def _wait_for_jobs(system: System, submissions: list[Submission], settle_s: float) -> dict[str, str]:
    """Poll the state of every accepted job until all have ended or the time is over."""
    caller = system.deployment.caller()
    states: dict[str, str] = {}
    waiting = {each.job_id: each.queue for each in submissions if each.is_accepted}
    with anyio.move_on_after(settle_s):
        while waiting:
            for job_id, queue in tuple(waiting.items()):
                states[job_id] = await caller.state(queue, job_id)
                if states[job_id] in _FINAL_STATES:
                    del waiting[job_id]
            await anyio.sleep(0.1)
    return states


async def _find_still_running(system: System, states: dict[str, str]) -> list[Violation]:
    """Return tasks of ended jobs that still run after the time within which they must be stopped."""
    await anyio.sleep(_MAX_START_DELAY_S)
    deadline_s = time.monotonic() + _LATE_STOP_TIMEOUT_S
    while found := list(still_running(states, system.deployment.workers)):
        if time.monotonic() > deadline_s:
            break
        await anyio.sleep(0.1)
    return found


def _done_tasks(system: System) -> dict[str, int]:
    """Return the number of successful tasks by job."""
    done = {end.task for worker in system.deployment.workers for end in worker.ends if end.how == 'done'}
    return Counter(task.split('.')[0] for task in done)


async def _find_wrong_keys(system: System) -> list[Violation]:
    """Check both keys at every instance, long after they last changed."""
    found = []
    for name in system.deployment.names:
        caller = system.deployment.caller(name)
        for key, is_valid in ((API_KEY, True), (OTHER_KEY, system.operator.has_other_key)):
            reply = await caller.call('GET', f'{PREFIX_BY_QUEUE["urgent"]}{"0" * 16}', key=key)
            status = 0 if reply is None else reply.status
            if (status == 401) is is_valid:
                found.append(Violation('a configuration is in force everywhere', f'{name}: {key} gets {status}'))
    return found
