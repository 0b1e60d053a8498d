"""Tests of what the owner shows of runs that are moved off leaving workers."""

from dahliaarch_kernel.scheduler.events import RunsMoved
from dahliaarch_kernel.workload import StepKey

from ...metrics import Metrics
from .. import effects
from ..effects import EffectExecutor


def test_a_move_is_counted_and_logged(monkeypatch):
    """Operators must see how much work leaving workers cost, and in which case the runs were stopped."""
    events = []
    monkeypatch.setattr(effects, 'log_event', lambda event, **fields: events.append((event, fields)))
    metrics = Metrics()
    executor = EffectExecutor(None, None, None, None, metrics, None)
    executor.log_note(RunsMoved('w1', StepKey('a' * 16, 0, 0), 'nothing saved', 'capacity elsewhere', 4, 30.0, 12.0))
    event, fields = events[-1]
    assert event == 'runs_moved'
    assert (fields['worker'], fields['runs'], fields['lost_core_s'], fields['spared_core_s']) == ('w1', 4, 30.0, 12.0)
    shown = metrics.render().decode()
    assert 'dahliaarch_departure_moves_total{saved="nothing saved",timing="capacity elsewhere"} 1.0' in shown
    assert 'dahliaarch_departure_core_seconds_total{kind="lost"} 30.0' in shown
    assert 'dahliaarch_departure_core_seconds_total{kind="spared"} 12.0' in shown
