"""A randomized soak: real daemons, faults from outside, promises checked."""

from .core import run_soak, SoakResult
from .settings import SoakSettings

__all__ = ('SoakResult', 'SoakSettings', 'run_soak')
