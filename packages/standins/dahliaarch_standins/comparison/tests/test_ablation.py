"""An ablation plays the same days with one mechanism off, and tells the difference with its margin."""

import pytest

from dahliaarch_kernel.scheduler import Mechanism, SchedulerSettings
from dahliaarch_standins.comparison import ablate, DEPLOYMENTS, DRAWN, plot_effects
from dahliaarch_standins.comparison.days import Play, play

SEEDS = (1, 2, 3)


def test_the_gain_is_the_mean_difference_on_the_same_days():
    found = ablate(SEEDS, mechanisms=[Mechanism.NEAR_FIRST], deployments=['zones'])
    off = SchedulerSettings(without=frozenset((Mechanism.NEAR_FIRST,)))
    zones = DEPLOYMENTS['zones']
    gains = [play(Play('ours', zones, seed)).net - play(Play('ours', zones, seed, settings=off)).net for seed in SEEDS]
    assert [(effect.mechanism, effect.deployment, effect.days) for effect in found] == [('near_first', 'zones', 3)]
    assert found[0].gain == pytest.approx(sum(gains) / len(gains))
    assert found[0].margin > 0


def test_every_mechanism_can_be_off_on_drawn_deployments():
    found = ablate((1,), deployments=[DRAWN])
    assert [effect.mechanism for effect in found] == list(Mechanism)


def test_the_plot_is_written(tmp_path):
    effects = ablate(SEEDS, mechanisms=[Mechanism.PACKING], deployments=['zones'])
    plot_effects(effects, tmp_path / 'effects.png')
    assert (tmp_path / 'effects.png').read_bytes().startswith(b'\x89PNG')
