"""Tests of the check of limits per worker."""

import pytest

from dahliaarch_standins.deployment.jobs import step_specs
from dahliaarch_standins.platform import StoreStandIn, WorkerStandIn
from dahliaarch_standins.platform.workers import Ended, Started
from dahliaarch_standins.soak import draw_settings
from dahliaarch_standins.soak.settings import FIRST_SEED_WITH_LIMITS
from dahliaarch_standins.soak.violations import excess_runs_of_step, Submission

JOB = 'a' * 16
STEP = {'Count': 3, 'Cpu': 1, 'MemMb': 1, 'Gpu': 1, 'AntiAffinity': 1}
SUBMISSION = Submission(JOB, 'urgent', 3, (200,), steps=step_specs([STEP]))


@pytest.mark.parametrize(
    ('starts', 'ends', 'is_reported'),
    [
        ([(0, 0, 1.0), (1, 0, 2.0)], [(0, 0, 1.9)], False),
        ([(0, 0, 1.0), (1, 0, 2.0)], [(0, 0, 2.1)], True),
        ([(0, 0, 1.0), (1, 0, 2.0)], [], True),
        ([(0, 0, 1.0), (1, 1, 2.0)], [], False),
    ],
    ids=['after the end', 'before the end', 'beside a run without an end', 'in the next incarnation'],
)
def test_a_start_beyond_the_limit_is_reported(starts, ends, is_reported):
    worker = WorkerStandIn('w', 'svc', 'r0', StoreStandIn())
    worker.starts = [Started('w', f'{JOB}.0.0.{index}', 7, 9, at_s, number) for index, number, at_s in starts]
    worker.ends = [Ended('w', f'{JOB}.0.0.{index}', 7, 'stopped', at_s, number) for index, number, at_s in ends]
    assert bool(list(excess_runs_of_step([SUBMISSION], [worker]))) is is_reported


def test_kept_seeds_have_no_limits():
    assert not draw_settings(FIRST_SEED_WITH_LIMITS - 1).limited_share
    assert draw_settings(FIRST_SEED_WITH_LIMITS).limited_share
