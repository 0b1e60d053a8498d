"""HTTP API for callers: checks, stores and answers requests."""

from .admission import AdmissionControl
from .core import Front

__all__ = ('AdmissionControl', 'Front')
