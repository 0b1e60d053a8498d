"""A randomized soak: real daemons, faults from outside, promises checked."""

from . import faults  # noqa: F401 - the kinds of faults register themselves
from .core import run_soak, SoakResult
from .settings import control_arm, draw_settings, PROTECTIONS, SoakSettings

__all__ = ('PROTECTIONS', 'SoakResult', 'SoakSettings', 'control_arm', 'draw_settings', 'run_soak')
