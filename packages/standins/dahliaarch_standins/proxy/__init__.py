"""A TCP proxy on the loopback address that injects faults into connections."""

from .core import FaultProxy
from .links import HostLinks, Route, SlowLink
from .peers import PeerProxy

__all__ = ('FaultProxy', 'HostLinks', 'PeerProxy', 'Route', 'SlowLink')
