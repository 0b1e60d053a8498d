"""Tests that the stand-in for workers keeps the guarantees of a worker."""

import socket
import time

import anyio
import msgspec
import pytest

from dahliaarch_platform.http import HttpClient, RequestUnansweredError
from dahliaarch_standins.platform import StoreStandIn, WorkerStandIn

TASK = '97cff274424edd7f.0.0.0'


def start(fence):
    until_ms = int(time.monotonic() * 1000) + 2000
    return {'Task': TASK, 'Run': 1, 'Spec': '5', 'UntilMs': until_ms, 'Fence': fence}


def count_starts_after(between):
    """Return how often a start without a response is carried out if `between` runs before its late execution."""

    async def scenario():
        worker = WorkerStandIn('w0', 'svc', 'r0', StoreStandIn())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(worker.run)
            while not worker.address.port:
                await anyio.sleep(0.01)
            worker.faults.lost_share, worker.faults.late_s = 1.0, 0.3
            with pytest.raises(RequestUnansweredError):
                await call(worker, '/run-start', start(fence=1), incarnation='w0')
            worker.faults.lost_share = 0.0
            await between(worker)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        worker.server.close()
        return worker

    return len(anyio.run(scenario).starts)


@pytest.mark.parametrize(('newer_fence', 'runs'), [(1, 1), (2, 0)], ids=['same owner', 'newer owner'])
def test_a_late_order_is_checked_against_the_highest_fence(newer_fence, runs):
    """A start of an owner, carried out after its successor had surveyed the worker, ran the task twice."""

    async def survey(worker):
        await call(worker, '/hold', {'Fence': newer_fence, 'AckedUpto': 0})

    assert count_starts_after(survey) == runs


@pytest.mark.parametrize(('crashes', 'runs'), [(False, 1), (True, 0)], ids=['same incarnation', 'another incarnation'])
def test_a_late_order_is_not_carried_out_by_another_incarnation(crashes, runs):
    """A start sent to a crashed worker was carried out by its next incarnation while the task ran elsewhere."""

    async def crash(worker):
        if crashes:
            worker.crash('w0-1')

    assert count_starts_after(crash) == runs


def test_a_late_order_is_carried_out_by_a_successor_of_its_id():
    """The id does not distinguish the incarnations, and the later one has lost the fence of the earlier one."""

    async def restart(worker):
        await call(worker, '/hold', {'Fence': 2, 'AckedUpto': 0})
        await worker.restart(0.05)

    assert count_starts_after(restart) == 1


def test_a_worker_restarted_under_its_id_has_no_earlier_state():
    async def scenario():
        worker = WorkerStandIn('w0', 'svc', 'r0', StoreStandIn())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(worker.run)
            while not worker.address.port:
                await anyio.sleep(0.01)
            await anyio.sleep(0.1)
            hold_replies = []
            for number in (1, 2):
                await call(worker, '/run-start', {**start(fence=3 - number), 'Run': number, 'Spec': '0'})
                await anyio.sleep(0.1)
                hold_replies.append(await call(worker, '/hold', {'Fence': 3 - number, 'AckedUpto': number - 1}))
                await worker.restart(0.01)
            tasks.cancel_scope.cancel()
        worker.server.close()
        return hold_replies

    earlier, later = anyio.run(scenario)
    assert later['born'] > earlier['born']
    assert later['ClockMs'] < earlier['ClockMs'] + 100
    assert [[row[0] for row in each['Finished']] for each in (earlier, later)] == [[1], []]


def test_nobody_gets_the_address_of_a_worker_that_is_down():
    """Another process got the port for its own call: the worker could not restart, the soak ended with EADDRINUSE."""

    async def scenario():
        worker = WorkerStandIn('w0', 'svc', 'r0', StoreStandIn())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(worker.run)
            while not worker.address.port:
                await anyio.sleep(0.01)
            tasks.start_soon(worker.restart, 0.2)
            await anyio.sleep(0.1)
            with socket.socket() as other, pytest.raises(ConnectionRefusedError):
                other.connect(worker.address)
            with socket.socket() as other, pytest.raises(OSError, match='in use'):
                other.bind(worker.address)
            await anyio.sleep(0.2)
            listed = await call(worker, '/hold', {'Fence': 1, 'AckedUpto': 0})
            tasks.cancel_scope.cancel()
        worker.server.close()
        return listed

    assert anyio.run(scenario)['Running'] == []


async def call(worker, path, body, incarnation=''):
    headers = {'Expected-Instance': incarnation}
    encoded = msgspec.json.encode(body)
    reply = await HttpClient().call(worker.address, 'POST', path, encoded, timeout_s=0.1, headers=headers)
    return msgspec.json.decode(reply.body)


def test_no_order_is_carried_out_in_the_downtime_of_a_restart():
    """Its run was dropped without an end when the downtime was over, and counted as running for ever."""

    async def scenario():
        worker = WorkerStandIn('w0', 'svc', 'r0', StoreStandIn())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(worker.run)
            while not worker.address.port:
                await anyio.sleep(0.01)
            worker.faults.delay_s = 0.2
            tasks.start_soon(call_unanswered, worker)
            await anyio.sleep(0.05)
            await worker.restart(0.4)
            tasks.cancel_scope.cancel()
        worker.server.close()
        return worker

    worker = anyio.run(scenario)
    assert not worker.starts


async def call_unanswered(worker):
    with pytest.raises(RequestUnansweredError):
        await call(worker, '/run-start', start(fence=1), incarnation='w0')
