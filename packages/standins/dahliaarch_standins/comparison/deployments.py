"""Shapes of jobs and workers, by deployment."""

from dahliaarch_kernel.workload import Resources

from .shapes import Deployment, JobKind, Pool

# Accelerators of a gang's tasks, drawn with equal probability.
GANG_ACCELERATORS = (1, 2, 4, 8, 8)
# Factors of run time on different workers.
_UNEQUAL = (1.0, 1.0, 1.3)
# The same in a pool of two generations of hardware.
_TWO_PACES = (0.55, 1.2)
# Number of workers of a grown pool on an ordinary day with trouble.
_GROWN_WORKERS = 160


def _gangs(name: str, rate_per_s: float, work_s: float, largest_s: float, demand: Resources, widths: int) -> JobKind:
    """Return work of priority 1: gangs of a few large tasks."""
    return JobKind(
        name,
        priority=1,
        rate_per_s=rate_per_s,
        mean_width=4.0,
        largest_width=widths,
        mean_work_s=work_s,
        work_spread=0.3,
        largest_work_s=largest_s,
        demand=demand,
        accelerators=GANG_ACCELERATORS,
        is_gang=True,
        one_rack_share=0.6,
        checkpoint_share=0.45,
        estimate_spread=0.5,
        uneven=0.0,
        failing_share=0.02,
        hopeless_share=0.03,
        cancelled_share=0.05,
        stretch=3.0,
        slack_s=1.0,
        worth=3.0,
        late_worth=0.9,
    )


def _urgent(name: str, rate_per_s: float, demand: Resources, width: float, widths: int) -> JobKind:
    """Return work of priority 0: short gangs with a tight objective."""
    return JobKind(
        name,
        priority=0,
        rate_per_s=rate_per_s,
        mean_width=width,
        largest_width=widths,
        mean_work_s=2.5,
        work_spread=0.5,
        largest_work_s=8.0,
        demand=demand,
        accelerators=GANG_ACCELERATORS,
        is_gang=True,
        one_rack_share=0.77,
        estimate_spread=0.97,
        failing_share=0.05,
        cancelled_share=0.04,
        stretch=1.5,
        slack_s=0.25,
        worth=4.0,
        late_worth=0.8,
    )


def _many(name: str, rate_per_s: float, work_s: float, largest_s: float, demand: Resources, width: float) -> JobKind:
    """Return work of priority 2: many small independent tasks."""
    return JobKind(
        name,
        priority=2,
        rate_per_s=rate_per_s,
        mean_width=width,
        largest_width=5 * width,
        mean_work_s=work_s,
        work_spread=0.3,
        largest_work_s=largest_s,
        demand=demand,
        accelerators=(1,),
        is_gang=False,
        checkpoint_share=0.45,
        second_step_share=0.28,
        apart_share=0.1,
        estimate_spread=0.22,
        uneven=0.14,
        failing_share=0.02,
        cancelled_share=0.15,
        stretch=3.0,
        slack_s=3.0,
        worth=1.0,
        late_worth=0.3,
    )


_METERS = (
    _gangs('interval-recon', 0.392, 6.8, 11.0, Resources(26_000, 140_000), 4),
    _urgent('route-valid', 0.763, Resources(7_500, 22_000), 2.9, 8),
    _many('anomaly-scan', 0.294, 7.6, 11.0, Resources(5_600, 23_000), 16.0),
)
_CARS = (
    _gangs('damage-scan', 0.429, 8.5, 14.0, Resources(52_000, 210_000), 8),
    _urgent('rate-quote', 0.961, Resources(15_000, 79_000), 2.6, 8),
    _many('fleet-rebalance', 0.34, 9.5, 14.0, Resources(11_000, 59_000), 12.0),
)
_ZONES = (
    _gangs('zone-rebuild', 0.314, 8.5, 11.0, Resources(13_000, 52_992), 8),
    _urgent('zone-check', 0.956, Resources(3_700, 10_992), 3.2, 16),
    _many('heatmap-refresh', 0.295, 7.6, 11.0, Resources(2_800, 10_992), 15.0),
)


def _grown(kinds: tuple[JobKind, ...], shapes: tuple[tuple[float, float, float], ...]) -> tuple[JobKind, ...]:
    """Return kinds with other rates and widths (mean and maximum)."""
    pairs = zip(kinds, shapes, strict=True)
    return tuple(
        kind._replace(rate_per_s=rate, mean_width=mean, largest_width=largest) for kind, (rate, mean, largest) in pairs
    )


_METERS_POOL = Pool(24, 8, Resources(64_000, 262_144, 8), _UNEQUAL, hold_s=10.0)
_CARS_POOL = Pool(
    24, 8, Resources(128_000, 524_288, 8), _UNEQUAL, 0.1, 0.4, checkpoint_s=2.0, restore_s=0.1, waste_price=0.0015
)
# Ten accounts that compete for too little capacity; one of them submits 40% of the jobs.
_CROWDED_POOL = Pool(
    176,
    20,
    Resources(128_000, 524_288, 8),
    _UNEQUAL,
    0.1,
    0.4,
    accounts=10,
    largest_account_share=0.4,
    waste_price=0.0007,
)
_CROWDED = (
    _gangs('damage-scan', 0.864, 8.5, 14.0, Resources(52_000, 210_000), 8)._replace(mean_width=13.0, largest_width=76),
    _urgent('rate-quote', 2.93, Resources(15_000, 79_000), 5.0, 32),
    _many('fleet-rebalance', 1.06, 6.1, 11.0, Resources(11_000, 59_000), 39.0),
)
_ZONES_POOL = Pool(24, 8, Resources(32_000, 131_072, 8), checkpoint_s=0.5, restore_s=0.6)


def _grown_pool(pool: Pool) -> Pool:
    return pool._replace(workers=_GROWN_WORKERS, workers_per_rack=12, accounts=10)


_PLAIN = {
    'meters': Deployment(_METERS_POOL, _METERS),
    'cars': Deployment(_CARS_POOL, _CARS),
    'zones': Deployment(_ZONES_POOL, _ZONES),
    'meters-grown': Deployment(
        _grown_pool(_METERS_POOL), _grown(_METERS, ((1.29, 13.0, 29), (3.52, 5.2, 32), (1.02, 37.0, 190)))
    ),
    'meters-large': Deployment(
        _METERS_POOL._replace(workers=270, accounts=24, checkpoint_s=2.0, restore_s=0.6, waste_price=0.0007),
        tuple(
            kind._replace(mean_work_s=work_s)
            for kind, work_s in zip(
                _grown(_METERS, ((1.38, 13.0, 76), (5.5, 5.3, 32), (2.1, 38.0, 230))), (11.0, 2.5, 6.1), strict=True
            )
        ),
    ),
    'cars-crowded': Deployment(_CROWDED_POOL, _CROWDED),
    'cars-grown': Deployment(
        _grown_pool(_CARS_POOL)._replace(capacity=Resources(128_000, 262_144, 8)),
        _grown(_CARS, ((1.48, 10.0, 24), (4.44, 5.0, 24), (1.17, 30.0, 150))),
    ),
    'two-paces': Deployment(
        Pool(176, 8, Resources(64_000, 262_144, 8), _TWO_PACES, 0.1, 0.2, checkpoint_s=2.0, restore_s=0.6, accounts=10),
        tuple(
            kind._replace(mean_work_s=work_s)
            for kind, work_s in zip(
                _grown(_METERS, ((0.909, 13.0, 29), (3.87, 5.0, 32), (1.12, 39.0, 190))), (7.2, 2.1, 5.2), strict=True
            )
        ),
    ),
    'zones-grown': Deployment(
        _grown_pool(_ZONES_POOL), _grown(_ZONES, ((1.04, 12.3, 60), (4.4, 5.2, 32), (1.02, 37.0, 190)))
    ),
}

# The same deployments on days on which all troubles coincide.
DEPLOYMENTS = _PLAIN | {f'{name}-loaded': deployment._replace(is_loaded=True) for name, deployment in _PLAIN.items()}
