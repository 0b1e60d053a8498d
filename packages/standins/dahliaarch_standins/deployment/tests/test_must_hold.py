"""Step definitions of `must_hold.feature`: real daemons, with stand-ins that record every order."""

import time

import anyio
from pytest_bdd import given, scenarios, then, when

from dahliaarch_node.records import cancel_key, job_key, progress_key

from ..core import API_KEY
from .running import GANG, PARALLEL

scenarios('must_hold.feature')

OTHER_KEY = 'another-key'
JOB = '/ordinary/' + 'ab' * 8


@given('a deployment of three instances')
def _(running):
    assert len(running.deployment.names) == 3


@given('a deployment whose policy consents to half of the workers', target_fixture='running')
def _(limited_by_policy):
    return limited_by_policy


@given('a deployment whose leases last longer than a takeover', target_fixture='running')
def _(with_long_leases):
    return with_long_leases


@then('it ran on those workers with valid tickets only')
def _(running):
    assert {start.worker for start in running.starts()} <= {'w0', 'w1'}
    assert running.deployment.policy.calls


@given('every accelerator runs work that is not urgent')
def _(running):
    steps = [{**PARALLEL[0], 'Count': 32, 'EstimateMs': 20_000}]
    running.submit(steps, '20')
    running.wait_until(lambda: sum(len(worker.running) for worker in running.workers) == 32)


@when('a job of three tasks is accepted')
def _(running):
    running.submit(PARALLEL)


@when('a long job is accepted')
def _(running):
    running.submit(PARALLEL, '20')
    running.wait_until(lambda: len(running.starts()) == 3)


@when('its last task ends')
def _(running):
    running.wait_until(lambda: len(running.ends()) == 3)


@then('the first state query at each instance returns its end')
def _(running):
    # The queries run one after the other, so only the first can find an end that is not stored yet.
    for name in running.deployment.names:
        assert running.state(running.job_ids[-1], names=(name,)) == 'succeeded'


@when('an urgent gang is accepted')
def _(running):
    running.submit(GANG, queue='urgent')


@then('it starts within the time limit for reclaiming capacity')
def _(running):
    def both_run():
        job_id = running.job_ids[-1]
        return sum(task.startswith(job_id) for worker in running.workers for task in worker.running) == 2

    running.wait_until(both_run, timeout_s=3.4)


@when('the owner is killed once its tasks run')
def _(running):
    running.wait_until(lambda: len(running.starts()) == 3)
    running.deployment.kill(running.owner())


@when('the owner is paused for four seconds once its tasks run')
def _(running):
    running.wait_until(lambda: len(running.starts()) == 3)
    owner = running.owner()
    running.deployment.pause(owner)
    running.sleep(4.0)
    running.deployment.resume(owner)


@when('every instance is killed and started again')
def _(running):
    for name in running.deployment.names:
        running.deployment.kill(name)
    for name in running.deployment.names:
        running.deployment.launch(name)


@when('the owner is asked to stop once its tasks run', target_fixture='stopped')
def _(running):
    running.wait_until(lambda: len(running.starts()) == 3)
    owner = running.owner()
    running.deployment.terminate(owner)
    return owner


@then('another instance owns the pool within two seconds')
def _(running, stopped):
    running.wait_until(lambda: running.current_owner() not in {None, stopped}, timeout_s=2.0)


@then('the former owner exits without an error')
def _(running, stopped):
    assert running.portal.call(running.deployment.wait_stopped, stopped) == 0


@when('the store answers nothing for three seconds once its tasks run')
def _(running):
    running.wait_until(lambda: len(running.starts()) == 3)
    running.store.faults.is_silent = True
    running.sleep(3.0)
    running.store.faults.is_silent = False


@when('its tasks end while the store is unavailable')
def _(running):
    running.wait_until(lambda: len(running.starts()) == 3)
    running.store.faults.is_silent = True
    running.wait_until(lambda: len(running.ends()) == 3)


@when('the entries of the workers that ran it expire and the owner is killed')
def _(running):
    running.portal.call(_remove_worker_entries, running)
    running.deployment.kill(running.owner())
    running.store.faults.is_silent = False
    running.sleep(4.0)
    running.portal.call(_publish_worker_entries, running)


async def _remove_worker_entries(running):
    for worker in running.workers:
        if worker.starts:
            running.store.remove(f'servers/{worker.worker_id}')


async def _publish_worker_entries(running):
    for worker in running.workers:
        worker.publish()


@when('the store forgets its history', target_fixture='calls_before')
def _(running):
    running.store.discard_history()
    return running.store.calls


@then('the store receives fewer than 20 calls per second')
def _(running, calls_before):
    before = running.store.calls
    running.sleep(2.0)
    # The renewals, watches and heartbeats of three instances make well under 20 calls per second.
    assert running.store.calls - before < 40


@when('half of the replies to writes are lost')
def _(running):
    running.store.faults.lost_share = 0.5


@when('a third of the orders to workers are unanswered and carried out late')
def _(running):
    for worker in running.workers:
        worker.faults.lost_share = 0.33
        worker.faults.late_s = 1.5


@when('all orders to workers are unanswered and carried out late')
def _(running):
    # The starts reuse connections of earlier work: a new one begins with a handshake, which would go unanswered.
    running.submit([{**PARALLEL[0], 'Count': 8 * len(running.workers)}], '0.1')
    running.wait_for(running.job_ids[-1], 'succeeded')
    for worker in running.workers:
        worker.starts.clear()
        worker.ends.clear()
        worker.faults.lost_share = 1.0
        # Shorter than the lease that a start carries, after which workers refuse it.
        worker.faults.late_s = 1.8


@when('a long job is accepted and its tasks are ordered')
def _(running):
    running.submit(PARALLEL, '20')
    running.sleep(0.3)
    assert not running.starts()


@when('orders to workers are answered again')
def _(running):
    for worker in running.workers:
        worker.faults.lost_share = 0.0


@when('its tasks start')
def _(running):
    running.wait_until(lambda: len(running.starts()) == 3)


@when('the owner is killed')
def _(running):
    running.deployment.kill(running.owner())


@when('its record is removed from the store')
def _(running):
    running.portal.call(_remove_job_record, running, running.job_ids[-1])


async def _remove_job_record(running, job_id):
    for key in (job_key(job_id), cancel_key(job_id), progress_key(job_id)):
        running.store.remove(key)


@when("the workers' entries expire and the workers answer nothing for five seconds")
def _(running):
    for worker in running.workers:
        worker.faults.is_silent = True
    running.portal.call(_remove_worker_entries, running)
    running.sleep(5.0)
    assert all(worker.running for worker in running.workers if worker.starts)
    for worker in running.workers:
        worker.faults.is_silent = False
    running.portal.call(_publish_worker_entries, running)


@then('every task of it that started was stopped')
def _(running):
    assert len(running.starts()) == 3
    assert {end.how for end in running.ends()} == {'stopped'}


@when('it is cancelled')
def _(running):
    running.cancel(running.job_ids[-1])


@then('it is reported as cancelled')
def _(running):
    running.wait_for(running.job_ids[-1], 'cancelled')


@then('none of its tasks runs')
def _(running):
    running.wait_until(lambda: not any(worker.running for worker in running.workers), timeout_s=3.0)


@when('a worker that runs one of its tasks disappears')
def _(running):
    running.wait_until(lambda: any(worker.running for worker in running.workers))
    worker = next(worker for worker in running.workers if worker.running)
    running.portal.call(_remove_worker, worker)


async def _remove_worker(worker):
    worker.disappear()


@when('a worker that runs one of its tasks starts draining and is disconnected', target_fixture='cut_off')
def _(running):
    worker = next(worker for worker in running.workers if worker.running)
    running.portal.call(_leave_and_cut_off, worker)
    return worker, set(worker.running)


async def _leave_and_cut_off(worker):
    worker.is_draining = True
    worker.publish()
    await anyio.sleep(0.3)
    worker.cut_off()


@then('its tasks run on other workers')
def _(running, cut_off):
    worker, tasks = cut_off
    others = [other for other in running.workers if other is not worker]
    running.wait_until(lambda: tasks <= {task for other in others for task in other.running})


@when('the same job is submitted to every instance')
def _(running):
    job_id = 'cd' * 8
    for name in running.deployment.names:
        running.submit(PARALLEL, job_id=job_id, names=(name,))


@then('it is reported as succeeded')
def _(running):
    job_id = running.job_ids[-1]
    queue = 'urgent' if running.starts() and running.state(job_id, 'ordinary') == '404' else 'ordinary'
    running.wait_for(job_id, 'succeeded', queue)


@when('a job is accepted whose task crashes each worker that starts it')
def _(running):
    running.submit([{**PARALLEL[0], 'Count': 1}], 'crash5')


@when('the owner is killed once two workers have crashed')
def _(running):
    running.wait_until(lambda: len(running.ends()) == 2)
    running.deployment.kill(running.owner())


@then('it is reported as failed')
def _(running):
    running.wait_for(running.job_ids[-1], 'failed')


@then('it has crashed at most five workers')
def _(running):
    # After three crashes that may count against the task, two more are tolerated, for starts that were in flight.
    running.sleep(1.0)
    assert len(running.starts()) <= 5


@then('no task ran twice')
def _(running):
    assert not running.tasks_run_twice()


@when('the store refuses every call')
def _(running):
    running.store.faults.is_refusing = True


@then('a job is refused with a time to retry')
def _(running):
    reply = running.call('POST', JOB, {'Spec': '0.1', 'Steps': PARALLEL})
    assert reply.status == 503


@then('it never runs')
def _(running):
    running.store.faults.is_refusing = False
    running.sleep(1.5)
    assert not running.starts()
    assert running.state('ab' * 8) == '410'


@when('the key is replaced by another')
def _(running):
    running.portal.call(_replace_key, running)


async def _replace_key(running):
    running.deployment.configure(keys=(OTHER_KEY,))


@then('the old key is refused at every instance within two seconds')
def _(running):
    deadline_s = time.monotonic() + 2.0
    for name in running.deployment.names:
        while running.call('GET', JOB, names=(name,), key=API_KEY).status != 401:
            assert time.monotonic() < deadline_s


@then('the new key is accepted')
def _(running):
    for name in running.deployment.names:
        assert running.call('GET', JOB, names=(name,), key=OTHER_KEY).status == 410
