"""A TCP proxy on the loopback address that injects faults into connections."""

from .core import FaultProxy, SlowLink

__all__ = ('FaultProxy', 'SlowLink')
