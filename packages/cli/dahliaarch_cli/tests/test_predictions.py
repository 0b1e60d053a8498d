"""The share of runs within their predicted times is estimated from log lines."""

import pytest

from ..accounting import build_report, read_histories
from .test_accounting import job_known, log_line, run_ended, stop_ordered

JOB = 'a' * 16


def ordered(number, p50_s=4.0, p90_s=8.0):
    return log_line(0.0, 'run_ordered', task=[JOB, 0, 0, number], run=number, worker='w', p50_s=p50_s, p90_s=p90_s)


def of_task(line, number):
    return line._replace(fields={**line.fields, 'task': [JOB, 0, 0, number]})


def ended(after_s, number, how='done'):
    return of_task(run_ended(after_s, JOB, how, number), number)


def predictions(*lines):
    return build_report(read_histories((job_known(0.0, JOB, 'q'), *lines))).predictions


def test_shares_within_predictions_are_counted_by_queue():
    lines = [line for number in range(10) for line in (ordered(number), ended(number + 0.5, number))]
    (row,) = predictions(*lines)
    assert (row.queue, row.runs, row.interrupted) == ('q', 10, 0)
    assert (row.within_p50, row.within_p90) == (pytest.approx(0.4), pytest.approx(0.8))


def test_interrupted_runs_count_as_long_as_they_lasted():
    """Counted without the run stopped at 3 s, the share within 4 s would be too large."""
    stopped = of_task(stop_ordered(3.0, JOB, 'makes room', 0), 0)
    lines = [ordered(0), stopped, ended(20.0, 0, 'stopped')]
    lines += [ordered(1), ended(2.0, 1), ordered(2), ended(5.0, 2), ordered(3), ended(6.0, 3)]
    (row,) = predictions(*lines)
    assert (row.runs, row.interrupted) == (4, 1)
    assert (row.within_p50, row.within_p90) == (pytest.approx(0.25), pytest.approx(1.0))


def test_a_lost_run_counts_until_it_was_last_seen():
    """A lease ends seconds after its worker last answered: the run did not certainly last until then."""
    lost = log_line(9.0, 'run_lost', task=[JOB, 0, 0, 0], run=0, worker='w', ran_s=1.0)
    (row,) = predictions(ordered(0), lost, ordered(1), ended(3.0, 1))
    assert row.within_p50 == pytest.approx(1.0)


def test_runs_without_a_prediction_are_not_counted():
    """Runs that resume from a checkpoint are logged without predicted times."""
    assert not predictions(ordered(0, 0.0, 0.0), ended(1.0, 0), ordered(1), ended(1.0, 1, 'refused'))
