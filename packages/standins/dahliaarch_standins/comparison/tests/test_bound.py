"""No scheduler exceeds the bound, and what is short of it is accounted for without a rest."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliaarch_kernel.scheduler import Mechanism, SchedulerSettings
from dahliaarch_standins.comparison import DEPLOYMENTS, draw_deployment
from dahliaarch_standins.comparison.bound import bound
from dahliaarch_standins.comparison.days import AFTER_S, draw_day, Play, play, play_day, SCHEDULERS, TRAFFIC_S
from dahliaarch_standins.comparison.gap import measure_gap
from dahliaarch_standins.comparison.losses import losses
from dahliaarch_standins.comparison.scoring import score_day, score_jobs

UNTIL_S = TRAFFIC_S + AFTER_S
WITHOUT_CARE = SchedulerSettings(without=frozenset(Mechanism))


# Pools whose program is solved in a second.
SMALL_SEEDS = [seed for seed in range(1, 400) if draw_deployment(seed).pool.workers <= 32]


@settings(max_examples=20)
@given(
    seed=st.sampled_from(SMALL_SEEDS),
    load=st.sampled_from((0.6, 1.0, 1.6)),
    scheduler=st.sampled_from(tuple(SCHEDULERS)),
    limits=st.sampled_from((SchedulerSettings(), WITHOUT_CARE)),
)
def test_no_scheduler_exceeds_the_bound(seed, load, scheduler, limits):
    deployment = draw_deployment(seed)
    most = bound(draw_day(deployment, seed, load))
    assert play(Play(scheduler, deployment, seed, load, limits)).net <= most + 1e-6


@pytest.mark.parametrize(('load', 'least', 'most'), [(1.0, 0.99, 1.0), (5.0, 0.5, 0.9)])
def test_the_bound_falls_where_the_pool_is_too_small(load, least, most):
    assert least <= bound(draw_day(DEPLOYMENTS['zones'], 1, load)) <= most + 1e-6


@pytest.mark.parametrize('scheduler', tuple(SCHEDULERS))
@pytest.mark.parametrize('seed', range(1, 7))
def test_the_losses_are_all_that_is_short_of_one(scheduler, seed):
    day = draw_day(draw_deployment(seed), seed, 1.3)
    ledger = play_day(day, SCHEDULERS[scheduler](day.deployment, SchedulerSettings())).ledger
    score = score_day(day.deployment, day.jobs, ledger, UNTIL_S)
    found = losses(score, score_jobs(day.jobs, ledger), ledger, UNTIL_S)
    assert sum(loss.worth + loss.waste for loss in found) == pytest.approx(1 - score.net)
    assert all(loss.worth >= 0 and loss.waste >= 0 for loss in found)


def test_the_gap_is_a_mean_over_days():
    plays = [Play('ours', DEPLOYMENTS['zones'], seed) for seed in (1, 2)]
    both = measure_gap(plays)
    alone = [measure_gap([play]) for play in plays]
    assert both.net == pytest.approx(sum(gap.net for gap in alone) / 2)
    assert 1 - both.net == pytest.approx(sum(loss.worth + loss.waste for loss in both.losses))
    assert both.beyond_reach <= 1 - both.net
