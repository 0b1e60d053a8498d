"""A cancel is answered while the write of the job's record is still on its way to the store: does the job run later?"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib_2'))

import harness  # noqa: E402 - the path is set above
from stand_ins import Recorder  # noqa: E402 - the path is set above

from dahliaarch_standins.platform import StoreStandIn  # noqa: E402 - the path is set by the harness

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


JOB_ID = '00000000000000a6'
OTHERS = [f'00000000000000{number}6' for number in range(8)]
# Writes without an answer are done this long after they came.
LATE_S = 5.5
CANCEL_S = 3.0
CONTACT_S = 3.0
# How long starts are watched for after the answer to the cancel.
WATCH_S = 10.0
# The largest share of writes without an answer, by the site file.
MAX_SHARE = 0.35


class LosingStore(StoreStandIn):
    """A store that gives no answer to the writes of one record, and does them late."""

    def __init__(self, recorder):
        super().__init__()
        self.recorder = recorder
        self.is_losing = False
        self.writes = 0
        self.lost = 0

    async def _handle_transaction(self, request):
        if self.is_losing:
            self.writes += 1
            keys = [row['Key'] for row in json.loads(request.body).get('Writes', ())]
            if any(key.endswith(JOB_ID) for key in keys):
                self.lost += 1
                self.recorder.write(f'store: write of {keys} comes, and gets no answer')
                await asyncio.sleep(LATE_S)
                status = self._apply_transaction(request).status
                self.recorder.write(f'store: write of {keys} is done late, status {status}')
                return await self.faults.lose()
        return self._apply_transaction(request)


async def main():
    recorder = Recorder(FOLDER / 'record.txt')
    store = LosingStore(recorder)
    async with harness.Deployment(recorder, 3, [['a', 'r0-0']] * 4, store) as deployment:
        await deployment.wait_ready()
        owner = deployment.owner()
        first, second = (each for each in deployment.instances if each is not owner)
        steps = [{'Count': 1, 'Cpu': 1000, 'MemMb': 256, 'Gpu': 1, 'EstimateMs': 2000}]
        store.is_losing = TROUBLE
        calls = [deployment.submit(second, each, steps, '2') for each in OTHERS]
        status, *others = await asyncio.gather(deployment.submit(first, JOB_ID, steps, '2'), *calls)
        store.is_losing = False
        if set(others) != {200}:
            return harness.FAILED_TO_RUN
        calm_at = time.monotonic()
        share = store.lost / max(1, store.writes)
        recorder.write(f'store: sound from now on; {store.lost} of {store.writes} writes got no answer')
        if share > MAX_SHARE or (TROUBLE and status != 504):
            return harness.FAILED_TO_RUN
        await asyncio.sleep(0.3)
        answer = await deployment.call(second, 'DELETE', JOB_ID)
        cancelled_at = time.monotonic()
        recorder.write(f'client: DELETE {JOB_ID} at {second.name}: {answer.status}')
        if answer.status not in (200, 410):
            return harness.FAILED_TO_RUN
        await asyncio.sleep(WATCH_S)
        recorder.write(f'client: GET {JOB_ID} at {second.name}: {await deployment.state(second, JOB_ID)}')
        times = [at for worker in deployment.workers for at, task in worker.started if task.startswith(JOB_ID)]
        late = [at for at in times if at > cancelled_at + CANCEL_S and at > calm_at + CONTACT_S]
        for at in times:
            recorder.write(f'a task of the job starts {at - cancelled_at:+.2f} s from the answer to its cancel')
        recorder.write(f'{len(late)} starts later than {CANCEL_S:.0f} s after it, by a machine in touch')
        return harness.BROKEN if late else harness.HELD


harness.run_case(main)
