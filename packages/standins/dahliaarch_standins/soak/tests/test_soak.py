"""Short soaks with fixed seeds, and the seeds that ever failed."""

import pytest

from dahliaarch_standins.soak import control_arm, draw_settings, run_soak, SoakSettings
from dahliaarch_standins.soak.violations import doubled_runs, Submission

# The kinds of faults to draw from when a seed failed: kinds that came later would
# make it another plan.
_FIRST_KINDS = (
    'change_keys',
    'crash_worker',
    'cut_instance_from_store',
    'cut_owner_from_store',
    'cut_worker',
    'delay_worker',
    'forget_history',
    'harm_connections',
    'kill_all',
    'kill_all_at_step',
    'kill_instance',
    'late_orders',
    'lose_store_answers',
    'pause_instance',
    'refuse_at_store',
    'signal_settings',
    'silence_store',
    'slow_store',
    'stop_instance',
)
# Seeds that failed once, each with its cause in docs/findings.md.
REGRESSIONS = (
    # SIGHUP during the start, before the handler stands, ended an instance.
    SoakSettings(1, kinds=_FIRST_KINDS, changes=0),
)


@pytest.mark.parametrize('settings', [draw_settings(1), *REGRESSIONS], ids=repr)
def test_promises_are_kept_under_random_faults(settings):
    result = run_soak(settings)
    assert result.accepted
    assert result.judged
    assert not result.violations, result


def test_instances_that_hear_nothing_of_a_configuration_are_found():
    result = run_soak(control_arm(1, 'news'))
    assert 'a configuration is in force in time' in {each.promise for each in result.violations}


def test_a_submission_is_refused_only_if_every_try_was():
    assert Submission('a', 'urgent', 1, (503, 429)).is_refused
    assert not Submission('a', 'urgent', 1, (503, 0)).is_refused
    assert not Submission('a', 'urgent', 1, (504, 503)).is_refused
    assert not Submission('a', 'urgent', 1, ()).is_refused


def test_no_runs_are_no_doubled_runs():
    assert not list(doubled_runs([]))
