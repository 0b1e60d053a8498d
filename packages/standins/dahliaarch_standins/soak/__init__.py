"""Randomized soak tests: run real daemons, inject faults from outside and check the guarantees."""

from . import faults  # noqa: F401 - importing it registers the kinds of faults
from .core import run_soak, SoakResult
from .settings import control_arm, draw_settings, PROTECTIONS, SoakSettings

__all__ = ('PROTECTIONS', 'SoakResult', 'SoakSettings', 'control_arm', 'draw_settings', 'run_soak')
