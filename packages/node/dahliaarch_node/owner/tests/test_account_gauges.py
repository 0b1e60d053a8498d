"""Tests of the gauges of accounts."""

from dahliaarch_kernel.scheduler import Scheduler, SchedulerSettings

from ...metrics import Metrics
from ..load_gauges import LoadGauges


def exported(metrics):
    lines = metrics.render().decode().splitlines()
    return {
        line.split('"')[1]: float(line.split()[-1]) for line in lines if line.startswith('dahliaarch_account_overuse{')
    }


def test_only_the_accounts_most_over_their_shares_are_exported():
    """With one time series for each of hundreds of accounts, the page of metrics grew without limit."""
    scheduler, metrics = Scheduler(SchedulerSettings(), 7), Metrics()
    scheduler.account_shares.ratio_by_account = {f'a{number}': number / 10 for number in range(100)}
    gauges = LoadGauges(scheduler, metrics)
    with gauges:
        gauges.update(0.0)
        assert exported(metrics) == {f'a{number}': number / 10 for number in range(68, 100)}
        scheduler.account_shares.ratio_by_account = {'a1': 1.0}
        gauges.update(1.0)
        assert exported(metrics) == {'a1': 1.0}
    assert exported(metrics) == {}
