"""Calibration of predicted run times: the share of runs that ended within them."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from .histories import JobHistory, RunHistory

# Kinds of end after which nothing is known of the run time.
_UNINFORMATIVE_KINDS = frozenset(('refused',))


class PredictionSummary(NamedTuple):
    """Share of the runs of one queue that ended within their predicted times.

    Parameters
    ----------
    queue : str
        Name of the queue.
    runs, interrupted : int
        Number of runs with a prediction that have ended, and of those that ended without success.
    within_p50, within_p90 : float
        Share of runs that ended within the time that they were predicted not to exceed with
        a probability of 0.5 and of 0.9. Interrupted runs count as long as they lasted.
    """

    queue: str
    runs: int
    interrupted: int
    within_p50: float
    within_p90: float


def summarize_predictions(jobs: Iterable[JobHistory]) -> list[PredictionSummary]:
    """Return the calibration of the predictions of each queue."""
    runs_by_queue: dict[str, list[RunHistory]] = defaultdict(list)
    for job in jobs:
        for run in job.runs:
            if run.predicted_s and run.ended_s is not None and run.end_kind not in _UNINFORMATIVE_KINDS:
                runs_by_queue[job.queue].append(run)
    return [
        PredictionSummary(
            queue,
            len(runs),
            sum(run.end_kind != 'done' for run in runs),
            _share_within(runs, 'p50_s'),
            _share_within(runs, 'p90_s'),
        )
        for queue, runs in sorted(runs_by_queue.items())
    ]


def _share_within(runs: Iterable[RunHistory], field: str) -> float:
    """Return the share of runs that ended within a predicted time, by the product-limit estimate.

    The long runs are interrupted more often than the short ones: a share of the successful
    runs alone would be too large.
    """
    pairs = [
        (run.lasted_s / run.predicted_s[field], run.end_kind != 'done') for run in runs if field in run.predicted_s
    ]
    pairs.sort()
    left = len(pairs)
    share_left = 1.0
    for ratio, is_interrupted in pairs:
        if ratio > 1:
            break
        if not is_interrupted:
            share_left *= 1.0 - 1.0 / left
        left -= 1
    return 1.0 - share_left
