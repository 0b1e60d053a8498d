"""Short soaks with fixed seeds, and the seeds that ever failed."""

import pytest

from dahliaarch_standins.soak import run_soak, SoakSettings
from dahliaarch_standins.soak.violations import doubled_runs, Submission

# Seeds that failed once, each with its cause in docs/findings.md.
REGRESSIONS = ()


@pytest.mark.parametrize('seed', [1, *REGRESSIONS])
def test_promises_are_kept_under_random_faults(seed):
    result = run_soak(SoakSettings(seed))
    assert result.accepted
    assert not result.violations, result


def test_a_submission_is_refused_only_if_every_try_was():
    assert Submission('a', 'urgent', 1, (503, 429)).is_refused
    assert not Submission('a', 'urgent', 1, (503, 0)).is_refused
    assert not Submission('a', 'urgent', 1, (504, 503)).is_refused
    assert not Submission('a', 'urgent', 1, ()).is_refused


def test_no_runs_are_no_doubled_runs():
    assert not list(doubled_runs([]))
