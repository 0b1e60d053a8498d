"""Shares evidence on paces among workers of a rack or of a kind, where these explain the differences.

Handles pools in which whole racks or kinds of workers are slower: a worker without runs of its
own is then assumed to be like its group.
"""

from collections.abc import Callable, Collection, Iterable

from ..workers import WorkerState

# Share of the variance of paces that a grouping must explain before its evidence is shared.
_MIN_EXPLAINED_SHARE = 0.5
# Weight of observations from which a worker counts towards its group.
_MIN_WEIGHT = 1.0


def share_by_group(workers: Collection[WorkerState]) -> None:
    """Set each worker's prior to the mean of its rack or kind, in proportion to how much that explains."""
    observed = [worker for worker in workers if worker.pace.weight >= _MIN_WEIGHT]
    explained, grouping = max(
        ((_explained_share(observed, each), each) for each in (_kind, _rack)), key=lambda pair: pair[0]
    )
    means = _means(observed, grouping) if explained > _MIN_EXPLAINED_SHARE else {}
    for worker in workers:
        worker.pace.prior_log_ratio = explained * means.get(grouping(worker), 0.0) if means else 0.0


_Grouping = Callable[[WorkerState], str]


def _kind(worker: WorkerState) -> str:
    labels = worker.profile.labels
    return labels[0] if labels else ''


def _rack(worker: WorkerState) -> str:
    return worker.rack


def _means(workers: Iterable[WorkerState], grouping: _Grouping) -> dict[str, float]:
    values: dict[str, list[float]] = {}
    for worker in workers:
        values.setdefault(grouping(worker), []).append(worker.pace.observed_mean)
    return {group: sum(each) / len(each) for group, each in values.items()}


def _explained_share(workers: Collection[WorkerState], grouping: _Grouping) -> float:
    """Return the adjusted share of the variance that lies between the groups; 0 if there is nothing to compare."""
    means = _means(workers, grouping)
    if len(means) < 2 or len(workers) <= len(means):
        return 0.0
    values = [(worker.pace.observed_mean, means[grouping(worker)]) for worker in workers]
    mean = sum(value for value, _ in values) / len(values)
    total = sum((value - mean) ** 2 for value, _ in values) / (len(values) - 1)
    within = sum((value - group) ** 2 for value, group in values) / (len(values) - len(means))
    return max(0.0, 1.0 - within / total) if total else 0.0
