"""Tests of gangs that lose a member."""

import pytest

from dahliaarch_kernel.scheduler import EndKind, Mechanism, SchedulerSettings, StartRun

from ...tests.pool import Pool, task

A = 'a' * 16
GANG = task(3, accelerators=8, work_s=9.0, gang=True)


def start_gang(**fields):
    pool = Pool(workers=4, **fields)
    pool.submit(A, GANG)
    first = pool.advance()[0]
    return pool, first


@pytest.mark.parametrize('kind', [EndKind.FAILED, EndKind.BROKEN, EndKind.ALONE, EndKind.LAPSED])
def test_members_are_stopped_when_one_has_ended(kind):
    """They went on until their workers had learned of the loss, and the restart waited for it."""
    pool, first = start_gang()
    pool.end(first.worker_id, first.key, first.run, kind)
    pool.advance(0.01)
    assert len(pool.stops) == 2
    pool.finish_stops()
    assert len([effect for effect in pool.advance(0.1) if isinstance(effect, StartRun)]) == 3


def test_members_of_a_gang_that_has_succeeded_go_on():
    """They end by themselves; a stop would end them as failures."""
    pool, first = start_gang()
    pool.end(first.worker_id, first.key, first.run, EndKind.DONE)
    pool.advance(0.01)
    assert not pool.stops


def test_members_are_stopped_when_a_lease_has_ended():
    pool, first = start_gang()
    worker = pool.scheduler.worker_by_id[first.worker_id]
    worker.lease.assume_until(pool.now_s + 1.0)
    pool.scheduler.worker_silent(first.worker_id, pool.now)
    pool.advance(1.5)
    assert len(pool.stops) == 2


def test_a_new_owner_does_not_stop_a_gang_it_knows_in_part():
    """Its first survey lists one member of a gang that is whole: the others are not lost."""
    pool, first = start_gang()
    successor = Pool(workers=4, epoch=9)
    successor.running = dict(pool.running)
    successor.submit(A, GANG)
    successor.survey(first.worker_id)
    successor.advance(0.01)
    assert not successor.stops


def test_a_restart_waits_until_every_member_has_ended():
    """A task never has two runs: a member that is being stopped still runs."""
    pool, first = start_gang()
    pool.end(first.worker_id, first.key, first.run, EndKind.BROKEN)
    pool.advance(0.01)
    stop = pool.stops[0]
    pool.end(stop.worker_id, stop.key, stop.run, EndKind.STOPPED)
    assert not [effect for effect in pool.advance(0.3) if isinstance(effect, StartRun)]


def test_without_the_mechanism_members_end_by_themselves():
    pool, first = start_gang(settings=SchedulerSettings(without=frozenset((Mechanism.EARLY_MOVES,))))
    pool.end(first.worker_id, first.key, first.run, EndKind.BROKEN)
    pool.advance(0.01)
    assert not pool.stops
