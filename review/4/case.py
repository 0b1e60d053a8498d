"""Two regions lose each other: do two owners act, and does a task run twice at the same time?"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib_2'))

import harness  # noqa: E402 - the path is set above
from stand_ins import Recorder  # noqa: E402 - the path is set above

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
JOB_ID = '00000000000000a4'
WORKERS = 6
TASKS = 4
CUT_S = 25.0


def twice(deployment):
    """Return the tasks that run on several workers now."""
    workers_by_task = {}
    for worker in deployment.workers:
        for task, number in worker.running.items():
            workers_by_task.setdefault(task, []).append((worker.worker_id, number))
    return {task: found for task, found in workers_by_task.items() if len(found) > 1}


async def main():
    recorder = Recorder(FOLDER / 'record.txt')
    labels = [['a', f'r0-{number // 3}'] for number in range(WORKERS)]
    async with harness.Deployment(recorder, 3, labels, starts_all=False, far=(1, WORKERS // 2)) as deployment:
        owner, neighbour, other = deployment.instances
        # The first region has the owner, another machine and half of the workers; the second has the platform's store.
        owner.start()
        await deployment.wait_ready(instances=[owner])
        neighbour.start()
        other.start()
        await deployment.wait_ready()
        if deployment.owner() is not owner:
            return harness.FAILED_TO_RUN
        # Peers count once they have answered a heartbeat.
        await asyncio.sleep(2.0)
        steps = [{'Count': TASKS, 'Cpu': 1000, 'MemMb': 256, 'Gpu': 4, 'EstimateMs': 60_000, 'Affinity': 'r0-0'}]
        if await deployment.submit(other, JOB_ID, steps, '60') != 200:
            return harness.FAILED_TO_RUN
        await asyncio.sleep(2.0)
        if TROUBLE:
            recorder.write('the regions lose each other')
            deployment.network.is_cut = True
            for worker in deployment.workers[: WORKERS // 2]:
                worker.cut_off()
        cut_at = time.monotonic()
        seen = {}
        while time.monotonic() < cut_at + CUT_S:
            for task, found in twice(deployment).items():
                if task not in seen:
                    recorder.write(f'{task} runs at the same time on {found}')
                    seen[task] = time.monotonic()
            await asyncio.sleep(0.05)
        still = twice(deployment)
        for task, found in still.items():
            recorder.write(f'{task} has run twice for {time.monotonic() - seen[task]:.1f} s, on {found}')
        recorder.write(f'{len(seen)} of {TASKS} tasks ran twice at the same time')
        return harness.BROKEN if seen else harness.HELD


harness.run_case(main)
