"""A complete deployment on the loopback interface: platform stand-ins and real daemons."""

from .core import Caller, Deployment

__all__ = ('Caller', 'Deployment')
