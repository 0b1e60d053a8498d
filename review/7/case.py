"""A machine that stops is told that its settings changed: are the requests that it has read answered?"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib_2'))

import harness  # noqa: E402 - the path is set above
from stand_ins import Connection, Recorder  # noqa: E402 - the path is set above

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
JOB_ID = '00000000000000a7'
LOSS_SLACK_S = 0.2
# When the signal about the settings comes after the one to stop; the instance stops for 2.6 s at least.
SETTINGS_AFTER_S = 1.0
CLIENTS = 50
INTERVAL_S = 0.01


async def ask(deployment, connection, number, delay_s):
    """Ask for the job's state on an open connection."""
    await asyncio.sleep(delay_s)
    path = harness.PREFIX + JOB_ID
    answer = await connection.call('GET', path, key=harness.KEY, host=harness.HOST)
    deployment.recorder.write(
        f'client {number:2}: GET, {answer.status or "connection ended without an answer"} '
        f'{answer.ended_at - answer.sent_at:.3f} s after its last byte'
    )
    return answer


def is_lost(answer):
    return answer.sent_at > 0 and answer.status is None and answer.ended_at - answer.sent_at > LOSS_SLACK_S


async def main():
    recorder = Recorder(FOLDER / 'record.txt')
    async with harness.Deployment(recorder, 3, [['a', 'r0-0']] * 2) as deployment:
        await deployment.wait_ready()
        # The machine that is stopped does not own the pool: it serves clients, and nothing else.
        stopped = next(each for each in deployment.instances if each is not deployment.owner())
        steps = [{'Count': 1, 'Cpu': 1000, 'MemMb': 256, 'Gpu': 1, 'EstimateMs': 60_000}]
        if await deployment.submit(stopped, JOB_ID, steps, '60') != 200:
            return harness.FAILED_TO_RUN
        while await deployment.state(stopped, JOB_ID) != 'running':
            await asyncio.sleep(0.1)
        # No disruption for longer than ContactMs.
        await asyncio.sleep(3.5)
        connections = [Connection(stopped.front) for _ in range(CLIENTS)]
        for connection in connections:
            await connection.open()
        stopped.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        first_s = SETTINGS_AFTER_S - CLIENTS * INTERVAL_S
        calls = [
            asyncio.create_task(ask(deployment, connection, number, first_s + number * INTERVAL_S))
            for number, connection in enumerate(connections)
        ]
        await asyncio.sleep(stopped_at + SETTINGS_AFTER_S - time.monotonic())
        if TROUBLE:
            text = stopped.settings.read_text(encoding='utf-8')
            stopped.settings.write_text(f'{text}Seeds={stopped.ip}:8526\n', encoding='utf-8')
            stopped.signal(signal.SIGHUP)
        answers = await asyncio.gather(*calls)
        while stopped.exit_status() is None:
            await asyncio.sleep(0.01)
        recorder.write(
            f'{stopped.name}: exit status {stopped.exit_status()}, {time.monotonic() - stopped_at:.2f} s after SIGTERM'
        )
        lost = sum(is_lost(answer) for answer in answers)
        unanswered = sum(answer.status is None for answer in answers)
        recorder.write(f'{len(answers)} requests sent, {unanswered} without an answer, {lost} of them LOST')
        return harness.BROKEN if lost else harness.HELD


harness.run_case(main)
