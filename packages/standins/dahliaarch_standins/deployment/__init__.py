"""A whole deployment on the loopback address: stand-ins and real daemons."""

from .core import Caller, Deployment

__all__ = ('Caller', 'Deployment')
