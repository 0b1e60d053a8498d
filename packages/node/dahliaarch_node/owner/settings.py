"""What an owner of the pool is built with."""

from typing import NamedTuple

from dahliaarch_kernel.scheduler import SchedulerSettings
from dahliaarch_platform.settings import Bounds

from ..own_settings import OwnSettings
from ..timing import StoreTiming


class OwnerSettings(NamedTuple):
    """Everything that an owner is built with.

    Parameters
    ----------
    epoch : int
        Its epoch.
    bounds : Bounds
        Time bounds of the platform.
    timing : StoreTiming
        Timeouts and pauses of the store.
    own : OwnSettings
        What the project's operators decide.
    """

    epoch: int
    bounds: Bounds
    timing: StoreTiming
    own: OwnSettings = OwnSettings()


def scheduler_settings(settings: OwnerSettings) -> SchedulerSettings:
    """Return the scheduler's settings: ours, and the bounds that the platform sets."""
    bounds = settings.bounds
    return settings.own.scheduler._replace(
        far_factor=bounds.far_factor,
        stop_timeout_s=bounds.stop_timeout_s,
        early_s=bounds.early_s,
    )
