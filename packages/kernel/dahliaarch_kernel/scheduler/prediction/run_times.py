"""Predicts run times of tasks from estimates and from observed runs of their queues.

Load: estimates that are off by a factor of 3 and more, and run times that vary as much
around what is expected.
"""

from ...workload import StepSpec
from .estimates import EstimateModel, PRIOR_SPREAD
from .ratios import PRIOR, RatioDistribution, RatioHistogram

# Run time assumed for tasks without an estimate, in seconds.
_DEFAULT_ESTIMATE_S = 5.0
# Weight of the observations from which an account has a distribution of its own.
_MIN_ACCOUNT_WEIGHT = 20.0
# Maximum number of accounts of one queue with counts of their own.
_MAX_ACCOUNTS = 256


class RunTimes:
    """Predicts run times of tasks from estimates and from observed runs of their queues.

    Parameters
    ----------
    is_learning : bool
        Whether observed runs correct the estimates and the distributions.
    has_quantiles : bool
        Whether run times are predicted as distributions.
    """

    def __init__(self, *, is_learning: bool = True, has_quantiles: bool = True) -> None:
        """Start without observations: predictions equal the estimates."""
        self._is_learning = is_learning
        self._has_quantiles = has_quantiles
        self._model_by_queue: dict[str, EstimateModel] = {}
        self._ratios_by_queue: dict[str, _QueueRatios] = {}

    def expect_s(self, queue: str, step: StepSpec) -> float:
        """Return the expected run time of one task."""
        estimate_s = step.estimate_s or _DEFAULT_ESTIMATE_S
        model = self._model_by_queue.get(queue)
        return estimate_s if model is None else model.expect_s(estimate_s)

    def quantile_s(self, queue: str, account: str, step: StepSpec, probability: float) -> float:
        """Return the time within which one task ends with a probability; without quantiles, the expected run time."""
        ratios = self.ratios(queue, account)
        expected_s = self.expect_s(queue, step)
        return expected_s if ratios is None else expected_s * ratios.quantile(probability)

    def ratios(self, queue: str, account: str) -> RatioDistribution | None:
        """Return the distribution of the ratio of run time to expected time; None without quantiles."""
        if not self._has_quantiles:
            return None
        found = self._ratios_by_queue.get(queue)
        return PRIOR if found is None else found.of(account)

    def spread(self, queue: str) -> float:
        """Return the standard deviation of the logarithm of observed over expected run times of a queue."""
        model = self._model_by_queue.get(queue)
        return PRIOR_SPREAD if model is None else model.spread

    def observe(self, queue: str, step: StepSpec, ran_s: float) -> None:
        """Record the run time of a task that succeeded without resuming from a checkpoint."""
        if not self._is_learning or ran_s <= 0:
            return
        model = self._model_by_queue.setdefault(queue, EstimateModel())
        model.observe(step.estimate_s or _DEFAULT_ESTIMATE_S, ran_s, 1.0 / step.task_count)

    def observe_ratio(self, queue: str, account: str, ratio: float, weight: float, *, is_complete: bool) -> None:
        """Record the ratio of a run's time to the time that was expected when it was ordered.

        Parameters
        ----------
        queue, account : str
            Queue and client account of its job.
        ratio : float
            Time that the run lasted over the expected time.
        weight : float
            Weight of this observation; all tasks of a step together weigh 1, since they are alike.
        is_complete : bool
            Whether the run succeeded; otherwise it would have lasted longer.
        """
        if self._is_learning and self._has_quantiles and ratio > 0:
            self._ratios_by_queue.setdefault(queue, _QueueRatios()).observe(account, ratio, weight, is_complete)


class _QueueRatios:
    """Ratios of one queue, and of its accounts."""

    def __init__(self) -> None:
        self._histogram = RatioHistogram()
        # In order of their latest observations.
        self._histogram_by_account: dict[str, RatioHistogram] = {}
        # Distributions computed since the last observation; the queue's own has the key None.
        self._cache: dict[str | None, RatioDistribution] = {}

    def of(self, account: str) -> RatioDistribution:
        """Return the distribution of an account, or of the queue while the account has few observations."""
        histogram = self._histogram_by_account.get(account)
        if histogram is None or histogram.total_weight < _MIN_ACCOUNT_WEIGHT:
            return self._queue_distribution()
        found = self._cache.get(account)
        if found is None:
            found = histogram.distribution(self._queue_distribution())
            self._cache[account] = found
        return found

    def observe(self, account: str, ratio: float, weight: float, is_complete: bool) -> None:
        """Record a ratio for the queue and the account."""
        histogram = self._histogram_by_account.pop(account, None) or RatioHistogram()
        self._histogram_by_account[account] = histogram
        if is_complete:
            self._histogram.observe(ratio, weight)
            histogram.observe(ratio, weight)
        else:
            current = self._queue_distribution()
            self._histogram.observe_exceeded(ratio, weight, current)
            histogram.observe_exceeded(ratio, weight, current)
        if len(self._histogram_by_account) > _MAX_ACCOUNTS:
            del self._histogram_by_account[next(iter(self._histogram_by_account))]
        self._cache.clear()

    def _queue_distribution(self) -> RatioDistribution:
        found = self._cache.get(None)
        if found is None:
            found = self._histogram.distribution(PRIOR)
            self._cache[None] = found
        return found
