"""Settings of the pool owner."""

from typing import NamedTuple

from dahliaarch_kernel.scheduler import SchedulerSettings
from dahliaarch_platform.settings import Bounds

from ..own_settings import OwnSettings
from ..ownership import OwnershipSettings
from ..timing import StoreTiming


class OwnerSettings(NamedTuple):
    """Settings that a pool owner is created with.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    bounds : Bounds
        Time bounds set by the platform.
    timing : StoreTiming
        Timeouts and retry pauses of store calls.
    own : OwnSettings
        Settings chosen by the project's operators.
    predecessors_end_s : float
        Time after the claim of the pool by which the authority of previous owners has ended, in seconds.
    """

    epoch: int
    bounds: Bounds
    timing: StoreTiming
    own: OwnSettings = OwnSettings()
    predecessors_end_s: float = OwnershipSettings().lease_s


def scheduler_settings(settings: OwnerSettings) -> SchedulerSettings:
    """Return the operators' scheduler settings, completed with the bounds set by the platform."""
    bounds = settings.bounds
    return settings.own.scheduler._replace(
        far_factor=bounds.far_factor,
        stop_timeout_s=bounds.stop_timeout_s,
        early_s=bounds.early_s,
    )
