"""Tests of steps that start only on workers for which an outside policy has issued tickets."""

from dahliaarch_kernel.configuration import AdviceTerms
from dahliaarch_kernel.scheduler import AskAdvice, EndKind, StartRun
from dahliaarch_kernel.scheduler.advice import MAX_WORKERS_PER_REQUEST

from .pool import ORDINARY, Pool, task

ADVISED = ORDINARY._replace(name='advised', advice=AdviceTerms(0.5, 0.002, 3.0))
A = 'a' * 16


def advice_requests_in(effects):
    return [effect for effect in effects if isinstance(effect, AskAdvice)]


def submit(pool, *steps):
    pool.submit(A, *steps, queue=ADVISED)
    return advice_requests_in(pool.scheduler.decide(pool.now))


def grant_tickets(pool, advice_request, *workers, valid_s=3.0):
    tickets = {worker: f'ticket-{worker}' for worker in workers}
    pool.scheduler.advice_given(advice_request.step, advice_request.worker_ids, tickets, pool.now_s + valid_s)


def starts_in(effects):
    return [effect for effect in effects if isinstance(effect, StartRun)]


def test_the_policy_is_asked_once_before_anything_starts():
    pool = Pool(workers=4)
    advice_request, *others = submit(pool, task(2))
    assert not others
    assert set(advice_request.worker_ids) == set(pool.profiles)
    assert not pool.scheduler.decide(pool.now)


def test_starts_go_to_workers_with_consent_and_bring_the_ticket():
    pool = Pool(workers=4)
    (advice_request,) = submit(pool, task(12, accelerators=2))
    grant_tickets(pool, advice_request, 'w1', 'w3')
    starts = starts_in(pool.scheduler.decide(pool.now))
    assert len(starts) == 8
    assert {(start.worker_id, start.ticket) for start in starts} == {('w1', 'ticket-w1'), ('w3', 'ticket-w3')}


def test_a_gang_needs_consent_for_all_its_members():
    pool = Pool(workers=4)
    (advice_request,) = submit(pool, task(2, accelerators=8, gang=True))
    grant_tickets(pool, advice_request, 'w2')
    assert not starts_in(pool.scheduler.decide(pool.now))


def test_expired_tickets_are_asked_for_again_once_there_is_room():
    pool = Pool(workers=2)
    (advice_request,) = submit(pool, task(1, accelerators=8))
    grant_tickets(pool, advice_request, 'w1', valid_s=0.1)
    (repeated_request,) = advice_requests_in(pool.scheduler.decide(pool.now))
    assert repeated_request.worker_ids == ('w1',)
    grant_tickets(pool, repeated_request, 'w1')
    assert [start.worker_id for start in starts_in(pool.scheduler.decide(pool.now))] == ['w1']


def test_a_ticket_that_a_worker_rejects_is_asked_for_again():
    pool = Pool(workers=2)
    (advice_request,) = submit(pool, task(1))
    grant_tickets(pool, advice_request, 'w0')
    (start,) = starts_in(pool.scheduler.decide(pool.now))
    pool.running['w0', start.key] = start.run
    pool.end('w0', start.key, start.run, EndKind.REFUSED)
    pool.now_s += 0.4
    assert advice_requests_in(pool.scheduler.decide(pool.now))


def test_an_unanswering_policy_is_asked_again_after_a_pause():
    pool = Pool(workers=2)
    (advice_request,) = submit(pool, task(1))
    pool.scheduler.advice_failed(advice_request.step, pool.now)
    assert not advice_requests_in(pool.scheduler.decide(pool.now))
    pool.now_s += 0.6
    assert advice_requests_in(pool.scheduler.decide(pool.now))


def test_a_gang_is_not_left_waiting_for_replaced_workers():
    # Workers that joined after the first question were never asked about while any worker with consent remained.
    pool = Pool(workers=4)
    (advice_request,) = submit(pool, task(4, accelerators=8, gang=True))
    grant_tickets(pool, advice_request, 'w0', 'w1')
    pool.scheduler.worker_over('w1', pool.now)
    for worker_id in ('w4', 'w5', 'w6'):
        pool.add_worker(worker_id, 'r0')
    pool.now_s += 3.0
    (later_request,) = advice_requests_in(pool.scheduler.decide(pool.now))
    assert set(later_request.worker_ids) == {'w0', 'w4', 'w5', 'w6'}
    grant_tickets(pool, later_request, 'w0', 'w4', 'w5', 'w6')
    starts = starts_in(pool.scheduler.decide(pool.now))
    assert {start.worker_id for start in starts} == {'w0', 'w4', 'w5', 'w6'}


def test_a_worker_that_joins_is_asked_about_while_those_with_consent_are_full():
    # Nothing was asked while the workers with consent had no free capacity.
    pool = Pool(workers=1)
    (advice_request,) = submit(pool, task(2, accelerators=8))
    grant_tickets(pool, advice_request, 'w0')
    assert len(starts_in(pool.scheduler.decide(pool.now))) == 1
    pool.add_worker('w1', 'r0')
    (later_request,) = advice_requests_in(pool.scheduler.decide(pool.now))
    assert later_request.worker_ids == ('w1',)


def test_all_workers_of_a_pool_larger_than_a_question_are_asked_about():
    # A step whose first question found some consent never learned of workers beyond that question.
    pool = Pool(workers=MAX_WORKERS_PER_REQUEST + 20)
    (advice_request,) = submit(pool, task(2, accelerators=8, gang=True))
    assert len(advice_request.worker_ids) == MAX_WORKERS_PER_REQUEST
    grant_tickets(pool, advice_request, advice_request.worker_ids[0])
    (later_request,) = advice_requests_in(pool.scheduler.decide(pool.now))
    assert {*advice_request.worker_ids, *later_request.worker_ids} == set(pool.profiles)


def test_workers_are_not_asked_about_again_once_the_policy_refused_them():
    pool = Pool(workers=3)
    (advice_request,) = submit(pool, task(2, accelerators=8, gang=True))
    grant_tickets(pool, advice_request, 'w0')
    pool.now_s += 3.0
    (later_request,) = advice_requests_in(pool.scheduler.decide(pool.now))
    assert later_request.worker_ids == ('w0',)


def test_a_gang_that_failed_is_asked_about_on_all_workers_that_it_needs():
    # Failures left out workers from the question that the placement still counted on.
    pool = Pool(workers=8)
    (advice_request,) = submit(pool, task(2, accelerators=8, gang=True))
    grant_tickets(pool, advice_request, 'w0', 'w1')
    for start in starts_in(pool.scheduler.decide(pool.now)):
        pool.running[start.worker_id, start.key] = start.run
    pool.end_task_or_gang(next(key for _, key in sorted(pool.running)), EndKind.FAILED)
    pool.now_s += 3.0
    asked = {
        worker_id for request in advice_requests_in(pool.scheduler.decide(pool.now)) for worker_id in request.worker_ids
    }
    assert asked == {'w0', 'w1'}
