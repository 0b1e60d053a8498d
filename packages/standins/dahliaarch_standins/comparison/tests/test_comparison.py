"""The comparison repeats, keeps its own rules, and shows what the decisions are for."""

import pytest

from dahliaarch_kernel.scheduler import SchedulerSettings
from dahliaarch_standins.comparison import compare, DEPLOYMENTS
from dahliaarch_standins.comparison.days import draw_day, play_day, SCHEDULERS
from dahliaarch_standins.comparison.executions import PlayedWorker
from dahliaarch_standins.comparison.troubles import Degradation, DegradedWorkers, Span, Troubles

SEEDS = (1, 2)
SMALL = ('meters', 'cars', 'zones')


def rows(deployment='meters', seeds=SEEDS):
    return {row.scheduler: row for row in compare(deployment, seeds, load=1.2)}


def play(deployment, seed, troubles=None):
    day = draw_day(DEPLOYMENTS[deployment], seed)
    if troubles is not None:
        day = day._replace(troubles=troubles)
    return play_day(day, SCHEDULERS['ours'](day.deployment, SchedulerSettings()))


def test_the_same_seeds_give_the_same_rows():
    assert rows() == rows()


@pytest.mark.parametrize('deployment', SMALL)
def test_owners_get_more_than_from_best_fit(deployment):
    found = rows(deployment, range(1, 7))
    assert found['ours'].net > found['best-fit'].net
    assert found['ours'].urgent_in_time > found['best-fit'].urgent_in_time


@pytest.mark.parametrize(
    ('deployment', 'seed'), [*(('zones', seed) for seed in range(1, 7)), ('zones-loaded', 1), ('zones-loaded', 2)]
)
def test_no_worker_ever_holds_more_than_it_has(deployment, seed, monkeypatch):
    added = PlayedWorker.add

    def add(worker, execution, unit):
        added(worker, execution, unit)
        assert worker.profile.capacity.covers(worker.used)

    monkeypatch.setattr(PlayedWorker, 'add', add)
    assert play(deployment, seed).ledger.ended_s_by_job


@pytest.mark.parametrize('kind', tuple(Degradation))
def test_all_work_is_done_after_a_time_of_degraded_workers(kind):
    degraded = DegradedWorkers(Span(5.0, 10.0), kind, share=0.2, factor=7.0)
    simulation = play('zones', 3, Troubles(degraded=(degraded,)))
    owed = {job.spec.job_id for job in draw_day(DEPLOYMENTS['zones'], 3).jobs if job.is_owed}
    late = owed - set(simulation.ledger.ended_s_by_job)
    # Jobs whose own runs failed four times are given up.
    assert len(late) <= 1


def test_work_goes_on_from_a_checkpoint():
    """Tasks that save their progress and are stopped lose less than those that do not."""
    ledger = play('zones', 4).ledger
    assert 0 < ledger.wasted < ledger.worked
