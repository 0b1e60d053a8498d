"""Runs jobs on a deployment while its owner is killed and the store does not answer."""

import random
import secrets
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from dahliaarch_node.owner.registry import epoch_of

from ..deployment import Caller, Deployment
from ..deployment.jobs import draw_steps

_QUEUES = ('urgent', 'ordinary')
# Timeout for all jobs to succeed, in seconds.
_COMPLETION_TIMEOUT_S = 60.0
# When the owner is killed and when the store stops answering, in seconds from the start.
_OWNER_KILL_AT_S = 2.0
_STORE_OUTAGE_AT_S = 5.0
_STORE_OUTAGE_S = 1.5
# Share of jobs that are gangs.
_GANG_SHARE = 0.5
_ESTIMATE_MS = 400
# Mean interarrival time of jobs, in seconds.
_MEAN_INTERARRIVAL_S = 0.15


class DemoCounts(NamedTuple):
    """Outcomes of the jobs.

    Parameters
    ----------
    accepted, succeeded : int
        Jobs that were accepted, and those reported as succeeded.
    lost : int
        Accepted jobs that did not succeed.
    doubled : int
        Tasks that succeeded more than once.
    starts : int
        Runs that workers started.
    owners : int
        Ownership epochs in which workers started runs.
    """

    accepted: int
    succeeded: int
    lost: int
    doubled: int
    starts: int
    owners: int

    @property
    def is_correct(self) -> bool:
        """Whether no job was lost and no task succeeded more than once."""
        return not self.lost and not self.doubled


def run_demo(jobs: int, seed: int) -> DemoCounts:
    """Run the demonstration and return its counts."""
    return anyio.run(_run, jobs, seed)


async def _run(jobs: int, seed: int) -> DemoCounts:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), workers=8)
        async with anyio.create_task_group() as tasks:
            try:
                await deployment.start(tasks)
                counts = await _run_workload(deployment, jobs, random.Random(seed))
            finally:
                deployment.close()
                tasks.cancel_scope.cancel()
    return counts


async def _run_workload(deployment: Deployment, jobs: int, rng: random.Random) -> DemoCounts:
    accepted: dict[str, str] = {}
    caller = deployment.caller()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_inject_faults, deployment)
        for _ in range(jobs):
            tasks.start_soon(
                _submit,
                caller,
                accepted,
                rng.choice(_QUEUES),
                draw_steps(rng, estimate_ms=400, gang_share=_GANG_SHARE),
            )
            await anyio.sleep(rng.expovariate(1 / _MEAN_INTERARRIVAL_S))
    succeeded = 0
    with anyio.move_on_after(_COMPLETION_TIMEOUT_S):
        for job_id, queue in accepted.items():
            await caller.wait_for(queue, job_id, 'succeeded', _COMPLETION_TIMEOUT_S)
            succeeded += 1
    return _count(deployment, len(accepted), succeeded)


async def _inject_faults(deployment: Deployment) -> None:
    await anyio.sleep(_OWNER_KILL_AT_S)
    owner = await deployment.owner()
    deployment.kill(owner)
    await anyio.sleep(_STORE_OUTAGE_AT_S - _OWNER_KILL_AT_S)
    deployment.launch(owner)
    deployment.store.faults.is_silent = True
    await anyio.sleep(_STORE_OUTAGE_S)
    deployment.store.faults.is_silent = False


async def _submit(caller: Caller, accepted: dict[str, str], queue: str, steps: list[dict[str, Any]]) -> None:
    job_id = await caller.submit(queue, steps, '0.4', secrets.token_hex(8))
    accepted[job_id] = queue


def _count(deployment: Deployment, accepted: int, succeeded: int) -> DemoCounts:
    done: dict[str, set[int]] = {}
    for worker in deployment.workers:
        for end in worker.ends:
            if end.how == 'done':
                done.setdefault(end.task, set()).add(end.run)
    epochs = {epoch_of(start.fence) for worker in deployment.workers for start in worker.starts}
    return DemoCounts(
        accepted,
        succeeded,
        accepted - succeeded,
        sum(len(runs) > 1 for runs in done.values()),
        sum(len(worker.starts) for worker in deployment.workers),
        len(epochs),
    )
