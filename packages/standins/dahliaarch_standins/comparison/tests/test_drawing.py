"""Deployments and chances repeat by their seeds, whatever a scheduler does."""

from dahliaarch_kernel.scheduler import SchedulerSettings
from dahliaarch_standins.comparison import draw_deployment
from dahliaarch_standins.comparison.chances import Chances
from dahliaarch_standins.comparison.days import draw_day, play_day, SCHEDULERS
from dahliaarch_standins.comparison.degradation import draw_degraded_places, stretches
from dahliaarch_standins.comparison.troubles import Degradation, DegradedWorkers, Span


def test_a_deployment_is_determined_by_its_seed():
    drawn = [draw_deployment(seed) for seed in range(1, 9)]
    assert drawn == [draw_deployment(seed) for seed in range(1, 9)]
    assert len({deployment.pool for deployment in drawn}) == len(drawn)
    assert {kind.priority for deployment in drawn for kind in deployment.kinds} == {0, 1, 2}


def test_the_first_run_of_a_task_is_alike_under_every_scheduler():
    day = draw_day(draw_deployment(3), 3)
    firsts = []
    for name in SCHEDULERS:
        ledger = play_day(day, SCHEDULERS[name](day.deployment, SchedulerSettings())).ledger
        firsts.append({key: runs[0].why == 'run failed' for key, runs in ledger.attempts_by_step.items()})
    both = firsts[0].keys() & firsts[1].keys()
    assert sum(firsts[0][key] for key in both) > 0
    drawn_alike = sum(firsts[0][key] == firsts[1][key] for key in both)
    # Runs that are stopped before they fail, or that fail on a degraded worker, differ.
    assert drawn_alike > 0.9 * len(both)


def test_nobody_has_two_degradations_at_once():
    pool = draw_deployment(1).pool
    slow = DegradedWorkers(Span(0.0, 10.0), Degradation.SLOW, 0.5, 4.0)
    leaving = DegradedWorkers(Span(5.0, 8.0), Degradation.LEAVING, 0.5)
    stalled = DegradedWorkers(Span(9.0, 12.0), Degradation.STALLED, 0.5)
    drawn = draw_degraded_places(pool, (slow, leaving, stalled), Chances(1))
    for each in drawn:
        others = [other for other in drawn if other.place == each.place and other is not each]
        assert all(other.span.begin_s >= each.over_s or each.span.begin_s >= other.over_s for other in others)


def test_a_pool_is_weaker_while_workers_are_slow_stalled_or_gone():
    pool = draw_deployment(1).pool
    speeds = [1.0] * pool.workers
    slow = draw_degraded_places(pool, [DegradedWorkers(Span(2.0, 4.0), Degradation.SLOW, 0.5, 4.0)], Chances(1))
    found = [(span.begin_s, strength) for span, strength in stretches(pool, speeds, slow, 10.0)]
    assert found == [(0.0, pool.workers), (2.0, pool.workers - 0.75 * len(slow)), (4.0, pool.workers)]
