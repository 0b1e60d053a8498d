"""Signals to a daemon, repeated, from its start to its exit.

SIGHUP to an instance that was stopping ended it at once, with the requests that it had read: the handlers were removed
before the shutdown began.
"""

import signal
from pathlib import Path

import anyio
import pytest

from dahliaarch_node.signals import ReceivedSignals

from .running import PARALLEL

INTERVAL_S = 0.02
# Asking for a running job takes 0.25 s at an instance that does not own the pool.
CALL_INTERVAL_S = 0.05
LONG_TASK = [{**PARALLEL[0], 'Count': 1}]
REPEATED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


async def send_repeatedly(deployment, name, numbers):
    """Send signals in turn until the process has exited."""
    while True:
        for number in numbers:
            deployment.signal(name, number)
            await anyio.sleep(INTERVAL_S)


async def stop_under_signals(deployment, name, job_id):
    """Ask an instance to stop, send it signals until it has exited, and ask it for a job meanwhile.

    Return its exit status and the answers to the requests that were sent while it accepted connections.
    """
    answers = []

    async def ask():
        answers.append(await deployment.caller(name).state('ordinary', job_id))

    deployment.terminate(name)
    process = deployment.process(name)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_repeatedly, deployment, name, REPEATED)
        with anyio.move_on_after(2.0):
            async with anyio.create_task_group() as calls:
                for _ in range(30):
                    calls.start_soon(ask)
                    await anyio.sleep(CALL_INTERVAL_S)
        with anyio.fail_after(8):
            while process.poll() is None:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    return process.returncode, answers


def test_a_stopping_instance_answers_what_it_has_read_whatever_signals_come(running):
    job_id = running.submit(LONG_TASK, '60')
    running.wait_until(lambda: running.starts())
    name = next(each for each in running.deployment.names if each != running.owner())
    running.wait_for(job_id, 'running')
    status, answers = running.portal.call(stop_under_signals, running.deployment, name, job_id)
    assert status == 0
    assert len(answers) == 30
    assert set(answers) == {'running'}


def has_run_first_instructions(pid):
    """Return whether a process ignores SIGPROF, the last of the signals that it ignores before it imports modules.

    SIGHUP does not tell: a process inherits that it is ignored, for example from `nohup`.
    """
    lines = Path(f'/proc/{pid}/status').read_text(encoding='utf-8').splitlines()
    (mask,) = (int(line.split()[1], 16) for line in lines if line.startswith('SigIgn'))
    return bool(mask >> (signal.SIGPROF - 1) & 1)


async def start_under_signals(deployment, name):
    """Start an instance again, and send it signals until it is ready."""
    deployment.kill(name)
    deployment.launch(name)
    pid = deployment.incarnation(name)
    with anyio.fail_after(20):
        while not has_run_first_instructions(pid):
            await anyio.sleep(0.001)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_repeatedly, deployment, name, (signal.SIGHUP, signal.SIGUSR1))
            await deployment.wait_ready(name)
            tasks.cancel_scope.cancel()
    return deployment.process(name).poll()


def test_a_starting_instance_survives_signals(running):
    assert running.portal.call(start_under_signals, running.deployment, running.deployment.names[0]) is None


@pytest.fixture
def handlers():
    before = {number: signal.getsignal(number) for number in signal.valid_signals() if number != signal.SIGSTOP}
    yield
    for number, handler in before.items():
        if handler is not None and signal.getsignal(number) is not handler:
            signal.signal(number, handler)


def test_signals_are_received_in_order_and_ignored_after_the_end(handlers):
    async def receive():
        return [await received.receive() for _ in range(3)]

    received = ReceivedSignals()
    for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT):
        signal.raise_signal(number)
    assert received.is_stop_pending
    assert anyio.run(receive) == [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
    assert not received.is_stop_pending
    received.close()
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.raise_signal(number)
    assert not received.is_stop_pending
