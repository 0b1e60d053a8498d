"""More than 500 ends wait on one worker while the store is down: does a task run again after it has ended?"""

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib_2'))

import harness  # noqa: E402 - the path is set above
from stand_ins import Recorder  # noqa: E402 - the path is set above

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
JOB_IDS = [f'0000000000000{number:02}5' for number in range(14)]
TASKS_OF_JOB = 210
TASKS = TASKS_OF_JOB * len(JOB_IDS)
# Time between two jobs; their tasks end with the same pauses between them.
PAUSE_S = 0.3
WORK_S = 8.0
DOWN_S = 4.5
# A list holds so many ends at once.
LISTED_ENDS = 500


async def main():
    recorder = Recorder(FOLDER / 'record.txt')
    deployment = harness.Deployment(recorder, 3, [['a', 'r0-0']] * 4)
    for worker in deployment.workers:
        worker.slots = TASKS
    async with deployment:
        await deployment.wait_ready()
        await asyncio.sleep(2.0)
        steps = [{'Count': TASKS_OF_JOB, 'Cpu': 20, 'MemMb': 250, 'EstimateMs': WORK_S * 1000}]
        begun_at = time.monotonic()
        for number, job_id in enumerate(JOB_IDS):
            await asyncio.sleep(begun_at + number * PAUSE_S - time.monotonic())
            if await deployment.submit(deployment.instances[0], job_id, steps, str(WORK_S)) != 200:
                return harness.FAILED_TO_RUN
        while sum(len(each.starts) for each in deployment.workers) < TASKS:
            await asyncio.sleep(0.05)
            if time.monotonic() > begun_at + WORK_S - 0.5:
                return harness.FAILED_TO_RUN
        recorder.write(f'{TASKS} tasks started in {time.monotonic() - begun_at:.2f} s')
        await asyncio.sleep(begun_at + WORK_S - 0.2 - time.monotonic())
        if TROUBLE:
            recorder.write('the store answers 503 to all calls')
            deployment.store.faults.is_refusing = True
        most = 0
        until = time.monotonic() + DOWN_S
        while time.monotonic() < until:
            most = max(most, *(each.unacknowledged for each in deployment.workers))
            await asyncio.sleep(0.05)
        if TROUBLE:
            deployment.store.faults.is_refusing = False
            recorder.write('the store answers again')
        await asyncio.sleep(20.0)
        states = Counter([await deployment.state(deployment.instances[0], job_id) for job_id in JOB_IDS])
        recorder.write(f'jobs: {dict(states)}')
        noted = {task for each in deployment.workers for task in each.noted_done}
        starts = Counter(task for each in deployment.workers for task, _ in each.starts)
        again = [task for task, count in starts.items() if count > 1 and task in noted]
        recorder.write(f'at most {most} ends waited on one worker, {LISTED_ENDS} are listed at once')
        recorder.write(
            f'{len(again)} of {TASKS} tasks were started again after they had ended done, all of these ends noted'
        )
        return harness.BROKEN if again else harness.HELD


harness.run_case(main)
